package history

import (
	"strings"
	"time"
)

// StoreSummary summarizes the load on all stores together.
type StoreSummary struct {
	Calls               int     // calls started
	MaxInFlight         int     // largest number of calls in flight
	MeanInFlight        float64 // mean number of calls in flight over time
	OverloadedTimeRatio float64 // part of the time with more calls in flight than the bound, from 0 to 1
}

// SummarizeStores summarizes the calls of a history, over the time from the start of the first call to the last start or end of
// a call. The stores count as overloaded with more than bound calls in flight.
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

// StoreLoadDuringFault returns the calls per second that reached the stores, and the largest number of calls in flight, during
// the first fault of a kind. It leaves out the first part of the fault, of the length settled. It covers the calls of all
// stores, so the fault should affect all of them. Both results are 0 if there was no such fault, or if it did not last longer
// than settled.
func StoreLoadDuringFault(events []Event, kind string, settled time.Duration) (rate float64, maxInFlight int) {
	load := faultLoad{prefix: kind + " ", settled: settled}
	for i := range events {
		load.apply(&events[i])
	}
	return load.result()
}

// faultLoad measures the load on the stores during one fault.
type faultLoad struct {
	prefix  string        // prefix of the names of faults of the kind
	settled time.Duration // from the start of the fault to the start of the measurement

	from, to    time.Duration // start and end of the measurement; 0: not known yet
	last        time.Duration // time of the last event
	inFlight    int           // calls in flight
	calls       int           // calls started during the measurement
	maxInFlight int           // largest number of calls in flight during the measurement
}

// apply takes the next event into account.
func (l *faultLoad) apply(event *Event) {
	l.last = event.At
	switch event.Kind {
	case FaultChanged:
		l.faultChanged(event)
	case CallStarted:
		l.inFlight++
	case CallEnded:
		l.inFlight--
	default: // does not change the load
	}
	if l.from == 0 || event.At < l.from || l.to != 0 {
		return
	}
	l.maxInFlight = max(l.maxInFlight, l.inFlight)
	if event.Kind == CallStarted {
		l.calls++
	}
}

// faultChanged sets the start and the end of the measurement.
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

// result returns the calls per second and the largest number of calls in flight during the measurement. Both are 0 if there
// was none.
func (l *faultLoad) result() (rate float64, maxInFlight int) {
	to := l.to
	if to == 0 {
		to = l.last // the fault was still active at the end of the history
	}
	if l.from == 0 || to <= l.from {
		return 0, 0
	}
	return float64(l.calls) / (to - l.from).Seconds(), l.maxInFlight
}
