package overload

import (
	"time"

	"falldeal/internal/fleet"
)

const (
	roundTimeout = 5 * time.Second // a member starts the next round if it learns of none for longer than this
	maxRound     = 1 << 40         // update, but not join, ignores published rounds from this one on
)

// probeRound is the latest round of probing that a member knows of. A round selects one process of a group: the unhealthy
// member with the highest hash of process and round. Members with the same view agree on it without a message. If the
// selected member is lost, the round times out and the next one begins.
type probeRound struct {
	number uint64
	since  time.Duration // when this member learned of the round
}

// join adopts the latest round that the unhealthy members of the group publish. It is called when this member becomes
// unhealthy.
func (r *probeRound) join(now time.Duration, unhealthy []*fleet.Member) {
	r.since = now
	for _, member := range unhealthy {
		r.number = max(r.number, member.Load.ProbeRound)
	}
}

// update adopts a later round that another unhealthy member publishes. If the round has timed out it starts the next one.
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

// start sets the round, as of now.
func (r *probeRound) start(now time.Duration, number uint64) {
	r.number = number
	r.since = now
}

// selects reports whether the round selects the process with this run rather than one of the other unhealthy members.
func (r *probeRound) selects(run uint64, unhealthy []*fleet.Member) bool {
	seed := mix(r.number)
	ownHash := mix(run ^ seed)
	for _, member := range unhealthy {
		if mix(member.Run^seed) > ownHash {
			return false
		}
	}
	return true
}
