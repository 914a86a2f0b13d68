package permit

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Check reports rules that make no sense.
func (r *Rules) Check() error {
	if !(r.Margin >= 0 && r.Margin < 1) {
		return fmt.Errorf("margin: %v is not between 0 and 1", r.Margin)
	}
	if len(r.Limits) == 0 {
		return errors.New("limits: none")
	}
	for i, l := range r.Limits {
		switch {
		case l.Each != "" && l.Each != "zone" && l.Each != "region":
			return fmt.Errorf("limits[%d].each: %q is neither zone nor region", i, l.Each)
		case l.MaxOut < 0 || (l.MaxOut > 0) == (l.MaxRatio > 0):
			return fmt.Errorf("limits[%d]: wants one of out and share", i)
		case !(l.MaxRatio >= 0 && l.MaxRatio <= 1):
			return fmt.Errorf("limits[%d].share: %v is not between 0 and 1", i, l.MaxRatio)
		}
	}
	return nil
}

// scope is the part of the fleet in which an instance counts for a limit; ok is false where it counts for none.
func (l *Limit) scope(p Place) (name string, ok bool) {
	if l.Region != "" && l.Region != p.Region || l.Zone != "" && l.Zone != p.Zone {
		return "", false
	}
	switch l.Each {
	case "zone":
		return p.Region + "/" + p.Zone, true
	case "region":
		return p.Region, true
	}
	return "all", true
}

// most is how many of n may be out. A share is rounded down, so that it is never passed.
func (l *Limit) most(n int) int {
	if l.MaxOut > 0 {
		return l.MaxOut
	}
	return int(l.MaxRatio * float64(n))
}

// holds says which limit would not hold with those out; empty: all do. Only scopes that one of the names is in count: what
// is over its limit elsewhere, by losses, holds up nobody here.
func (r *Rules) holds(places map[string]Place, out map[string]bool, names []string) string {
	for i := range r.Limits {
		l := &r.Limits[i]
		all, gone, asked := map[string]int{}, map[string]int{}, map[string]bool{}
		for name, p := range places {
			if scope, ok := l.scope(p); ok {
				all[scope]++
				if out[name] {
					gone[scope]++
				}
			}
		}
		for _, name := range names {
			if scope, ok := l.scope(places[name]); ok {
				asked[scope] = true
			}
		}
		for _, scope := range slices.Sorted(maps.Keys(asked)) {
			most := l.most(all[scope])
			if most == 0 {
				return fmt.Sprintf("limits[%d]: of %d in %s none may ever go", i, all[scope], scope)
			}
			if gone[scope] > most {
				return fmt.Sprintf("limits[%d]: %d of %d in %s would be out or lost, and %d may be", i, gone[scope], all[scope], scope, most)
			}
		}
	}
	return ""
}
