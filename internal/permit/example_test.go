package permit_test

import (
	"errors"
	"fmt"

	"falldeal/internal/permit"
)

// The rules allow one unavailable instance per zone.
func Example() {
	state := permit.NewState()
	state.Apply(permit.Command{
		Kind: permit.SetRules,
		Rules: permit.Rules{
			Version: 1,
			Limits:  []permit.Limit{{Per: permit.PerZone, MaxUnavailable: 1}},
			Margin:  0.2,
		},
	})
	view := permit.FleetView{
		Instances: []permit.Instance{
			{Name: "n0", Region: "eu", Zone: "a"},
			{Name: "n1", Region: "eu", Zone: "a"},
			{Name: "n2", Region: "eu", Zone: "b"},
		},
		Load:     0.5,
		Capacity: map[string]float64{"n0": 1, "n1": 1, "n2": 1},
	}
	for _, name := range []string{"n0", "n1", "n2"} {
		decision := state.Apply(permit.Command{
			Kind:         permit.Acquire,
			Owner:        "deploy",
			Names:        []string{name},
			Incarnations: map[string]uint64{name: 1},
			View:         view,
		})
		var limit *permit.LimitError
		if errors.As(decision.Denial, &limit) {
			fmt.Println(name, "denied in", limit.Domain)
			continue
		}
		fmt.Println(name, "granted:", decision.Granted())
	}
	// Output:
	// n0 granted: true
	// n1 denied in eu/a
	// n2 granted: true
}
