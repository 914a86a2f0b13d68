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
	trace := func(n *node) (steps []string) {
		for ; n.from != nil; n = n.from {
			steps = append([]string{n.step}, steps...)
		}
		return steps
	}
	seen := map[string]bool{key(start): true}
	level := []*node{{state: start}}
	for d := 0; len(level) > 0; d++ {
		var below []*node
		for _, n := range level {
			if why := broken(n.state); why != "" {
				return Result{Why: why, Steps: trace(n), States: len(seen)}
			}
			if d == depth {
				continue
			}
			for _, s := range next(n.state) {
				if k := key(s.To); !seen[k] {
					seen[k] = true
					below = append(below, &node{s.To, n, s.Name})
				}
			}
		}
		if d == depth {
			return Result{States: len(seen)}
		}
		level = below
	}
	return Result{States: len(seen), Whole: true}
}
