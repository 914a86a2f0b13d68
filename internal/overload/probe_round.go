package overload

import (
	"time"

	"falldeal/internal/fleet"
)

const (
	roundTimeout = 5 * time.Second // without news of a round, after which the next one begins
	maxRound     = 1 << 40         // rounds from here on are not believed
)

// probeRound is the round of probing that a member knows of. A round names one process of a group: the one with the
// highest hash of process and round among the unhealthy members. Members whose views are the same agree on it without a
// message, and a lost member loses its turn when the round times out.
type probeRound struct {
	number uint64
	since  time.Duration // when this member learned of it
}

// join takes over the latest round of a group, at the time at which this member becomes unhealthy.
func (r *probeRound) join(now time.Duration, unhealthy []*fleet.Member) {
	r.since = now
	for _, member := range unhealthy {
		r.number = max(r.number, member.Load.ProbeRound)
	}
}

// update takes over a later round that is published, and starts the next one if a round has timed out.
func (r *probeRound) update(now time.Duration, unhealthy []*fleet.Member) {
	for _, member := range unhealthy {
		if published := member.Load.ProbeRound; published > r.number && published < maxRound {
			r.start(now, published)
		}
	}
	if now-r.since > roundTimeout {
		r.start(now, r.number+1)
	}
}

func (r *probeRound) start(now time.Duration, number uint64) {
	r.number = number
	r.since = now
}

// names reports whether the round names this process and none of the other unhealthy members.
func (r *probeRound) names(run uint64, unhealthy []*fleet.Member) bool {
	seed := mix(r.number)
	ownHash := mix(run ^ seed)
	for _, member := range unhealthy {
		if mix(member.Run^seed) > ownHash {
			return false
		}
	}
	return true
}
