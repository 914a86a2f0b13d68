package admission_test

import (
	"fmt"
	"time"

	"falldeal/admission"
)

// A server feeds what happens to it and carries out the actions in order.
func Example() {
	ctl, err := admission.New(admission.Settings{
		Cores: 2, FleetSize: 1, MemoryKB: 64000, RunningMemoryFactor: 4, MaxConcurrencyPerCore: 4, Tick: time.Millisecond,
		Classes: []admission.Class{{LatencyObjective: time.Second, Deadline: 3 * time.Second, PriorityWeight: 1}},
	}, 1, 0)
	if err != nil {
		fmt.Println(err)
		return
	}
	names := map[admission.ActionKind]string{admission.ActionHealth: "health", admission.ActionWake: "wake", admission.ActionRun: "run"}
	now := 10 * time.Millisecond
	arrived := []admission.Event{admission.RequestArrived(1, admission.Arrival{MemoryKB: 20, CostHint: 50 * time.Millisecond})}
	for _, action := range ctl.Step(now, arrived, nil) {
		fmt.Println(names[action.Kind], action.ID)
	}
	ended := []admission.Event{admission.RunCompleted(1, admission.Completion{Outcome: admission.OutcomeOK, Took: 60 * time.Millisecond})}
	fmt.Println(len(ctl.Step(now+60*time.Millisecond, ended, nil)), "more actions")
	// Output:
	// health 0
	// run 1
	// wake 0
	// 0 more actions
}
