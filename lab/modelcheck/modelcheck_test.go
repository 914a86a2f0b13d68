package modelcheck

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// counterSteps returns the steps of a counter that can add one or double itself, up to 10.
func counterSteps(n int) (steps []Step[int]) {
	for _, step := range []Step[int]{{Name: "add", To: n + 1}, {Name: "double", To: 2 * n}} {
		if step.To <= 10 {
			steps = append(steps, step)
		}
	}
	return steps
}

// Guards against a search that misses states or violations, finds a path that is not a shortest one, or claims to be complete
// though the bound on steps ended it.
func TestSearchFindsShortestViolationWithinBound(t *testing.T) {
	isNine := func(n int) string {
		if n == 9 {
			return "the counter is 9"
		}
		return ""
	}
	for name, testCase := range map[string]struct {
		depth     int
		violation func(int) string
		want      Result
	}{
		"no violation":   {20, func(int) string { return "" }, Result{States: 10, Complete: true}},
		"bound on steps": {2, func(int) string { return "" }, Result{States: 4}},
		"violation in the last step": {
			4, isNine, Result{Violation: "the counter is 9", Steps: []string{"add", "double", "double", "add"}, States: 10},
		},
		"violation beyond the bound": {3, isNine, Result{States: 7}},
		"violation in the start":     {0, func(int) string { return "always" }, Result{Violation: "always", States: 1}},
		"bound of 0 steps":           {0, isNine, Result{States: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, testCase.want, Search(1, testCase.depth, counterSteps, strconv.Itoa, testCase.violation))
		})
	}
}
