package history

import "time"

// A recovery is judged by the ratio of value served, by the arrival of requests, against that before the fault.
const (
	recoveryWindow  = 2 * time.Second // over which the ratio is taken
	recoveryMinimum = 4 * time.Second // for which the ratio has to stay up
	recoveryRatio   = 0.95            // of the ratio before the fault
	recoveryStep    = 250 * time.Millisecond
	baselineWindow  = 6 * time.Second // before the fault
)

// RecoveryTime returns how long after the end of a fault, which lasted from from to to, the service was back at 95% of the
// value that it served before, and stayed there. Ok is false if it was not back by the end of the history.
func RecoveryTime(events []Event, from, to time.Duration) (after time.Duration, ok bool) {
	values := valuesByArrival(events)
	baseline := recoveryRatio * values.servedRatio(from-baselineWindow, from)
	sustained := time.Duration(0)
	for at := to; at+recoveryWindow <= values.end(); at += recoveryStep {
		if values.servedRatio(at, at+recoveryWindow) < baseline {
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

// valueSeries is the value of requests and what of it was served, by the recoveryStep in which they arrived.
type valueSeries struct{ offered, served []float64 }

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

func (v *valueSeries) end() time.Duration { return time.Duration(len(v.offered)) * recoveryStep }

// servedRatio returns the ratio of the value that was served, of requests that arrived in an interval; 0 without any.
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

// FirstFault returns when the first fault of a history started and ended. Ok is false if it did not do both.
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
