package decide_test

import (
	"fmt"
	"time"

	"falldeal/decide"
)

// A server feeds what happens to it and carries out the actions in order.
func Example() {
	ctl, err := decide.New(decide.Settings{
		Cores: 2, FleetSize: 1, MemoryKB: 64000, RunBlow: 4, CrowdPerCore: 4, Tick: time.Millisecond,
		Classes: []decide.Class{{Aim: time.Second, Deadline: 3 * time.Second, Value: 1}},
	}, 1, 0)
	if err != nil {
		fmt.Println(err)
		return
	}
	names := map[decide.ActionKind]string{decide.Health: "health", decide.Wake: "wake", decide.Run: "run"}
	now := 10 * time.Millisecond
	arrived := []decide.Event{{Kind: decide.Request, ID: 1, MemoryKB: 20, Hint: 50 * time.Millisecond}}
	for _, a := range ctl.Step(now, arrived, nil) {
		fmt.Println(names[a.Kind], a.ID)
	}
	ended := []decide.Event{{Kind: decide.Done, ID: 1, Outcome: decide.OK, Took: 60 * time.Millisecond}}
	fmt.Println(len(ctl.Step(now+60*time.Millisecond, ended, nil)), "more actions")
	// Output:
	// health 0
	// run 1
	// wake 0
	// 0 more actions
}
