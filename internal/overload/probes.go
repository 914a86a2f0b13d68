package overload

import (
	"time"

	"falldeal/internal/fleet"
)

const (
	failureThreshold       = 6                // consecutive failures until a store counts as unresponsive
	warnedFailureThreshold = 1                // the same while a quorum of other members finds it unresponsive
	turnDuration           = 2 * time.Second  // for which a member probes
	recoveringDuration     = 30 * time.Second // for which a member publishes that its store has recovered
)

// ProbeCoordinator decides which members probe a store that does not respond. Members of one zone with the same store
// are a group, so that a store that is unresponsive from one zone only is probed, and found again, by that zone.
//
// The rule, in the order in which Tick applies it:
//
//  1. A member finds its store unresponsive after failureThreshold consecutive failures; after the first one, if a
//     quorum of its group already does.
//  2. Below the quorum the cause may be the member itself, and it probes as its own breaker allows.
//  3. With a quorum one member probes at a time, in numbered rounds (see probeRound). The others make no call.
//  4. A member whose call succeeds publishes that the store is recovering. For each such member a few more verify it
//     with probes of their own, so that no single member can declare the store unresponsive or healthy for all.
//
// It belongs to one goroutine.
type ProbeCoordinator struct {
	run              uint64 // this process
	zone             string
	storeID          uint32
	state            StoreState
	stateSince       time.Duration
	calls            callResults
	round            probeRound
	unhealthyMembers int // of the group, this one included
}

// callResults counts calls since the state of the store changed.
type callResults struct {
	consecutiveFailures int
	successes           int
}

func (r *callResults) add(ok bool) {
	if ok {
		r.consecutiveFailures = 0
		r.successes++
	} else {
		r.consecutiveFailures++
	}
}

// NewProbeCoordinator returns a coordinator for a process, with a store that is assumed to be healthy.
func NewProbeCoordinator(run uint64, zone string) *ProbeCoordinator {
	return &ProbeCoordinator{run: run, zone: zone}
}

// State returns the state of the store as this member finds it.
func (p *ProbeCoordinator) State() StoreState { return p.state }

// UnhealthyMembers returns how many members of the group find the store unresponsive, with this one if it does.
func (p *ProbeCoordinator) UnhealthyMembers() int { return p.unhealthyMembers }

// AddToLoad adds what other members need for their decisions to the load that this one publishes.
func (p *ProbeCoordinator) AddToLoad(load *fleet.Load) {
	load.StoreState = uint8(p.state)
	load.StoreID = p.storeID
	load.ProbeRound = p.round.number
}

// CallEnded notes the end of a call; ok if it was answered in time.
func (p *ProbeCoordinator) CallEnded(ok bool) { p.calls.add(ok) }

// Tick returns what this member may probe now. It is called a few times a second. Now is on the clock of this server, at
// is the time of the view. Another storeID, after a reload of the settings, starts afresh.
func (p *ProbeCoordinator) Tick(
	now time.Duration, storeID uint32, view *fleet.Snapshot, at time.Duration,
) CallAllowance {
	if storeID != p.storeID {
		*p = ProbeCoordinator{run: p.run, zone: p.zone, storeID: storeID}
	}
	group := storeGroupOf(view, at, p.zone, storeID)
	if p.state.unhealthy() {
		return p.tickUnhealthy(now, &group)
	}
	return p.tickHealthy(now, &group)
}

// tickHealthy is the tick of a member whose calls succeed, or that makes none.
func (p *ProbeCoordinator) tickHealthy(now time.Duration, group *storeGroup) CallAllowance {
	p.unhealthyMembers = len(group.unhealthy)
	allowance := AllowUnlimited
	threshold := failureThreshold
	if p.state == StoreHealthy && group.hasQuorum(len(group.unhealthy)) {
		allowance = AllowCautious
		threshold = warnedFailureThreshold
	}
	switch {
	case p.calls.consecutiveFailures >= threshold:
		p.setState(now, StoreUnresponsive)
		p.round.join(now, group.unhealthy)
	case p.state == StoreRecovering && now-p.stateSince > recoveringDuration:
		p.setState(now, StoreHealthy)
	}
	return allowance
}

// tickUnhealthy is the tick of a member whose calls fail.
func (p *ProbeCoordinator) tickUnhealthy(now time.Duration, group *storeGroup) CallAllowance {
	p.unhealthyMembers = len(group.unhealthy) + 1
	if p.calls.successes > 0 {
		p.setState(now, StoreRecovering)
		return AllowUnlimited
	}
	if !group.hasQuorum(p.unhealthyMembers) {
		p.setState(now, StoreUnresponsive)
		return AllowUnlimited
	}
	if p.takeTurn(now, group.unhealthy) || group.verifies(p.run) {
		return AllowSingle
	}
	return AllowNone
}

// takeTurn reports whether it is this member's turn to probe, and begins or ends the turn. A member that ends its turn
// starts the next round.
func (p *ProbeCoordinator) takeTurn(now time.Duration, unhealthy []*fleet.Member) bool {
	p.round.update(now, unhealthy)
	switch {
	case !p.round.names(p.run, unhealthy):
		p.setState(now, StoreUnresponsive)
		return false
	case p.state != StoreProbing:
		p.setState(now, StoreProbing)
	case now-p.stateSince > turnDuration:
		p.setState(now, StoreUnresponsive)
		p.round.start(now, p.round.number+1)
		return false
	}
	return true
}

// setState sets the state, since now, and forgets the calls that led to it.
func (p *ProbeCoordinator) setState(now time.Duration, state StoreState) {
	p.state = state
	p.stateSince = now
	p.calls = callResults{}
}
