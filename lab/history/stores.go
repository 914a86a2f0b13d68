package history

import (
	"strings"
	"time"
)

// StoreSummary is the load on all stores together.
type StoreSummary struct {
	Calls               int
	MaxInFlight         int     // calls at one instant
	MeanInFlight        float64 // calls, averaged over the time
	OverloadedTimeRatio float64 // of the time, with more calls in flight than a bound
}

// SummarizeStores sums up the calls of a history, from the first to the last of them.
func SummarizeStores(events []Event, bound int) (summary StoreSummary) {
	inFlight := 0
	last := time.Duration(0)
	var inFlightTime, overloadedTime, total time.Duration
	for i := range events {
		event := &events[i]
		if event.Kind != CallStarted && event.Kind != CallEnded {
			continue
		}
		if total > 0 || inFlight > 0 {
			elapsed := event.At - last
			total += elapsed
			inFlightTime += time.Duration(inFlight) * elapsed
			if inFlight > bound {
				overloadedTime += elapsed
			}
		}
		last = event.At
		if event.Kind == CallEnded {
			inFlight--
			continue
		}
		inFlight++
		summary.Calls++
		summary.MaxInFlight = max(summary.MaxInFlight, inFlight)
	}
	summary.MeanInFlight = float64(inFlightTime) / float64(max(total, 1))
	summary.OverloadedTimeRatio = float64(overloadedTime) / float64(max(total, 1))
	return summary
}

// StoreLoadDuringFault returns how many calls a second came to the stores, and how many were in flight at most, while the
// first fault of a kind was in force for longer than settled. It counts the calls of all stores, so the fault should
// affect all of them. Both are 0 if the fault did not last that long.
func StoreLoadDuringFault(events []Event, kind string, settled time.Duration) (rate float64, maxInFlight int) {
	load := faultLoad{prefix: kind + " ", settled: settled}
	for i := range events {
		load.apply(&events[i])
	}
	return load.result()
}

// faultLoad measures the load on the stores during one fault.
type faultLoad struct {
	prefix  string // of the names of faults of the kind
	settled time.Duration

	from, to    time.Duration // of the measurement; 0 = not yet
	last        time.Duration // time of the last event
	inFlight    int
	calls       int
	maxInFlight int
}

func (l *faultLoad) apply(event *Event) {
	l.last = event.At
	switch event.Kind {
	case FaultChanged:
		l.faultChanged(event)
	case CallStarted:
		l.inFlight++
	case CallEnded:
		l.inFlight--
	default: // of no call
	}
	if l.from == 0 || event.At < l.from || l.to != 0 {
		return
	}
	l.maxInFlight = max(l.maxInFlight, l.inFlight)
	if event.Kind == CallStarted {
		l.calls++
	}
}

func (l *faultLoad) faultChanged(event *Event) {
	if !strings.HasPrefix(event.Detail, l.prefix) {
		return
	}
	switch {
	case event.Count == 1 && l.from == 0:
		l.from = event.At + l.settled
	case event.Count == 0 && l.to == 0:
		l.to = event.At
	}
}

// result returns the calls a second and the most calls in flight during the measurement; both are 0 if there was
// none.
func (l *faultLoad) result() (rate float64, maxInFlight int) {
	to := l.to
	if to == 0 {
		to = l.last // the fault outlasts the history
	}
	if l.from == 0 || to <= l.from {
		return 0, 0
	}
	return float64(l.calls) / (to - l.from).Seconds(), l.maxInFlight
}
