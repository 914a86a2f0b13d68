package history

import (
	"cmp"
	"fmt"
	"image/color"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// RequestSummary is what became of the requests of a class.
type RequestSummary struct {
	Requests, Served, Late, Rejected, Failed, Attempts int
	ServedInFull                                       int     // served with all that belongs to it
	Value, ValueServed                                 float64 // asked for, and served in time
	Latency                                            *hdrhistogram.Histogram
}

// SummarizeRequests adds up requests by class; "" holds all of them.
func SummarizeRequests(events []Event) map[string]*RequestSummary {
	summaries := map[string]*RequestSummary{}
	for i := range events {
		event := &events[i]
		if event.Kind != RequestCompleted {
			continue
		}
		for _, class := range []string{"", event.Class} {
			summary := summaries[class]
			if summary == nil {
				summary = &RequestSummary{Latency: hdrhistogram.New(1, int64(time.Minute/time.Millisecond), 3)}
				summaries[class] = summary
			}
			summary.Requests++
			summary.Attempts += event.Count
			summary.Value += event.Value
			switch event.Detail {
			case "served":
				summary.Served++
				summary.ValueServed += event.ValueServed
				if event.ValueServed == event.Value {
					summary.ServedInFull++
				}
				_ = summary.Latency.RecordValue(max(event.Latency.Milliseconds(), 1)) // longer than a minute: the caller has gone
			case "late":
				summary.Late++
			case "refused":
				summary.Rejected++
			default:
				summary.Failed++
			}
		}
	}
	return summaries
}

// StoreSummary is what the stores together saw.
type StoreSummary struct {
	Calls          int
	MaxInFlight    int     // in hand at one instant
	MeanInFlight   float64 // in hand over the time
	OverBoundRatio float64 // share of the time with more in hand than a bound
}

// SummarizeStores sums up the calls of a history.
func SummarizeStores(events []Event, bound int) (s StoreSummary) {
	n, last := 0, time.Duration(0)
	var inFlightTime, overTime, total time.Duration
	for i := range events {
		event := &events[i]
		if event.Kind != CallStarted && event.Kind != CallEnded {
			continue
		}
		if total > 0 || n > 0 {
			inFlightTime += time.Duration(n) * (event.At - last)
			if n > bound {
				overTime += event.At - last
			}
			total += event.At - last
		}
		last = event.At
		if event.Kind == CallEnded {
			n--
			continue
		}
		n++
		s.Calls++
		s.MaxInFlight = max(s.MaxInFlight, n)
	}
	s.MeanInFlight, s.OverBoundRatio = float64(inFlightTime)/float64(max(total, 1)), float64(overTime)/float64(max(total, 1))
	return s
}

// ReadCostRatio is what reading a request costs in the laboratory, of the mean work of one.
const ReadCostRatio = 0.25

// OptimalValue is the worth that a policy could serve that sees all requests ahead and all cores as one, with so many
// seconds of cores: each is read once, and then those are run that earn the most for their work. It knows no end of
// patience, no calls and no time that runs are in each other's way, so that nothing serves more.
func OptimalValue(events []Event, cores float64) (value float64) {
	var requests []*Event
	var work time.Duration
	for i := range events {
		if e := &events[i]; e.Kind == RequestCompleted && e.Work > 0 {
			requests = append(requests, e)
			work += e.Work
		}
	}
	cores -= ReadCostRatio * work.Seconds()
	slices.SortFunc(requests, func(a, b *Event) int { return cmp.Compare(b.Value/b.Work.Seconds(), a.Value/a.Work.Seconds()) })
	for _, e := range requests {
		if cores -= e.Work.Seconds(); cores < 0 {
			break
		}
		value += e.Value
	}
	return value
}

// RejectionFairness is Jain's index of the share of tries that each server turned away: 1 where all turn away alike, 1/n where one
// does so alone.
func RejectionFairness(events []Event) float64 {
	sent, rejected := map[string]float64{}, map[string]float64{}
	for i := range events {
		switch e := &events[i]; {
		case e.Kind == AttemptSent:
			sent[e.Server]++
		case e.Kind == AttemptAnswered && e.Detail == "refused":
			rejected[e.Server]++
		}
	}
	var sum, squares float64
	for server, n := range sent {
		x := rejected[server] / n
		sum, squares = sum+x, squares+x*x
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (float64(len(sent)) * squares)
}

// StoreLoadDuringFault is how many calls a second stores took, and how many they had in hand at most, while a fault was in force for
// longer than settled. Calls that go to stores which have no fault count as well: have the fault befall all of them.
func StoreLoadDuringFault(events []Event, kind string, settled time.Duration) (rate float64, maxInFlight int) {
	var from, to, last time.Duration
	n, calls := 0, 0
	for i := range events {
		event := &events[i]
		last = event.At
		switch {
		case event.Kind == FaultChanged && strings.HasPrefix(event.Detail, kind+" ") && event.Count == 1 && from == 0:
			from = event.At + settled
		case event.Kind == FaultChanged && strings.HasPrefix(event.Detail, kind+" ") && event.Count == 0 && to == 0:
			to = event.At
		case event.Kind == CallStarted:
			n++
		case event.Kind == CallEnded:
			n--
		}
		if from > 0 && event.At >= from && to == 0 {
			maxInFlight = max(maxInFlight, n)
			if event.Kind == CallStarted {
				calls++
			}
		}
	}
	if to == 0 {
		to = last
	}
	if from == 0 || to <= from {
		return 0, 0
	}
	return float64(calls) / (to - from).Seconds(), maxInFlight
}

// PrintSummary prints the sums as a table.
func PrintSummary(w io.Writer, events []Event) error {
	summaries := SummarizeRequests(events)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "class\trequests\tserved\tlate\trefused\tfailed\ttries each\tworth served\tmedian ms\t99% ms\t")
	for _, class := range slices.Sorted(maps.Keys(summaries)) {
		summary := summaries[class]
		name := class
		if name == "" {
			name = "all"
		}
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.3f\t%d\t%d\t\n", name, summary.Requests, summary.Served, summary.Late, summary.Rejected, summary.Failed,
			float64(summary.Attempts)/float64(summary.Requests), summary.ValueServed/max(summary.Value, 1e-9), summary.Latency.ValueAtQuantile(50), summary.Latency.ValueAtQuantile(99))
	}
	return table.Flush()
}

// Plot draws requests by their end over time, and faults as bars under them, into a file (PNG, SVG or PDF).
func Plot(path, title string, events []Event) error {
	figure := plot.New()
	figure.Title.Text = title
	figure.X.Label.Text = "seconds"
	figure.Y.Label.Text = "requests a second"
	count := map[string]map[int]int{}
	last := 0
	type bar struct{ from, to float64 }
	faults := map[string]*bar{}
	for i := range events {
		event := &events[i]
		at := int(event.At / time.Second)
		last = max(last, at)
		switch event.Kind {
		case RequestCompleted:
			if count[event.Detail] == nil {
				count[event.Detail] = map[int]int{}
			}
			count[event.Detail][at]++
		case FaultChanged:
			if b := faults[event.Detail]; b == nil {
				faults[event.Detail] = &bar{from: event.At.Seconds(), to: -1}
			} else if event.Count == 0 {
				b.to = event.At.Seconds()
			}
		}
	}
	for i, word := range slices.Sorted(maps.Keys(count)) {
		xy := make(plotter.XYs, last+1)
		for s := range xy {
			xy[s].X, xy[s].Y = float64(s), float64(count[word][s])
		}
		line, err := plotter.NewLine(xy)
		if err != nil {
			return err
		}
		line.Color = lineColor(i)
		line.Width = vg.Points(1.5)
		figure.Add(line)
		figure.Legend.Add(word, line)
	}
	for i, word := range slices.Sorted(maps.Keys(faults)) {
		b := faults[word]
		if b.to < 0 {
			b.to = float64(last)
		}
		y := -float64(i+1) * max(figure.Y.Max, 1) / 25
		line, err := plotter.NewLine(plotter.XYs{{X: b.from, Y: y}, {X: b.to, Y: y}})
		if err != nil {
			return err
		}
		line.Color = lineColor(i + 4)
		line.Width = vg.Points(4)
		figure.Add(line)
		figure.Legend.Add(word, line)
	}
	figure.Legend.Top = true
	figure.Y.Max *= 1.3 // room for the legend
	return figure.Save(24*vg.Centimeter, 11*vg.Centimeter, path)
}

// lineColor is one of seven that are told apart also by those who see few (Okabe and Ito).
func lineColor(i int) color.Color {
	c := [][3]uint8{{0, 114, 178}, {213, 94, 0}, {0, 158, 115}, {204, 121, 167}, {230, 159, 0}, {86, 180, 233}, {80, 80, 80}}[i%7]
	return color.RGBA{c[0], c[1], c[2], 255}
}
