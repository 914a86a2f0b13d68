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

// Range of the latencies in a RequestSummary, in ms, and the precision to which they are recorded.
const (
	minLatencyMillis   = 1
	maxLatencyMillis   = int64(time.Minute / time.Millisecond)
	significantFigures = 3
)

// RequestSummary summarizes the requests of one class, or of all classes.
type RequestSummary struct {
	Requests, Served, Late, Rejected, Failed int // all requests, and those by outcome; Failed has the outcomes without a field

	Attempts     int                     // attempts of all requests
	ServedInFull int                     // requests served without degradation
	Value        float64                 // sum of the values of all requests
	ValueServed  float64                 // sum of the values served
	Latency      *hdrhistogram.Histogram // latencies of served requests, in ms, up to a minute
}

func newRequestSummary() *RequestSummary {
	return &RequestSummary{Latency: hdrhistogram.New(minLatencyMillis, maxLatencyMillis, significantFigures)}
}

// add adds a RequestCompleted event.
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
		// RecordValue fails for latencies of more than a minute only. No client waits that long.
		_ = s.Latency.RecordValue(max(event.Latency.Milliseconds(), minLatencyMillis))
	case OutcomeLate:
		s.Late++
	case OutcomeRejected:
		s.Rejected++
	default: // failed, lost, abandoned or unreachable
		s.Failed++
	}
}

// SummarizeRequests summarizes the completed requests of a history by class. The key "" is for all classes together. The
// result is empty if no request completed.
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

// PrintSummary prints a table with one line for each class of requests in a history, and one for all of them.
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

// ReadCostRatio is the work of reading a request in the laboratory, as a ratio of the mean work of running one.
const ReadCostRatio = 0.25

// OptimalValue returns an upper bound on the value that can be served with coreSeconds of work on all cores together; it may be
// too low by less than the value of one request. It is the value served by a policy that knows all requests in advance: it
// reads each of them once, and runs them in descending order of value per work, until the first one that does not fit into the
// remaining time. The bound ignores timeouts, calls to stores, and the slowdown of concurrent runs.
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

// RejectionFairness returns Jain's fairness index over the servers' ratios of rejected attempts: 1 if all servers rejected the
// same ratio of their attempts, or none did, and 1/n if only one of n servers rejected any.
func RejectionFairness(events []Event) float64 {
	sent := map[string]float64{} // attempts by server
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
