// Package modelcheck is an explicit-state model checker: it checks an invariant in every state of a protocol that is reachable
// within a number of steps. The search is breadth-first, so a counterexample has the smallest possible number of steps. The
// protocol must be small enough for an exhaustive search: few processes, few values of each variable and few steps.
package modelcheck

import "slices"

// Step is a transition from one state to another.
type Step[S any] struct {
	Name string // describes the transition in counterexamples
	To   S      // state after the transition
}

// Result is the result of a search.
type Result struct {
	Violation string   // description; empty if none was found
	Steps     []string // names of the steps of a shortest path from the start to the violation
	States    int      // distinct states reached
	Complete  bool     // all reachable states were checked; false if the last allowed step still reached new states
}

// node is a state that the search has reached, with the path to it.
type node[S any] struct {
	state S
	from  *node[S] // node before the last step; nil at the start
	step  string   // name of the last step
}

// path returns the names of the steps from the start to n.
func (n *node[S]) path() (steps []string) {
	for ; n.from != nil; n = n.from {
		steps = append(steps, n.step)
	}
	slices.Reverse(steps)
	return steps
}

// Search checks the states that are reachable from start within depth steps, and returns at the first violation.
//
//   - Next returns the steps that are possible in a state. It must not modify the state.
//   - Key returns a string that is the same for two states if and only if they count as equal.
//   - Violation returns how a state violates the invariant, or "" if it does not.
func Search[S any](
	start S, depth int, next func(S) []Step[S], key func(S) string, violation func(S) string,
) Result {
	visited := map[string]bool{key(start): true}
	frontier := []*node[S]{{state: start}}
	for steps := 0; len(frontier) > 0; steps++ {
		var reached []*node[S]
		for _, current := range frontier {
			if description := violation(current.state); description != "" {
				return Result{Violation: description, Steps: current.path(), States: len(visited)}
			}
			if steps < depth {
				reached = append(reached, current.expand(visited, next, key)...)
			}
		}
		if steps == depth {
			return Result{States: len(visited)}
		}
		frontier = reached
	}
	return Result{States: len(visited), Complete: true}
}

// expand returns the states one step after n that were not visited before, and marks them as visited.
func (n *node[S]) expand(visited map[string]bool, next func(S) []Step[S], key func(S) string) (reached []*node[S]) {
	for _, step := range next(n.state) {
		id := key(step.To)
		if visited[id] {
			continue
		}
		visited[id] = true
		reached = append(reached, &node[S]{state: step.To, from: n, step: step.Name})
	}
	return reached
}
