package release_test

import (
	"fmt"

	"falldeal/internal/release"
)

// With the new version one request in ten fails, with the old version one in a hundred.
func ExampleJudge() {
	judge, err := release.NewJudge(release.Criteria{
		FalseHaltRate: 0.01,
		FalsePassRate: 0.05,
		MinEffect:     0.02,
		MinRequests:   500,
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	group := release.Group{Zone: "eu-a", Class: "preview", Metric: "failed"}
	for round := 1; ; round++ {
		if err := judge.Observe(group, release.Block{Baseline: 900, BaselineBad: 9, Canary: 100, CanaryBad: 10}); err != nil {
			fmt.Println(err)
			return
		}
		if verdict, worst := judge.Verdict(); verdict != release.Inconclusive {
			fmt.Println(verdict, "in", worst.Class, "after round", round)
			return
		}
	}
	// Output:
	// rejected in preview after round 2
}
