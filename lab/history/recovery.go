package history

import "time"

// How a return to service is judged: by the worth served of what arrived in a window, against that before the trouble.
const (
	recoverWindow = 2 * time.Second
	recoverStays  = 4 * time.Second // for which it has to last
	recoverPart   = 0.95
	recoverStep   = 250 * time.Millisecond
	recoverBefore = 6 * time.Second // of the time before the trouble that counts
)

// RecoveryTime is how long after the end of a trouble, which began at from and ended at to, service was back at 95% of what
// it was before, and stayed there; ok is false where it did not come back by the end of the history.
func RecoveryTime(events []Event, from, to time.Duration) (after time.Duration, ok bool) {
	var worth, got []float64 // by the step in which a request arrived
	for i := range events {
		e := &events[i]
		if e.Kind != RequestCompleted {
			continue
		}
		k := int(max(e.At-e.Latency, 0) / recoverStep)
		for len(worth) <= k {
			worth, got = append(worth, 0), append(got, 0)
		}
		worth[k] += e.Value
		got[k] += e.ValueServed
	}
	share := func(from, to time.Duration) float64 {
		var w, g float64
		for k := int(max(from, 0) / recoverStep); k < int(to/recoverStep) && k < len(worth); k++ {
			w, g = w+worth[k], g+got[k]
		}
		if w == 0 {
			return 0
		}
		return g / w
	}
	wanted := recoverPart * share(from-recoverBefore, from)
	stays := time.Duration(0)
	for at := to; at+recoverWindow <= time.Duration(len(worth))*recoverStep; at += recoverStep {
		if share(at, at+recoverWindow) < wanted {
			stays = 0
			continue
		}
		if stays += recoverStep; stays >= recoverStays {
			return at - stays + recoverStep - to, true
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
