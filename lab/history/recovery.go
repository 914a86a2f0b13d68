package history

import "time"

// How a return to service is judged: by the worth served of what arrived in a window, against that before the trouble.
const (
	recoveryWindow = 2 * time.Second
	recoveryHold   = 4 * time.Second // for which it has to last
	recoveryRatio  = 0.95
	recoveryStep   = 250 * time.Millisecond
	baselineWindow = 6 * time.Second // of the time before the trouble that counts
)

// RecoveryTime is how long after the end of a trouble, which began at from and ended at to, service was back at 95% of what
// it was before, and stayed there; ok is false where it did not come back by the end of the history.
func RecoveryTime(events []Event, from, to time.Duration) (after time.Duration, ok bool) {
	var offered, served []float64 // by the step in which a request arrived
	for i := range events {
		event := &events[i]
		if event.Kind != RequestCompleted {
			continue
		}
		step := int(max(event.At-event.Latency, 0) / recoveryStep)
		for len(offered) <= step {
			offered, served = append(offered, 0), append(served, 0)
		}
		offered[step] += event.Value
		served[step] += event.ValueServed
	}
	servedRatio := func(from, to time.Duration) float64 {
		var offeredSum, servedSum float64
		for step := int(max(from, 0) / recoveryStep); step < int(to/recoveryStep) && step < len(offered); step++ {
			offeredSum, servedSum = offeredSum+offered[step], servedSum+served[step]
		}
		if offeredSum == 0 {
			return 0
		}
		return servedSum / offeredSum
	}
	baseline := recoveryRatio * servedRatio(from-baselineWindow, from)
	held := time.Duration(0)
	for at := to; at+recoveryWindow <= time.Duration(len(offered))*recoveryStep; at += recoveryStep {
		if servedRatio(at, at+recoveryWindow) < baseline {
			held = 0
			continue
		}
		if held += recoveryStep; held >= recoveryHold {
			return at - held + recoveryStep - to, true
		}
	}
	return 0, false
}

// FirstFault is when the first fault of a history began and ended; ok is false where none did both.
func FirstFault(events []Event) (from, to time.Duration, ok bool) {
	first := ""
	for i := range events {
		switch e := &events[i]; {
		case e.Kind != FaultChanged:
		case e.Count == 1 && first == "":
			first, from = e.Detail, e.At
		case e.Count == 0 && e.Detail == first:
			return from, e.At, true
		}
	}
	return 0, 0, false
}
