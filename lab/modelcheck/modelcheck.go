// Package modelcheck visits every state that a small protocol can get to, breadth first, so that the steps to a broken
// one are the fewest. It is for protocols small enough to be visited whole: a handful of members, amounts and steps.
package modelcheck

// Step is one thing that may happen in a state, and the state it leads to.
type Step[S any] struct {
	Name string
	To   S
}

// Result is what a visit came to.
type Result struct {
	Why    string   // what was broken; empty: nothing
	Steps  []string // the fewest that lead there
	States int      // that were visited
	Whole  bool     // no state was left out for the bound on steps
}

// Visit visits what can be reached from start within so many steps. Next returns what may happen; it must not change
// its argument. Key tells states apart. Broken says what is wrong with a state, or nothing.
func Visit[S any](start S, depth int, next func(S) []Step[S], key func(S) string, broken func(S) string) Result {
	type node struct {
		state S
		from  *node
		step  string
	}
	trace := func(current *node) (steps []string) {
		for ; current.from != nil; current = current.from {
			steps = append([]string{current.step}, steps...)
		}
		return steps
	}
	seen := map[string]bool{key(start): true}
	level := []*node{{state: start}}
	for steps := 0; len(level) > 0; steps++ {
		var deeper []*node
		for _, current := range level {
			if why := broken(current.state); why != "" {
				return Result{Why: why, Steps: trace(current), States: len(seen)}
			}
			if steps == depth {
				continue
			}
			for _, step := range next(current.state) {
				if id := key(step.To); !seen[id] {
					seen[id] = true
					deeper = append(deeper, &node{step.To, current, step.Name})
				}
			}
		}
		if steps == depth {
			return Result{States: len(seen)}
		}
		level = deeper
	}
	return Result{States: len(seen), Whole: true}
}
