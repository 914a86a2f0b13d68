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
	for i, limit := range r.Limits {
		switch {
		case limit.Per != "" && limit.Per != "zone" && limit.Per != "region":
			return fmt.Errorf("limits[%d].each: %q is neither zone nor region", i, limit.Per)
		case limit.MaxUnavailable < 0 || (limit.MaxUnavailable > 0) == (limit.MaxUnavailableRatio > 0):
			return fmt.Errorf("limits[%d]: wants one of out and share", i)
		case !(limit.MaxUnavailableRatio >= 0 && limit.MaxUnavailableRatio <= 1):
			return fmt.Errorf("limits[%d].share: %v is not between 0 and 1", i, limit.MaxUnavailableRatio)
		}
	}
	return nil
}

// scope is the part of the fleet in which an instance counts for a limit; ok is false where it counts for none.
func (l *Limit) scope(instance Instance) (domain string, ok bool) {
	if l.Region != "" && l.Region != instance.Region || l.Zone != "" && l.Zone != instance.Zone {
		return "", false
	}
	switch l.Per {
	case "zone":
		return instance.Region + "/" + instance.Zone, true
	case "region":
		return instance.Region, true
	}
	return "all", true
}

// maxUnavailable is how many of n may be out. A share is rounded down, so that it is never passed.
func (l *Limit) maxUnavailable(n int) int {
	if l.MaxUnavailable > 0 {
		return l.MaxUnavailable
	}
	return int(l.MaxUnavailableRatio * float64(n))
}

// checkLimits says which limit would not hold with those out; empty: all do. Only scopes that one of the names is in count: what
// is over its limit elsewhere, by losses, holds up nobody here.
func (r *Rules) checkLimits(instances map[string]Instance, unavailable map[string]bool, names []string) string {
	for i := range r.Limits {
		limit := &r.Limits[i]
		total, unavailableIn, requested := map[string]int{}, map[string]int{}, map[string]bool{}
		for name, p := range instances {
			if scope, ok := limit.scope(p); ok {
				total[scope]++
				if unavailable[name] {
					unavailableIn[scope]++
				}
			}
		}
		for _, name := range names {
			if scope, ok := limit.scope(instances[name]); ok {
				requested[scope] = true
			}
		}
		for _, scope := range slices.Sorted(maps.Keys(requested)) {
			allowed := limit.maxUnavailable(total[scope])
			if allowed == 0 {
				return fmt.Sprintf("limits[%d]: of %d in %s none may ever go", i, total[scope], scope)
			}
			if unavailableIn[scope] > allowed {
				return fmt.Sprintf("limits[%d]: %d of %d in %s would be out or lost, and %d may be", i, unavailableIn[scope], total[scope], scope, allowed)
			}
		}
	}
	return ""
}
