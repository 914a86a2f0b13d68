package fleet

import (
	"slices"
	"time"
)

// How long members that left or are unconfirmed are retained after they were last reached. Limits.ForgetAfter applies
// instead where it is shorter.
const (
	leftRetention        = 5 * time.Minute
	unconfirmedRetention = 10 * time.Minute
)

// RemoveExpired removes the members that were last reached longer ago than their retention.
func (v *View) RemoveExpired(now time.Duration) {
	maxAge := v.maxRecordAge()
	for _, name := range slices.Clone(v.names) {
		if name == v.self {
			continue
		}
		entry := v.entries[name]
		retention, bounded := v.retention(entry.liveness(now, maxAge))
		if bounded && now-entry.lastReached > retention {
			v.remove(name)
		}
	}
}

// retention returns how long a member is retained after it was last reached. Members whose process may be running are
// retained without bound.
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

// evict removes, of the members that left or failed, the one that was last reached the longest ago. It returns false if
// there is none.
func (v *View) evict(now time.Duration) bool {
	evicted := ""
	maxAge := v.maxRecordAge()
	for _, name := range v.names {
		entry := v.entries[name]
		if name == v.self || !entry.liveness(now, maxAge).ended() {
			continue
		}
		if evicted == "" || entry.lastReached < v.entries[evicted].lastReached {
			evicted = name
		}
	}
	if evicted == "" {
		return false
	}
	v.remove(evicted)
	return true
}

func (v *View) remove(name string) {
	delete(v.entries, name)
	if i, ok := slices.BinarySearch(v.names, name); ok {
		v.names = slices.Delete(v.names, i, i+1)
	}
}
