package history

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the latencies in a RequestSummary, in ms; all are recorded to three significant figures.
const (
	minLatencyMillis   = 1
	maxLatencyMillis   = int64(time.Minute / time.Millisecond)
	significantFigures = 3
)

// RequestSummary sums up the requests of a class.
type RequestSummary struct {
	Requests, Served, Late, Rejected, Failed int

	Attempts     int
	ServedInFull int     // served without degradation
	Value        float64 // of all requests
	ValueServed  float64
	Latency      *hdrhistogram.Histogram // of served requests, in ms, up to a minute
}

func newRequestSummary() *RequestSummary {
	return &RequestSummary{Latency: hdrhistogram.New(minLatencyMillis, maxLatencyMillis, significantFigures)}
}

func (s *RequestSummary) add(event *Event) {
	s.Requests++
	s.Attempts += event.Count
	s.Value += event.Value
	switch event.Outcome() {
	case OutcomeServed:
		s.Served++
		s.ValueServed += event.ValueServed
		if event.ValueServed == event.Value {
			s.ServedInFull++
		}
		// An error means a latency of more than a minute, after which no client waits.
		_ = s.Latency.RecordValue(max(event.Latency.Milliseconds(), minLatencyMillis))
	case OutcomeLate:
		s.Late++
	case OutcomeRejected:
		s.Rejected++
	default: // failed, lost, abandoned or unreachable
		s.Failed++
	}
}

// SummarizeRequests sums up the requests of a history by class; the class "" holds all of them, and is missing if
// there are none.
func SummarizeRequests(events []Event) map[string]*RequestSummary {
	summaries := map[string]*RequestSummary{}
	for i := range events {
		event := &events[i]
		if event.Kind != RequestCompleted {
			continue
		}
		for _, class := range []string{"", event.Class} {
			if summaries[class] == nil {
				summaries[class] = newRequestSummary()
			}
			summaries[class].add(event)
		}
	}
	return summaries
}

// PrintSummary prints the summary of a history's requests as a table.
func PrintSummary(w io.Writer, events []Event) error {
	summaries := SummarizeRequests(events)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "class\trequests\tserved\tlate\trejected\tfailed\tattempts per request\tvalue served\tp50 ms\tp99 ms\t")
	for _, class := range slices.Sorted(maps.Keys(summaries)) {
		summary := summaries[class]
		name := class
		if name == "" {
			name = "all"
		}
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.3f\t%d\t%d\t\n",
			name, summary.Requests, summary.Served, summary.Late, summary.Rejected, summary.Failed,
			float64(summary.Attempts)/float64(summary.Requests), summary.ValueServed/max(summary.Value, 1e-9),
			summary.Latency.ValueAtQuantile(50), summary.Latency.ValueAtQuantile(99))
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

// ReadCostRatio is the work of reading a request in the laboratory, as a ratio of the mean work of requests.
const ReadCostRatio = 0.25

// OptimalValue returns an upper bound on the value that can be served with coreSeconds of work on all cores together.
// It is that of a policy which knows all requests in advance: it reads each once, and runs those of the highest value
// for their work. The bound ignores timeouts, calls, and runs that slow each other down.
func OptimalValue(events []Event, coreSeconds float64) (value float64) {
	var requests []*Event
	var work time.Duration
	for i := range events {
		if event := &events[i]; event.Kind == RequestCompleted && event.Work > 0 {
			requests = append(requests, event)
			work += event.Work
		}
	}
	coreSeconds -= ReadCostRatio * work.Seconds()
	slices.SortFunc(requests, func(a, b *Event) int {
		return cmp.Compare(b.Value/b.Work.Seconds(), a.Value/a.Work.Seconds())
	})
	for _, request := range requests {
		if coreSeconds -= request.Work.Seconds(); coreSeconds < 0 {
			break
		}
		value += request.Value
	}
	return value
}

// RejectionFairness returns Jain's fairness index of the ratios of attempts that the servers rejected: 1 where all
// ratios are equal, and 1/n where one of n servers rejected alone.
func RejectionFairness(events []Event) float64 {
	sent := map[string]float64{} // by server
	rejected := map[string]float64{}
	for i := range events {
		switch event := &events[i]; {
		case event.Kind == AttemptSent:
			sent[event.Server]++
		case event.Kind == AttemptAnswered && event.Outcome() == OutcomeRejected:
			rejected[event.Server]++
		}
	}
	var total, squares float64
	for server, n := range sent {
		ratio := rejected[server] / n
		total += ratio
		squares += ratio * ratio
	}
	if squares == 0 {
		return 1
	}
	return total * total / (float64(len(sent)) * squares)
}
