package overload

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"falldeal/internal/fleet"

	"github.com/stretchr/testify/require"
)

// probeSimulation is a group of members with one store that dies and comes back, whose words are late and sometimes lost.
type probeSimulation struct {
	members      int
	coordinators []*ProbeCoordinator
	allowances   []ProbeAllowance
	received     [][]fleet.Load // last words that each has heard of each
	updates      []loadUpdate
	alive        []bool
	misreport    func(i int, l *fleet.Load)
	random       *rand.Rand
	now          time.Duration
	calls        [][]probeCall // in hand
	callCount    int
	inFlight     int
}

type loadUpdate struct {
	arrivesAt time.Duration
	from, to  int
	load      fleet.Load
}

type probeCall struct {
	endsAt time.Duration
	ok     bool
}

func newProbeSimulation(n int, seed uint64) *probeSimulation {
	x := &probeSimulation{members: n, random: rand.New(rand.NewPCG(seed, 7)), allowances: make([]ProbeAllowance, n), calls: make([][]probeCall, n)}
	for i := range n {
		x.coordinators = append(x.coordinators, NewProbeCoordinator(uint64(i+1), "z"))
		x.received = append(x.received, make([]fleet.Load, n))
		x.alive = append(x.alive, true)
	}
	return x
}

// run plays so long; the store answers if up. It returns the most calls in hand, and how many were made.
func (x *probeSimulation) run(d time.Duration, up bool) (most, made int) {
	const step = 250 * time.Millisecond
	begun := x.callCount
	for end := x.now + d; x.now < end; x.now += step {
		for len(x.updates) > 0 && x.updates[0].arrivesAt <= x.now {
			w := x.updates[0]
			x.updates = x.updates[1:]
			if w.load.ProbeRound >= x.received[w.to][w.from].ProbeRound || w.load.StoreState != x.received[w.to][w.from].StoreState {
				x.received[w.to][w.from] = w.load
			}
		}
		for i, p := range x.coordinators {
			if !x.alive[i] {
				continue
			}
			kept := x.calls[i][:0]
			for _, c := range x.calls[i] {
				if c.endsAt > x.now {
					kept = append(kept, c)
					continue
				}
				x.inFlight--
				p.CallEnded(c.ok)
			}
			x.calls[i] = kept
			was := p.State()
			x.allowances[i] = p.Tick(x.now, 9, x.view(i), x.now)
			if p.State() != was || x.random.IntN(8) == 0 {
				x.publish(i)
			}
			x.startCalls(i, up)
		}
		most = max(most, x.inFlight)
	}
	return most, x.callCount - begun
}

// startCalls makes the calls that a member with much to do makes.
func (x *probeSimulation) startCalls(i int, up bool) {
	limit := map[ProbeAllowance]int{ProbeUnlimited: 4, ProbeCautious: 4, ProbeSingle: 1}[x.allowances[i]]
	if x.allowances[i] == ProbeUnlimited && x.coordinators[i].State() == StoreFailing {
		limit = 1 // what its own breaker leaves, about
	}
	for len(x.calls[i]) < limit {
		c := probeCall{x.now + 2*time.Second, false}
		if up {
			c = probeCall{x.now + 50*time.Millisecond, true}
		}
		x.calls[i] = append(x.calls[i], c)
		x.inFlight++
		x.callCount++
	}
}

// publish sends a member's word to all others, late by up to 1.5 s, and one in twenty not at all.
func (x *probeSimulation) publish(i int) {
	var l fleet.Load
	x.coordinators[i].AddToLoad(&l)
	if x.misreport != nil {
		x.misreport(i, &l)
	}
	at := x.now + time.Duration(x.random.IntN(1500))*time.Millisecond
	k := len(x.updates)
	for k > 0 && x.updates[k-1].arrivesAt > at {
		k--
	}
	var words []loadUpdate
	for j := range x.members {
		if j != i && x.random.IntN(20) > 0 {
			words = append(words, loadUpdate{at, i, j, l})
		}
	}
	x.updates = append(x.updates[:k:k], append(words, x.updates[k:]...)...)
}

func (x *probeSimulation) view(i int) *fleet.Snapshot {
	s := &fleet.Snapshot{At: x.now}
	for j := range x.members {
		m := fleet.Member{Record: &fleet.Record{Name: fmt.Sprint("n", j), Run: uint64(j + 1), Zone: "z", State: fleet.Serving, Load: x.received[i][j]},
			Liveness: fleet.Alive, Self: i == j, RecordedAt: x.now}
		if !x.alive[j] {
			m.Liveness = fleet.Silent
		}
		s.Members = append(s.Members, m)
	}
	return s
}

func (x *probeSimulation) count(s StoreState) (n int) {
	for i, p := range x.coordinators {
		if x.alive[i] && p.State() == s {
			n++
		}
	}
	return n
}

// Of a dead store a handful of calls may be in hand, whatever the number of members; who has the turn may die; and when
// the store is back all must come to use it again, some at a time.
func TestDeadStoreProbedByTurns(t *testing.T) {
	for _, n := range []int{3, 10, 50, 150} {
		x := newProbeSimulation(n, uint64(n))
		x.run(5*time.Second, true)
		require.Equal(t, n, x.count(StoreHealthy))
		x.run(15*time.Second, false)
		require.Equal(t, n, x.count(StoreFailing)+x.count(StoreProbing), "%d members", n)
		most, made := x.run(20*time.Second, false)
		require.LessOrEqual(t, most, 4, "%d members", n)
		require.Greater(t, made, 3, "%d members: it is tried", n)
		for i, p := range x.coordinators {
			if p.State() == StoreProbing && n > 3 {
				x.alive[i] = false // in the middle of its turn
				x.inFlight -= len(x.calls[i])
			}
		}
		most, made = x.run(20*time.Second, false)
		require.LessOrEqual(t, most, 4, "%d members, after a loss", n)
		require.Greater(t, made, 3, "%d members: the turn has gone on", n)
		before, _ := x.run(time.Second, true)
		require.LessOrEqual(t, before, 8, "%d members: not all at once", n)
		x.run(25*time.Second, true)
		require.Zero(t, x.count(StoreFailing)+x.count(StoreProbing), "%d members", n)
		x.run(recoveringDuration+2*time.Second, true)
		require.Zero(t, x.count(StoreRecovering))
	}
}

// A member that says that a dead store is back, or that a store that is well has failed, must not decide it for the
// others; nor one whose turns never end, or whose turns are numbered beyond all measure.
func TestMisreportingMemberIsContained(t *testing.T) {
	for what, lie := range map[string]func(i int, l *fleet.Load){
		"back":    func(i int, l *fleet.Load) { l.StoreState = uint8(StoreRecovering) },
		"trying":  func(i int, l *fleet.Load) { l.StoreState = uint8(StoreProbing) },
		"turns":   func(i int, l *fleet.Load) { l.StoreState, l.ProbeRound = uint8(StoreFailing), 1<<63 },
		"trouble": func(i int, l *fleet.Load) { l.StoreState = uint8(StoreFailing) },
	} {
		x := newProbeSimulation(30, 4)
		x.misreport = func(i int, l *fleet.Load) {
			if i == 3 {
				lie(i, l)
			}
		}
		x.run(10*time.Second, true)
		require.Equal(t, 30, x.count(StoreHealthy), what)
		for i := range x.coordinators {
			require.Equal(t, ProbeUnlimited, x.allowances[i], what)
		}
		x.run(15*time.Second, false)
		most, made := x.run(30*time.Second, false)
		require.LessOrEqual(t, most, 4+verifiersPerRecovered, what)
		require.Positive(t, made, what)
		x.run(40*time.Second, true)
		require.Zero(t, x.count(StoreFailing)+x.count(StoreProbing), what)
	}
}
