package overload

import (
	"time"

	"falldeal/internal/fleet"
)

const (
	failureThreshold       = 6                // consecutive failures after which a store counts as unresponsive
	warnedFailureThreshold = 1                // the threshold while a quorum of other members considers the store unresponsive
	turnDuration           = 2 * time.Second  // time for which a member probes in a round
	recoveringDuration     = 30 * time.Second // time for which a member publishes StoreRecovering
)

// ProbeCoordinator decides which members probe a store that does not respond. The members of one zone that use the same
// store form a group, as a store may be unresponsive from one zone only: then only members of that zone can detect that
// it has recovered.
//
// The rules are:
//
//  1. A member considers its store unresponsive after failureThreshold consecutive failures. If a quorum of its group
//     already does, one failure is enough, except for a member that considers the store recovering.
//  2. Below the quorum, the member itself may be the cause. Then only its own circuit breaker limits its probes.
//  3. With a quorum, one member of the group probes at a time, in numbered rounds (see probeRound). The others make no
//     call.
//  4. A member whose call succeeds publishes StoreRecovering for 30 s. For each such member, a few more members verify the
//     store with probes of their own. No single member can declare the store unresponsive or healthy for the group.
//
// It belongs to one goroutine.
type ProbeCoordinator struct {
	run              uint64 // see ProcessID.Run
	zone             string // zone of this member
	storeID          uint32 // hash that identifies the store
	state            StoreState
	stateSince       time.Duration // when state was last set
	calls            callResults   // calls since state was last set
	round            probeRound
	unhealthyMembers int // as returned by UnhealthyMembers
}

// callResults counts the calls to the store since ProbeCoordinator.state was last set.
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

// NewProbeCoordinator returns a coordinator for the process with this run. It assumes that the store is healthy.
func NewProbeCoordinator(run uint64, zone string) *ProbeCoordinator {
	return &ProbeCoordinator{run: run, zone: zone}
}

// State returns the state of the store as this member finds it.
func (p *ProbeCoordinator) State() StoreState { return p.state }

// UnhealthyMembers returns how many members of the group found the store unresponsive at the last Tick. This member counts
// if it was unhealthy before that Tick.
func (p *ProbeCoordinator) UnhealthyMembers() int { return p.unhealthyMembers }

// AddToLoad adds the state of the store and the probe round to the load that this member publishes.
func (p *ProbeCoordinator) AddToLoad(load *fleet.Load) {
	load.StoreState = uint8(p.state)
	load.StoreID = p.storeID
	load.ProbeRound = p.round.number
}

// RecordCall records the end of a call to the store. ok reports whether the store answered in time.
func (p *ProbeCoordinator) RecordCall(ok bool) { p.calls.add(ok) }

// Tick updates the state of the store and returns the calls that this member may make now. It is to be called a few times
// a second. The time now is on the clock of this server, at is on the clock of the view. If storeID has changed, after a
// reload of the settings, the new store is assumed to be healthy.
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

// tickHealthy does Tick for a member that considers the store healthy or recovering.
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

// tickUnhealthy does Tick for a member that considers the store unresponsive, whether it probes or not.
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

// takeTurn reports whether it is this member's turn to probe, and begins or ends the turn. A member whose turn has lasted
// longer than turnDuration starts the next round.
func (p *ProbeCoordinator) takeTurn(now time.Duration, unhealthy []*fleet.Member) bool {
	p.round.update(now, unhealthy)
	switch {
	case !p.round.selects(p.run, unhealthy):
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

// setState sets the state as of now, and clears the count of calls.
func (p *ProbeCoordinator) setState(now time.Duration, state StoreState) {
	p.state = state
	p.stateSince = now
	p.calls = callResults{}
}
