package history

import "time"

// RecoveryTime compares the ratio of value served in a sliding window after a fault with the ratio before the fault. Requests
// are assigned to the time of their arrival, not of their completion.
const (
	recoveryWindow  = 2 * time.Second        // length of the sliding window
	recoveryMinimum = 4 * time.Second        // for which the ratio in the sliding window must stay at or above the limit
	recoveryRatio   = 0.95                   // the limit, relative to the ratio before the fault
	recoveryStep    = 250 * time.Millisecond // by which the sliding window advances
	baselineWindow  = 6 * time.Second        // over which the ratio before the fault is computed
)

// RecoveryTime returns how long after the end of a fault the service was back at 95% of the ratio of value that it served
// before, and stayed there for recoveryMinimum. The fault started at from and ended at to. Ok is false if the history ends
// before such a recovery.
func RecoveryTime(events []Event, from, to time.Duration) (after time.Duration, ok bool) {
	values := valuesByArrival(events)
	limit := recoveryRatio * values.servedRatio(from-baselineWindow, from)
	sustained := time.Duration(0)
	for at := to; at+recoveryWindow <= values.end(); at += recoveryStep {
		if values.servedRatio(at, at+recoveryWindow) < limit {
			sustained = 0
			continue
		}
		sustained += recoveryStep
		if sustained >= recoveryMinimum {
			return at - sustained + recoveryStep - to, true
		}
	}
	return 0, false
}

// valueSeries is the sum of the values of requests, and of the values served. Index i is for the requests that arrived in the
// recoveryStep that begins at i*recoveryStep.
type valueSeries struct{ offered, served []float64 }

// valuesByArrival returns the series for the completed requests of a history.
func valuesByArrival(events []Event) (values valueSeries) {
	for i := range events {
		event := &events[i]
		if event.Kind != RequestCompleted {
			continue
		}
		step := int(max(event.At-event.Latency, 0) / recoveryStep)
		for len(values.offered) <= step {
			values.offered = append(values.offered, 0)
			values.served = append(values.served, 0)
		}
		values.offered[step] += event.Value
		values.served[step] += event.ValueServed
	}
	return values
}

// end returns the end of the last step.
func (v *valueSeries) end() time.Duration { return time.Duration(len(v.offered)) * recoveryStep }

// servedRatio returns the value served as a ratio of the value offered, for requests that arrived in [from, to); 0 if none
// arrived. Both times are rounded down to a multiple of recoveryStep.
func (v *valueSeries) servedRatio(from, to time.Duration) float64 {
	var offered, served float64
	for step := int(max(from, 0) / recoveryStep); step < int(to/recoveryStep) && step < len(v.offered); step++ {
		offered += v.offered[step]
		served += v.served[step]
	}
	if offered == 0 {
		return 0
	}
	return served / offered
}

// FirstFault returns when the first fault of a history started and ended. Ok is false if there is no fault, or if the first one
// did not end.
func FirstFault(events []Event) (from, to time.Duration, ok bool) {
	name := ""
	for i := range events {
		switch event := &events[i]; {
		case event.Kind != FaultChanged:
		case event.Count == 1 && name == "":
			name = event.Detail
			from = event.At
		case event.Count == 0 && event.Detail == name:
			return from, event.At, true
		}
	}
	return 0, 0, false
}
