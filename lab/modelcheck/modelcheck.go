// Package modelcheck checks an invariant in every reachable state of a small protocol. It searches breadth first, so
// that the counterexample that it finds has the fewest steps. It is for protocols small enough to be searched
// completely: a handful of members, amounts and steps.
package modelcheck

import "slices"

// Step is a transition: something that may happen in a state, and the state that it leads to.
type Step[S any] struct {
	Name string
	To   S
}

// Result is what a search found.
type Result struct {
	Why    string   // the violation of the invariant; empty if there is none
	Steps  []string // the fewest steps from the start to the violation
	States int      // different states reached
	Whole  bool     // all reachable states were checked: the bound on steps left none out
}

// node is a state on the search's frontier, with the path that led to it.
type node[S any] struct {
	state S
	from  *node[S] // nil at the start
	step  string   // that led here from there
}

// path returns the names of the steps from the start.
func (n *node[S]) path() (steps []string) {
	for ; n.from != nil; n = n.from {
		steps = append(steps, n.step)
	}
	slices.Reverse(steps)
	return steps
}

// Visit searches the states that are reachable from start within depth steps, and ends at the first violation. Next
// returns the steps that are possible in a state; it must not change the state. Key returns equal strings for states
// that are the same. Violation says how a state violates the invariant; empty if it does not.
func Visit[S any](
	start S, depth int, next func(S) []Step[S], key func(S) string, violation func(S) string,
) Result {
	seen := map[string]bool{key(start): true}
	frontier := []*node[S]{{state: start}}
	for steps := 0; len(frontier) > 0; steps++ {
		var reached []*node[S]
		for _, current := range frontier {
			if why := violation(current.state); why != "" {
				return Result{Why: why, Steps: current.path(), States: len(seen)}
			}
			if steps < depth {
				reached = append(reached, current.expand(seen, next, key)...)
			}
		}
		if steps == depth {
			return Result{States: len(seen)}
		}
		frontier = reached
	}
	return Result{States: len(seen), Whole: true}
}

// expand returns the states one step away that were not seen before, and marks them as seen.
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
