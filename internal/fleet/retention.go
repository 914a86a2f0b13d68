package fleet

import (
	"slices"
	"time"
)

// How long members are retained that are not expected to come back, where Limits.ForgetAfter is not shorter.
const (
	leftRetention        = 5 * time.Minute
	unconfirmedRetention = 10 * time.Minute
)

// Forget removes members that have not been reached for long.
func (v *View) Forget(now time.Duration) {
	fresh := v.freshAge()
	for _, name := range slices.Clone(v.names) {
		if name == v.self {
			continue
		}
		entry := v.entries[name]
		retention, bounded := v.retention(entry.liveness(now, fresh))
		if bounded && now-entry.lastReached > retention {
			v.remove(name)
		}
	}
}

// retention is how long a member is retained after it was last reached. It is not bounded for those that are there.
func (v *View) retention(liveness Liveness) (retention time.Duration, bounded bool) {
	switch liveness {
	case Alive, Suspect, Stalled:
		return 0, false
	case Left:
		return min(v.limits.ForgetAfter, leftRetention), true
	case Unconfirmed:
		return min(v.limits.ForgetAfter, unconfirmedRetention), true
	default: // Unreachable, Failed
		return v.limits.ForgetAfter, true
	}
}

// evict removes the member that left or died longest ago, and returns whether there was one.
func (v *View) evict(now time.Duration) bool {
	longestEnded := ""
	fresh := v.freshAge()
	for _, name := range v.names {
		entry := v.entries[name]
		if name == v.self || !entry.liveness(now, fresh).ended() {
			continue
		}
		if longestEnded == "" || entry.lastReached < v.entries[longestEnded].lastReached {
			longestEnded = name
		}
	}
	if longestEnded == "" {
		return false
	}
	v.remove(longestEnded)
	return true
}

func (v *View) remove(name string) {
	delete(v.entries, name)
	if i, ok := slices.BinarySearch(v.names, name); ok {
		v.names = slices.Delete(v.names, i, i+1)
	}
}
