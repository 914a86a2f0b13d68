package overload

import (
	"cmp"
	"time"

	"falldeal/internal/fleet"
)

// How a fleet tries a store that does not answer. All of these are ours; the page on probes has what was measured.
const (
	failureThreshold       = 6                // failures in a row after which a member that nobody warned has trouble; as the breaker
	warnedFailureThreshold = 1                // and one that was warned by others
	minUnhealthyMembers    = 2                // members in trouble, at least, by which a store is taken to be the cause
	unhealthyQuorumDivisor = 10               // and one in so many
	probeTurnDuration      = 2 * time.Second  // that a member has the turn
	probeTurnTimeout       = 5 * time.Second  // after which a turn of which nothing is heard goes to the next
	verifiersPerRecovered  = 3                // members that check for each one that is back
	recoveringDuration     = 30 * time.Second // for which a member says that it is back
	maxProbeRound          = 1 << 40          // a greater number is nobody's
)

// StoreState is how a member stands to its store, as it tells it.
type StoreState uint8

const (
	StoreHealthy    StoreState = iota // as far as it knows
	StoreFailing                      // its calls fail
	StoreProbing                      // they do, and it has the turn to try
	StoreRecovering                   // they did, and succeed again
)

var storeStateNames = [...]string{"fine", "trouble", "trying", "back"}

func (s StoreState) String() string { return storeStateNames[min(int(s), len(storeStateNames)-1)] }

// ProbeAllowance is what a member may try of its store.
type ProbeAllowance uint8

const (
	ProbeUnlimited ProbeAllowance = iota // what it does alone
	ProbeCautious                        // the first failure counts: others have warned
	ProbeSingle                          // one call at a time
	ProbeNone
)

// ProbeCoordinator decides who tries a store that does not answer: one member at a time in each zone, by turns that go on when
// whoever has one is lost, instead of each as often as its own breaker lets through. Whoever finds that the store answers
// says so; then some others check, each for itself, and more for each that finds the same. So nobody can open or close
// it for all. Members of one zone with one store are a group: a store that is slow from one zone only is tried, and
// found, by that zone. It belongs to one goroutine.
type ProbeCoordinator struct {
	run                 uint64
	zone                string
	storeID             uint32
	state               StoreState
	stateSince          time.Duration
	consecutiveFailures int // in a row
	successes           int // since the trouble began
	round               uint64
	roundSince          time.Duration // when that was heard of
	unhealthyMembers    int           // members of the group in trouble, this one included
}

// NewProbeCoordinator begins with a store that is taken to be well.
func NewProbeCoordinator(run uint64, zone string) *ProbeCoordinator {
	return &ProbeCoordinator{run: run, zone: zone}
}

// State is how this member stands to its store, and Agreed how many members of its group are in trouble.
func (p *ProbeCoordinator) State() StoreState     { return p.state }
func (p *ProbeCoordinator) UnhealthyMembers() int { return p.unhealthyMembers }

// AddToLoad adds to a word what others go by.
func (p *ProbeCoordinator) AddToLoad(load *fleet.Load) {
	load.StoreState, load.StoreID, load.ProbeRound = uint8(p.state), p.storeID, p.round
}

// CallEnded notes that a call has ended; ok: with an answer in time.
func (p *ProbeCoordinator) CallEnded(ok bool) {
	if ok {
		p.consecutiveFailures = 0
		p.successes++
	} else {
		p.consecutiveFailures++
	}
}

// Tick is taken a few times a second. It returns what this member may try now.
func (p *ProbeCoordinator) Tick(now time.Duration, storeID uint32, view *fleet.Snapshot, at time.Duration) ProbeAllowance {
	if storeID != p.storeID { // the configuration names another one
		*p = ProbeCoordinator{run: p.run, zone: p.zone, storeID: storeID}
	}
	maxAge := fleet.Fresh(len(view.Members))
	groupSize, recovered := 1, 0
	var unhealthy []*fleet.Member // of the group, in trouble
	for i := range view.Members {
		member := &view.Members[i]
		if member.Self || member.Load.StoreID != storeID || member.Zone != p.zone || !member.Serves(at, maxAge) {
			continue
		}
		groupSize++
		switch StoreState(member.Load.StoreState) {
		case StoreFailing, StoreProbing:
			unhealthy = append(unhealthy, member)
		case StoreRecovering:
			recovered++
		}
	}
	quorum := max(minUnhealthyMembers, groupSize/unhealthyQuorumDivisor)
	if p.state == StoreHealthy || p.state == StoreRecovering {
		return p.tickHealthy(now, quorum, unhealthy)
	}
	p.unhealthyMembers = len(unhealthy) + 1
	switch {
	case p.successes > 0:
		p.transition(now, StoreRecovering)
		return ProbeUnlimited
	case p.unhealthyMembers < quorum: // it may be this member's own
		p.state = StoreFailing
		return ProbeUnlimited
	}
	if p.holdsTurn(now, unhealthy) || recovered > 0 && p.rank(unhealthy) < verifiersPerRecovered*recovered {
		return ProbeSingle
	}
	return ProbeNone
}

// tickHealthy is the turn of a member whose calls succeed, or that makes none.
func (p *ProbeCoordinator) tickHealthy(now time.Duration, quorum int, unhealthy []*fleet.Member) ProbeAllowance {
	p.unhealthyMembers = len(unhealthy)
	allowance, threshold := ProbeUnlimited, failureThreshold
	if p.state == StoreHealthy && len(unhealthy) >= quorum {
		allowance, threshold = ProbeCautious, warnedFailureThreshold
	}
	switch {
	case p.consecutiveFailures >= threshold:
		p.transition(now, StoreFailing)
		p.roundSince = now
		for _, member := range unhealthy {
			p.round = max(p.round, member.Load.ProbeRound)
		}
	case p.state == StoreRecovering && now-p.stateSince > recoveringDuration:
		p.transition(now, StoreHealthy)
	}
	return allowance
}

func (p *ProbeCoordinator) transition(now time.Duration, state StoreState) {
	p.state, p.stateSince, p.consecutiveFailures, p.successes = state, now, 0, 0
}

// holdsTurn reports whether the turn is this member's. Turns are numbered; the number names one of those in trouble.
func (p *ProbeCoordinator) holdsTurn(now time.Duration, unhealthy []*fleet.Member) bool {
	for _, member := range unhealthy {
		if member.Load.ProbeRound > p.round && member.Load.ProbeRound < maxProbeRound {
			p.round, p.roundSince = member.Load.ProbeRound, now
		}
	}
	if now-p.roundSince > probeTurnTimeout {
		p.round, p.roundSince = p.round+1, now
	}
	ownHash, holder := mix(p.run^mix(p.round)), true
	for _, member := range unhealthy {
		if h := mix(member.Run ^ mix(p.round)); cmp.Compare(h, ownHash) > 0 {
			holder = false
			break
		}
	}
	switch {
	case !holder:
		p.state = StoreFailing
	case p.state != StoreProbing:
		p.state, p.stateSince, p.successes = StoreProbing, now, 0
	case now-p.stateSince > probeTurnDuration:
		p.state, p.round, p.roundSince = StoreFailing, p.round+1, now
		holder = false
	}
	return holder
}

// rank is how many of those in trouble check before this member does.
func (p *ProbeCoordinator) rank(unhealthy []*fleet.Member) (n int) {
	ownHash := mix(p.run)
	for _, member := range unhealthy {
		if mix(member.Run) < ownHash {
			n++
		}
	}
	return n
}
