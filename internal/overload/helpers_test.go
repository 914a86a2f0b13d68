package overload

import (
	"fmt"
	"time"

	"falldeal/internal/fleet"
)

// viewOf returns a view of members with these loads, in which the first one, n0, is the observer.
func viewOf(members int, now time.Duration, load func(member int) fleet.Load) *fleet.Snapshot {
	view := fleet.NewView("n0", fleet.Limits{Members: members})
	for member := range members {
		name, run := fmt.Sprint("n", member), uint64(member+1)
		view.Merge(now, 0, fleet.Record{
			Name:  name,
			Run:   run,
			Seq:   uint64(now) + 1,
			State: fleet.Serving,
			Load:  load(member),
		})
		view.ObserveReach(now, name, run, fleet.Reached)
	}
	return view.Snapshot(now)
}

// setObserver makes another member the observer of a view.
func setObserver(view *fleet.Snapshot, observer int) {
	for i := range view.Members {
		view.Members[i].Self = view.Members[i].Name == fmt.Sprint("n", observer)
	}
}

// totalOf returns the sum of values.
func totalOf(values []float64) (total float64) {
	for _, value := range values {
		total += value
	}
	return total
}
