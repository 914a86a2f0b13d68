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
	sums := map[string]*RequestSummary{}
	for i := range events {
		e := &events[i]
		if e.Kind != RequestCompleted {
			continue
		}
		for _, class := range []string{"", e.Class} {
			s := sums[class]
			if s == nil {
				s = &RequestSummary{Latency: hdrhistogram.New(1, int64(time.Minute/time.Millisecond), 3)}
				sums[class] = s
			}
			s.Requests++
			s.Attempts += e.Count
			s.Value += e.Value
			switch e.Detail {
			case "served":
				s.Served++
				s.ValueServed += e.ValueServed
				if e.ValueServed == e.Value {
					s.ServedInFull++
				}
				_ = s.Latency.RecordValue(max(e.Latency.Milliseconds(), 1)) // longer than a minute: the caller has gone
			case "late":
				s.Late++
			case "refused":
				s.Rejected++
			default:
				s.Failed++
			}
		}
	}
	return sums
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
	var held, over, all time.Duration
	for i := range events {
		e := &events[i]
		if e.Kind != CallStarted && e.Kind != CallEnded {
			continue
		}
		if all > 0 || n > 0 {
			held += time.Duration(n) * (e.At - last)
			if n > bound {
				over += e.At - last
			}
			all += e.At - last
		}
		last = e.At
		if e.Kind == CallEnded {
			n--
			continue
		}
		n++
		s.Calls++
		s.MaxInFlight = max(s.MaxInFlight, n)
	}
	s.MeanInFlight, s.OverBoundRatio = float64(held)/float64(max(all, 1)), float64(over)/float64(max(all, 1))
	return s
}

// ReadCostRatio is what reading a request costs in the laboratory, of the mean work of one.
const ReadCostRatio = 0.25

// OptimalValue is the worth that a policy could serve that sees all requests ahead and all cores as one, with so many
// seconds of cores: each is read once, and then those are run that earn the most for their work. It knows no end of
// patience, no calls and no time that runs are in each other's way, so that nothing serves more.
func OptimalValue(events []Event, cores float64) (worth float64) {
	var all []*Event
	var work time.Duration
	for i := range events {
		if e := &events[i]; e.Kind == RequestCompleted && e.Work > 0 {
			all = append(all, e)
			work += e.Work
		}
	}
	cores -= ReadCostRatio * work.Seconds()
	slices.SortFunc(all, func(a, b *Event) int { return cmp.Compare(b.Value/b.Work.Seconds(), a.Value/a.Work.Seconds()) })
	for _, e := range all {
		if cores -= e.Work.Seconds(); cores < 0 {
			break
		}
		worth += e.Value
	}
	return worth
}

// RejectionFairness is Jain's index of the share of tries that each server turned away: 1 where all turn away alike, 1/n where one
// does so alone.
func RejectionFairness(events []Event) float64 {
	asked, off := map[string]float64{}, map[string]float64{}
	for i := range events {
		switch e := &events[i]; {
		case e.Kind == AttemptSent:
			asked[e.Server]++
		case e.Kind == AttemptAnswered && e.Detail == "refused":
			off[e.Server]++
		}
	}
	var sum, squares float64
	for server, n := range asked {
		x := off[server] / n
		sum, squares = sum+x, squares+x*x
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (float64(len(asked)) * squares)
}

// StoreLoadDuringFault is how many calls a second stores took, and how many they had in hand at most, while a fault was in force for
// longer than settled. Calls that go to stores which have no fault count as well: have the fault befall all of them.
func StoreLoadDuringFault(events []Event, kind string, settled time.Duration) (rate float64, most int) {
	var from, to, last time.Duration
	n, calls := 0, 0
	for i := range events {
		e := &events[i]
		last = e.At
		switch {
		case e.Kind == FaultChanged && strings.HasPrefix(e.Detail, kind+" ") && e.Count == 1 && from == 0:
			from = e.At + settled
		case e.Kind == FaultChanged && strings.HasPrefix(e.Detail, kind+" ") && e.Count == 0 && to == 0:
			to = e.At
		case e.Kind == CallStarted:
			n++
		case e.Kind == CallEnded:
			n--
		}
		if from > 0 && e.At >= from && to == 0 {
			most = max(most, n)
			if e.Kind == CallStarted {
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
	return float64(calls) / (to - from).Seconds(), most
}

// PrintSummary prints the sums as a table.
func PrintSummary(w io.Writer, events []Event) error {
	sums := SummarizeRequests(events)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "class\trequests\tserved\tlate\trefused\tfailed\ttries each\tworth served\tmedian ms\t99% ms\t")
	for _, class := range slices.Sorted(maps.Keys(sums)) {
		s := sums[class]
		name := class
		if name == "" {
			name = "all"
		}
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.3f\t%d\t%d\t\n", name, s.Requests, s.Served, s.Late, s.Rejected, s.Failed,
			float64(s.Attempts)/float64(s.Requests), s.ValueServed/max(s.Value, 1e-9), s.Latency.ValueAtQuantile(50), s.Latency.ValueAtQuantile(99))
	}
	return t.Flush()
}

// Plot draws requests by their end over time, and faults as bars under them, into a file (PNG, SVG or PDF).
func Plot(path, title string, events []Event) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "requests a second"
	count := map[string]map[int]int{}
	last := 0
	type bar struct{ from, to float64 }
	faults := map[string]*bar{}
	for i := range events {
		e := &events[i]
		at := int(e.At / time.Second)
		last = max(last, at)
		switch e.Kind {
		case RequestCompleted:
			if count[e.Detail] == nil {
				count[e.Detail] = map[int]int{}
			}
			count[e.Detail][at]++
		case FaultChanged:
			if b := faults[e.Detail]; b == nil {
				faults[e.Detail] = &bar{from: e.At.Seconds(), to: -1}
			} else if e.Count == 0 {
				b.to = e.At.Seconds()
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
		line.Color = colour(i)
		line.Width = vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(word, line)
	}
	for i, word := range slices.Sorted(maps.Keys(faults)) {
		b := faults[word]
		if b.to < 0 {
			b.to = float64(last)
		}
		y := -float64(i+1) * max(p.Y.Max, 1) / 25
		line, err := plotter.NewLine(plotter.XYs{{X: b.from, Y: y}, {X: b.to, Y: y}})
		if err != nil {
			return err
		}
		line.Color = colour(i + 4)
		line.Width = vg.Points(4)
		p.Add(line)
		p.Legend.Add(word, line)
	}
	p.Legend.Top = true
	p.Y.Max *= 1.3 // room for the legend
	return p.Save(24*vg.Centimeter, 11*vg.Centimeter, path)
}

// colour is one of seven that are told apart also by those who see few (Okabe and Ito).
func colour(i int) color.Color {
	c := [][3]uint8{{0, 114, 178}, {213, 94, 0}, {0, 158, 115}, {204, 121, 167}, {230, 159, 0}, {86, 180, 233}, {80, 80, 80}}[i%7]
	return color.RGBA{c[0], c[1], c[2], 255}
}
