package overload

import (
	"fmt"
	"time"

	"falldeal/internal/fleet"
)

// viewOf returns the view of the first member, n0, of members n0, n1 and so on, which all serve. load returns the load of
// each.
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

// setObserver marks the member with this index as the observer of a view.
func setObserver(view *fleet.Snapshot, observer int) {
	for i := range view.Members {
		view.Members[i].Self = view.Members[i].Name == fmt.Sprint("n", observer)
	}
}

// totalOf returns the sum of the values.
func totalOf(values []float64) (total float64) {
	for _, value := range values {
		total += value
	}
	return total
}
