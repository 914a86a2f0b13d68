package admission_test

import (
	"fmt"
	"time"

	"falldeal/admission"
)

// The owner of a controller passes events to Step and carries out the actions in order.
func Example() {
	controller, err := admission.New(admission.Settings{
		Cores: 2, FleetSize: 1, MemoryKB: 64000, RunningMemoryFactor: 4, MaxConcurrencyPerCore: 4, Tick: time.Millisecond,
		Classes: []admission.Class{{LatencyObjective: time.Second, Deadline: 3 * time.Second, PriorityWeight: 1}},
	}, 1, 0)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := 10 * time.Millisecond
	arrival := admission.Arrival{MemoryKB: 20, CostHint: 50 * time.Millisecond}
	for _, action := range controller.Step(now, []admission.Event{admission.RequestArrived(1, arrival)}, nil) {
		fmt.Println(action.Kind, action.ID)
	}
	now += 60 * time.Millisecond
	completion := admission.Completion{Outcome: admission.OutcomeOK, Duration: 60 * time.Millisecond}
	actions := controller.Step(now, []admission.Event{admission.RunCompleted(1, completion)}, nil)
	fmt.Println(len(actions), "more actions")
	// Output:
	// health 0
	// run 1
	// wake 0
	// 0 more actions
}
