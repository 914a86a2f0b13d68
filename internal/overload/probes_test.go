package overload

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"falldeal/internal/fleet"

	"github.com/stretchr/testify/require"
)

// storm is a group of members with one store that dies and comes back, whose words are late and sometimes lost.
type storm struct {
	n      int
	all    []*ProbeCoordinator
	leaks  []ProbeAllowance
	told   [][]fleet.Load // last words that each has heard of each
	onWay  []late
	alive  []bool
	lie    func(i int, l *fleet.Load)
	r      *rand.Rand
	now    time.Duration
	calls  [][]oneCall // in hand
	made   int
	inHand int
}

type late struct {
	at       time.Duration
	from, to int
	load     fleet.Load
}

type oneCall struct {
	ends time.Duration
	ok   bool
}

func newStorm(n int, seed uint64) *storm {
	x := &storm{n: n, r: rand.New(rand.NewPCG(seed, 7)), leaks: make([]ProbeAllowance, n), calls: make([][]oneCall, n)}
	for i := range n {
		x.all = append(x.all, NewProbeCoordinator(uint64(i+1), "z"))
		x.told = append(x.told, make([]fleet.Load, n))
		x.alive = append(x.alive, true)
	}
	return x
}

// play plays so long; the store answers if up. It returns the most calls in hand, and how many were made.
func (x *storm) play(d time.Duration, up bool) (most, made int) {
	const step = 250 * time.Millisecond
	begun := x.made
	for end := x.now + d; x.now < end; x.now += step {
		for len(x.onWay) > 0 && x.onWay[0].at <= x.now {
			w := x.onWay[0]
			x.onWay = x.onWay[1:]
			if w.load.ProbeRound >= x.told[w.to][w.from].ProbeRound || w.load.StoreState != x.told[w.to][w.from].StoreState {
				x.told[w.to][w.from] = w.load
			}
		}
		for i, p := range x.all {
			if !x.alive[i] {
				continue
			}
			kept := x.calls[i][:0]
			for _, c := range x.calls[i] {
				if c.ends > x.now {
					kept = append(kept, c)
					continue
				}
				x.inHand--
				p.CallEnded(c.ok)
			}
			x.calls[i] = kept
			was := p.State()
			x.leaks[i] = p.Tick(x.now, 9, x.view(i), x.now)
			if p.State() != was || x.r.IntN(8) == 0 {
				x.tell(i)
			}
			x.call(i, up)
		}
		most = max(most, x.inHand)
	}
	return most, x.made - begun
}

// call makes the calls that a member with much to do makes.
func (x *storm) call(i int, up bool) {
	limit := map[ProbeAllowance]int{ProbeUnlimited: 4, ProbeCautious: 4, ProbeSingle: 1}[x.leaks[i]]
	if x.leaks[i] == ProbeUnlimited && x.all[i].State() == StoreFailing {
		limit = 1 // what its own breaker leaves, about
	}
	for len(x.calls[i]) < limit {
		c := oneCall{x.now + 2*time.Second, false}
		if up {
			c = oneCall{x.now + 50*time.Millisecond, true}
		}
		x.calls[i] = append(x.calls[i], c)
		x.inHand++
		x.made++
	}
}

// tell sends a member's word to all others, late by up to 1.5 s, and one in twenty not at all.
func (x *storm) tell(i int) {
	var l fleet.Load
	x.all[i].AddToLoad(&l)
	if x.lie != nil {
		x.lie(i, &l)
	}
	at := x.now + time.Duration(x.r.IntN(1500))*time.Millisecond
	k := len(x.onWay)
	for k > 0 && x.onWay[k-1].at > at {
		k--
	}
	var words []late
	for j := range x.n {
		if j != i && x.r.IntN(20) > 0 {
			words = append(words, late{at, i, j, l})
		}
	}
	x.onWay = append(x.onWay[:k:k], append(words, x.onWay[k:]...)...)
}

func (x *storm) view(i int) *fleet.Snapshot {
	s := &fleet.Snapshot{At: x.now}
	for j := range x.n {
		m := fleet.Member{Record: &fleet.Record{Name: fmt.Sprint("n", j), Run: uint64(j + 1), Zone: "z", State: fleet.Serving, Load: x.told[i][j]},
			Liveness: fleet.Alive, Self: i == j, RecordedAt: x.now}
		if !x.alive[j] {
			m.Liveness = fleet.Silent
		}
		s.Members = append(s.Members, m)
	}
	return s
}

func (x *storm) count(s StoreState) (n int) {
	for i, p := range x.all {
		if x.alive[i] && p.State() == s {
			n++
		}
	}
	return n
}

// Of a dead store a handful of calls may be in hand, whatever the number of members; who has the turn may die; and when
// the store is back all must come to use it again, some at a time.
func TestADeadStoreIsTriedByTurns(t *testing.T) {
	for _, n := range []int{3, 10, 50, 150} {
		x := newStorm(n, uint64(n))
		x.play(5*time.Second, true)
		require.Equal(t, n, x.count(StoreHealthy))
		x.play(15*time.Second, false)
		require.Equal(t, n, x.count(StoreFailing)+x.count(StoreProbing), "%d members", n)
		most, made := x.play(20*time.Second, false)
		require.LessOrEqual(t, most, 4, "%d members", n)
		require.Greater(t, made, 3, "%d members: it is tried", n)
		for i, p := range x.all {
			if p.State() == StoreProbing && n > 3 {
				x.alive[i] = false // in the middle of its turn
				x.inHand -= len(x.calls[i])
			}
		}
		most, made = x.play(20*time.Second, false)
		require.LessOrEqual(t, most, 4, "%d members, after a loss", n)
		require.Greater(t, made, 3, "%d members: the turn has gone on", n)
		before, _ := x.play(time.Second, true)
		require.LessOrEqual(t, before, 8, "%d members: not all at once", n)
		x.play(25*time.Second, true)
		require.Zero(t, x.count(StoreFailing)+x.count(StoreProbing), "%d members", n)
		x.play(backFor+2*time.Second, true)
		require.Zero(t, x.count(StoreRecovering))
	}
}

// A member that says that a dead store is back, or that a store that is well has failed, must not decide it for the
// others; nor one whose turns never end, or whose turns are numbered beyond all measure.
func TestAWrongFinderDecidesNothing(t *testing.T) {
	for what, lie := range map[string]func(i int, l *fleet.Load){
		"back":    func(i int, l *fleet.Load) { l.StoreState = uint8(StoreRecovering) },
		"trying":  func(i int, l *fleet.Load) { l.StoreState = uint8(StoreProbing) },
		"turns":   func(i int, l *fleet.Load) { l.StoreState, l.ProbeRound = uint8(StoreFailing), 1<<63 },
		"trouble": func(i int, l *fleet.Load) { l.StoreState = uint8(StoreFailing) },
	} {
		x := newStorm(30, 4)
		x.lie = func(i int, l *fleet.Load) {
			if i == 3 {
				lie(i, l)
			}
		}
		x.play(10*time.Second, true)
		require.Equal(t, 30, x.count(StoreHealthy), what)
		for i := range x.all {
			require.Equal(t, ProbeUnlimited, x.leaks[i], what)
		}
		x.play(15*time.Second, false)
		most, made := x.play(30*time.Second, false)
		require.LessOrEqual(t, most, 4+stepWidth, what)
		require.Positive(t, made, what)
		x.play(40*time.Second, true)
		require.Zero(t, x.count(StoreFailing)+x.count(StoreProbing), what)
	}
}
