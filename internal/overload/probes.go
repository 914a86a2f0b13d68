package overload

import (
	"time"

	"falldeal/admission"
	"falldeal/internal/fleet"
)

// Tuning of coordinated probes. The values are our own; docs/probes.md has the measurements.
const (
	failureThreshold       = 6                // consecutive failures until a store counts as failing; as in the breaker
	warnedFailureThreshold = 1                // the same after other members' warning
	minUnhealthyMembers    = 2                // at least so many must be unhealthy for the store to be the cause
	unhealthyQuorumDivisor = 10               // and one member in so many
	probeTurnDuration      = 2 * time.Second  // of a member's turn
	probeTurnTimeout       = 5 * time.Second  // after which a turn that nothing is heard of passes on
	verifiersPerRecovered  = 3                // members that verify the store for each one that has recovered
	recoveringDuration     = 30 * time.Second // for which a member publishes that it has recovered
	maxProbeRound          = 1 << 40          // rounds from here on are not believed
)

// StoreState is the state of a store as one member finds it, and publishes it.
type StoreState uint8

// The states of a store, as they are encoded.
const (
	StoreHealthy      StoreState = iota // as far as the member knows
	StoreUnresponsive                   // calls fail
	StoreProbing                        // calls fail, and it is this member's turn to probe
	StoreRecovering                     // calls succeed again
)

var storeStateNames = [...]string{"fine", "trouble", "trying", "back"}

func (s StoreState) String() string { return storeStateNames[min(int(s), len(storeStateNames)-1)] }

// ProbeAllowance limits the calls that a member may make to probe its store.
type ProbeAllowance uint8

// The allowances.
const (
	ProbeUnlimited ProbeAllowance = iota // as the member's own breaker allows
	ProbeCautious                        // the same, but the first failure counts: other members have warned
	ProbeSingle                          // one call at a time
	ProbeNone
)

var probeAllowanceNames = [...]string{"unlimited", "cautious", "single", "none"}

func (a ProbeAllowance) String() string {
	return probeAllowanceNames[min(int(a), len(probeAllowanceNames)-1)]
}

// ProtectedCalls returns the number of calls in each window of the circuit breaker that it never drops: what the
// breaker is set to while the allowance is in force. A negative number has the breaker drop every call.
func (a ProbeAllowance) ProtectedCalls() float64 {
	switch a {
	case ProbeUnlimited:
		return admission.BreakerProtectedCalls
	case ProbeCautious:
		return 0
	case ProbeSingle:
		return 1
	default: // ProbeNone
		return -1
	}
}

// ProbeCoordinator decides which members probe a store that does not respond. Members of one zone with the same store
// are a group, so that a store that is slow from one zone only is probed, and found again, by that zone.
//
// In a group one member probes at a time, in numbered rounds that pass on if the member is lost, instead of each as
// often as its own breaker allows. A member whose probe succeeds publishes that; then some others verify it with probes
// of their own, and more for each one that succeeds. So no single member can open or close the store for all.
//
// It belongs to one goroutine.
type ProbeCoordinator struct {
	run                 uint64
	zone                string
	storeID             uint32
	state               StoreState
	stateSince          time.Duration
	consecutiveFailures int
	successes           int // since the state changed
	round               uint64
	roundSince          time.Duration // when this member learned of the round
	unhealthyMembers    int           // of the group
}

// NewProbeCoordinator returns a coordinator for a process, with a store that is assumed to be healthy.
func NewProbeCoordinator(run uint64, zone string) *ProbeCoordinator {
	return &ProbeCoordinator{run: run, zone: zone}
}

// State returns the state of the store as this member finds it.
func (p *ProbeCoordinator) State() StoreState { return p.state }

// UnhealthyMembers returns how many members of the group find the store failing, with this one if it does.
func (p *ProbeCoordinator) UnhealthyMembers() int { return p.unhealthyMembers }

// AddToLoad adds what other members need for their decisions to the load that this one publishes.
func (p *ProbeCoordinator) AddToLoad(load *fleet.Load) {
	load.StoreState, load.StoreID, load.ProbeRound = uint8(p.state), p.storeID, p.round
}

// CallEnded notes the end of a call; ok if it was answered in time.
func (p *ProbeCoordinator) CallEnded(ok bool) {
	if ok {
		p.consecutiveFailures = 0
		p.successes++
	} else {
		p.consecutiveFailures++
	}
}

// Tick returns what this member may probe now. It is called a few times a second. Now is on the clock of this server, at
// is the time of the view. Another storeID, after a reload of the settings, starts afresh.
func (p *ProbeCoordinator) Tick(
	now time.Duration, storeID uint32, view *fleet.Snapshot, at time.Duration,
) ProbeAllowance {
	if storeID != p.storeID {
		*p = ProbeCoordinator{run: p.run, zone: p.zone, storeID: storeID}
	}
	group := p.group(view, at)
	if p.state == StoreUnresponsive || p.state == StoreProbing {
		return p.tickUnhealthy(now, &group)
	}
	return p.tickHealthy(now, &group)
}

// probeGroup is what is known of the other members of a group.
type probeGroup struct {
	size      int             // this member included
	unhealthy []*fleet.Member // that find the store failing
	recovered int
}

// quorum returns how many members must find the store failing for it to be the cause.
func (g *probeGroup) quorum() int { return max(minUnhealthyMembers, g.size/unhealthyQuorumDivisor) }

// group returns the other members of this member's group whose load is recent.
func (p *ProbeCoordinator) group(view *fleet.Snapshot, at time.Duration) probeGroup {
	maxAge := fleet.MaxFreshAge(len(view.Members))
	group := probeGroup{size: 1}
	for i := range view.Members {
		member := &view.Members[i]
		if member.Self || member.Load.StoreID != p.storeID || member.Zone != p.zone || !member.Serves(at, maxAge) {
			continue
		}
		group.size++
		switch StoreState(member.Load.StoreState) {
		case StoreUnresponsive, StoreProbing:
			group.unhealthy = append(group.unhealthy, member)
		case StoreRecovering:
			group.recovered++
		case StoreHealthy:
		}
	}
	return group
}

// tickHealthy is the tick of a member whose calls succeed, or that makes none.
func (p *ProbeCoordinator) tickHealthy(now time.Duration, group *probeGroup) ProbeAllowance {
	p.unhealthyMembers = len(group.unhealthy)
	allowance, threshold := ProbeUnlimited, failureThreshold
	if p.state == StoreHealthy && len(group.unhealthy) >= group.quorum() {
		allowance, threshold = ProbeCautious, warnedFailureThreshold
	}
	switch {
	case p.consecutiveFailures >= threshold:
		p.transition(now, StoreUnresponsive)
		p.roundSince = now
		for _, member := range group.unhealthy {
			p.round = max(p.round, member.Load.ProbeRound)
		}
	case p.state == StoreRecovering && now-p.stateSince > recoveringDuration:
		p.transition(now, StoreHealthy)
	}
	return allowance
}

// tickUnhealthy is the tick of a member whose calls fail.
func (p *ProbeCoordinator) tickUnhealthy(now time.Duration, group *probeGroup) ProbeAllowance {
	p.unhealthyMembers = len(group.unhealthy) + 1
	if p.successes > 0 {
		p.transition(now, StoreRecovering)
		return ProbeUnlimited
	}
	if p.unhealthyMembers < group.quorum() { // the cause may be this member
		p.state = StoreUnresponsive
		return ProbeUnlimited
	}
	if p.takeTurn(now, group.unhealthy) || p.verifies(group) {
		return ProbeSingle
	}
	return ProbeNone
}

// transition changes the state and forgets the calls that led to it.
func (p *ProbeCoordinator) transition(now time.Duration, state StoreState) {
	p.state, p.stateSince = state, now
	p.consecutiveFailures, p.successes = 0, 0
}

// takeTurn reports whether it is this member's turn to probe, and begins or ends the turn.
func (p *ProbeCoordinator) takeTurn(now time.Duration, unhealthy []*fleet.Member) bool {
	p.updateRound(now, unhealthy)
	switch {
	case !p.holdsRound(unhealthy):
		p.state = StoreUnresponsive
		return false
	case p.state != StoreProbing:
		p.state, p.stateSince, p.successes = StoreProbing, now, 0
	case now-p.stateSince > probeTurnDuration:
		p.state = StoreUnresponsive
		p.startRound(now, p.round+1)
		return false
	}
	return true
}

// updateRound takes the latest round that is published, and starts the next one if a round has timed out.
func (p *ProbeCoordinator) updateRound(now time.Duration, unhealthy []*fleet.Member) {
	for _, member := range unhealthy {
		if round := member.Load.ProbeRound; round > p.round && round < maxProbeRound {
			p.startRound(now, round)
		}
	}
	if now-p.roundSince > probeTurnTimeout {
		p.startRound(now, p.round+1)
	}
}

func (p *ProbeCoordinator) startRound(now time.Duration, round uint64) {
	p.round, p.roundSince = round, now
}

// holdsRound reports whether the round names this member: whether it has the highest hash of the unhealthy members.
func (p *ProbeCoordinator) holdsRound(unhealthy []*fleet.Member) bool {
	seed := mix(p.round)
	ownHash := mix(p.run ^ seed)
	for _, member := range unhealthy {
		if mix(member.Run^seed) > ownHash {
			return false
		}
	}
	return true
}

// verifies reports whether this member is one of those that verify a recovery: the first by a hash, some for each member
// that has recovered.
func (p *ProbeCoordinator) verifies(group *probeGroup) bool {
	rank, ownHash := 0, mix(p.run)
	for _, member := range group.unhealthy {
		if mix(member.Run) < ownHash {
			rank++
		}
	}
	return rank < verifiersPerRecovered*group.recovered
}
