package overload

import (
	"cmp"
	"time"

	"falldeal/internal/fleet"
)

// How a fleet tries a store that does not answer. All of these are ours; the page on probes has what was measured.
const (
	failsAlone  = 6                // failures in a row after which a member that nobody warned has trouble; as the breaker
	failsWarned = 1                // and one that was warned by others
	fewestAgree = 2                // members in trouble, at least, by which a store is taken to be the cause
	agreePart   = 10               // and one in so many
	turnFor     = 2 * time.Second  // that a member has the turn
	turnLost    = 5 * time.Second  // after which a turn of which nothing is heard goes to the next
	stepWidth   = 3                // members that check for each one that is back
	backFor     = 30 * time.Second // for which a member says that it is back
	mostTurns   = 1 << 40          // a greater number is nobody's
)

// StoreState is how a member stands to its store, as it tells it.
type StoreState uint8

const (
	StoreHealthy    StoreState = iota // as far as it knows
	StoreFailing                      // its calls fail
	StoreProbing                      // they do, and it has the turn to try
	StoreRecovering                   // they did, and succeed again
)

var storeStates = [...]string{"fine", "trouble", "trying", "back"}

func (s StoreState) String() string { return storeStates[min(int(s), len(storeStates)-1)] }

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
	run     uint64
	zone    string
	store   uint32
	state   StoreState
	since   time.Duration
	fails   int // in a row
	oks     int // since the trouble began
	round   uint64
	roundAt time.Duration // when that was heard of
	agreed  int           // members of the group in trouble, this one included
}

// NewProbeCoordinator begins with a store that is taken to be well.
func NewProbeCoordinator(run uint64, zone string) *ProbeCoordinator {
	return &ProbeCoordinator{run: run, zone: zone}
}

// State is how this member stands to its store, and Agreed how many members of its group are in trouble.
func (p *ProbeCoordinator) State() StoreState     { return p.state }
func (p *ProbeCoordinator) UnhealthyMembers() int { return p.agreed }

// AddToLoad adds to a word what others go by.
func (p *ProbeCoordinator) AddToLoad(l *fleet.Load) {
	l.StoreState, l.StoreID, l.ProbeRound = uint8(p.state), p.store, p.round
}

// CallEnded notes that a call has ended; ok: with an answer in time.
func (p *ProbeCoordinator) CallEnded(ok bool) {
	if ok {
		p.fails = 0
		p.oks++
	} else {
		p.fails++
	}
}

// Tick is taken a few times a second. It returns what this member may try now.
func (p *ProbeCoordinator) Tick(now time.Duration, store uint32, view *fleet.Snapshot, at time.Duration) ProbeAllowance {
	if store != p.store { // the configuration names another one
		*p = ProbeCoordinator{run: p.run, zone: p.zone, store: store}
	}
	fresh := fleet.Fresh(len(view.Members))
	all, back := 1, 0
	var ill []*fleet.Member // of the group, in trouble
	for i := range view.Members {
		m := &view.Members[i]
		if m.Self || m.Load.StoreID != store || m.Zone != p.zone || !m.Serves(at, fresh) {
			continue
		}
		all++
		switch StoreState(m.Load.StoreState) {
		case StoreFailing, StoreProbing:
			ill = append(ill, m)
		case StoreRecovering:
			back++
		}
	}
	quorum := max(fewestAgree, all/agreePart)
	if p.state == StoreHealthy || p.state == StoreRecovering {
		return p.well(now, quorum, ill)
	}
	p.agreed = len(ill) + 1
	switch {
	case p.oks > 0:
		p.become(now, StoreRecovering)
		return ProbeUnlimited
	case p.agreed < quorum: // it may be this member's own
		p.state = StoreFailing
		return ProbeUnlimited
	}
	if p.hasTurn(now, ill) || back > 0 && p.rank(ill) < stepWidth*back {
		return ProbeSingle
	}
	return ProbeNone
}

// well is the turn of a member whose calls succeed, or that makes none.
func (p *ProbeCoordinator) well(now time.Duration, quorum int, ill []*fleet.Member) ProbeAllowance {
	p.agreed = len(ill)
	leak, most := ProbeUnlimited, failsAlone
	if p.state == StoreHealthy && len(ill) >= quorum {
		leak, most = ProbeCautious, failsWarned
	}
	switch {
	case p.fails >= most:
		p.become(now, StoreFailing)
		p.roundAt = now
		for _, m := range ill {
			p.round = max(p.round, m.Load.ProbeRound)
		}
	case p.state == StoreRecovering && now-p.since > backFor:
		p.become(now, StoreHealthy)
	}
	return leak
}

func (p *ProbeCoordinator) become(now time.Duration, s StoreState) {
	p.state, p.since, p.fails, p.oks = s, now, 0, 0
}

// hasTurn reports whether the turn is this member's. Turns are numbered; the number names one of those in trouble.
func (p *ProbeCoordinator) hasTurn(now time.Duration, ill []*fleet.Member) bool {
	for _, m := range ill {
		if m.Load.ProbeRound > p.round && m.Load.ProbeRound < mostTurns {
			p.round, p.roundAt = m.Load.ProbeRound, now
		}
	}
	if now-p.roundAt > turnLost {
		p.round, p.roundAt = p.round+1, now
	}
	mine, holder := mix(p.run^mix(p.round)), true
	for _, m := range ill {
		if h := mix(m.Run ^ mix(p.round)); cmp.Compare(h, mine) > 0 {
			holder = false
			break
		}
	}
	switch {
	case !holder:
		p.state = StoreFailing
	case p.state != StoreProbing:
		p.state, p.since, p.oks = StoreProbing, now, 0
	case now-p.since > turnFor:
		p.state, p.round, p.roundAt = StoreFailing, p.round+1, now
		holder = false
	}
	return holder
}

// rank is how many of those in trouble check before this member does.
func (p *ProbeCoordinator) rank(ill []*fleet.Member) (n int) {
	mine := mix(p.run)
	for _, m := range ill {
		if mix(m.Run) < mine {
			n++
		}
	}
	return n
}
