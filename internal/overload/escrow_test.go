package overload

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"falldeal/lab/modelcheck"

	"github.com/stretchr/testify/require"
)

const s = time.Second

var depth = flag.Int("depth", 8, "steps to which the lease exchange is explored")

// world is two members that share a store, what is on its way between them, and the calls that the store works at.
type world struct {
	now   time.Duration
	all   [2]*QuotaLedger
	sent  []Message
	calls []call
}

type call struct {
	by   int
	from time.Duration
}

var terms = Terms{Base: 2000, Reserved: 1000, Lease: 2 * s, CallTime: 2 * s, AbandonedCallTime: s}

func newWorld() world {
	w := world{now: 100 * s}
	for i := range w.all {
		w.all[i] = NewQuotaLedger(0, ProcessID{fmt.Sprint("n", i), 1}, terms)
	}
	return w
}

func (w world) clone() world {
	for i, e := range w.all {
		x := *e
		x.lent, x.borrowed, x.asks = slices.Clone(e.lent), slices.Clone(e.borrowed), slices.Clone(e.asks)
		w.all[i] = &x
	}
	w.sent, w.calls = slices.Clone(w.sent), slices.Clone(w.calls)
	return w
}

// callsInFlight is what a member knows to have in hand: a process that was started again knows nothing of its predecessor's.
func (w *world) inHand(i int) (n Quota) {
	for _, c := range w.calls {
		if c.by == i {
			n += 1000
		}
	}
	return n
}

// next is all that may happen. Fault, if there is one, changes an escrow after it has heard something, or started.
func next(fault func(w *world, i int)) func(world) []modelcheck.Step[world] {
	return func(from world) (steps []modelcheck.Step[world]) {
		add := func(name string, do func(*world)) {
			w := from.clone()
			do(&w)
			steps = append(steps, modelcheck.Step[world]{Name: name, To: w})
		}
		add("wait", func(w *world) {
			w.now += s
			w.calls = slices.DeleteFunc(w.calls, func(c call) bool { return w.now-c.from >= terms.CallTime })
		})
		for i, e := range from.all {
			if len(from.sent) < 2 && i == 0 { // the other lends; both call
				add(fmt.Sprintf("%d asks", i), func(w *world) {
					if m, ok := w.all[i].RequestLease(w.now, w.all[1-i].self, 1000); ok {
						w.sent = append(w.sent, m)
					}
				})
				add(fmt.Sprintf("%d returns", i), func(w *world) {
					w.sent = append(w.sent, w.all[i].Return(w.now, w.inHand(i), 0)...)
				})
			}
			if from.inHand(i)+1000 <= e.Limit(from.now) {
				add(fmt.Sprintf("%d calls", i), func(w *world) { w.calls = append(w.calls, call{i, w.now}) })
			}
			if e.self.Run == 1 && i == 1 {
				add(fmt.Sprintf("%d restarts", i), func(w *world) {
					w.all[i] = NewQuotaLedger(w.now, ProcessID{e.self.Name, 2}, terms)
					for j := range w.calls {
						if w.calls[j].by == i {
							w.calls[j] = call{-1, min(w.calls[j].from, w.now+terms.AbandonedCallTime-terms.CallTime)}
						}
					}
					fault(w, i)
				})
			}
		}
		for k, m := range from.sent {
			for _, stays := range []bool{false, true} { // one that stays comes again, or late
				add(fmt.Sprintf("%d of %s arrives, stays %v", m.Kind, m.From.Name, stays), func(w *world) {
					if !stays {
						w.sent = slices.Delete(w.sent, k, k+1)
					}
					for i, e := range w.all {
						if e.self == m.To {
							if answer, ok := e.HandleMessage(w.now, m, w.inHand(i), 0); ok && len(w.sent) < 3 {
								w.sent = append(w.sent, answer)
							}
							fault(w, i)
						}
					}
				})
			}
			add("lost", func(w *world) { w.sent = slices.Delete(w.sent, k, k+1) })
		}
		return steps
	}
}

func key(w world) string {
	k := ""
	for _, e := range w.all {
		// Times count from now, so that states that differ by when they are alike are one.
		rel := func(l []loan) (out []loan) {
			for _, x := range l {
				if x.until -= w.now; x.until > 0 {
					out = append(out, x)
				}
			}
			return out
		}
		k += fmt.Sprint(e.self.Run, max(e.ready-w.now, 0), e.number, rel(e.lent), rel(e.borrowed))
		for _, a := range e.asks {
			k += fmt.Sprint(a.number, a.at-w.now)
		}
	}
	for _, c := range w.calls {
		k += fmt.Sprint(c.by, c.from-w.now)
	}
	return k + fmt.Sprint(w.sent)
}

func tooMany(w world) string {
	if n := len(w.calls); n > 4 {
		return fmt.Sprintf("%d calls at a store that survives 4", n)
	}
	return ""
}

// The store must never see more calls than the sum of the shares, whatever is lost, late, doubled or started again;
// and the explorer must find each way of breaking that which a careless change would bring.
func TestEscrowExplored(t *testing.T) {
	found := modelcheck.Visit(newWorld(), *depth, next(func(*world, int) {}), key, tooMany)
	require.Empty(t, found.Why, "%v", found.Steps)
	t.Logf("%d states within %d steps, nothing broken", found.States, *depth)
	for name, fault := range map[string]func(w *world, i int){
		"given before it was taken back": func(w *world, i int) {
			for k := range w.all[i].lent {
				w.all[i].lent[k].until = w.now // the lender goes on using it
			}
		},
		"taken back when the lease is over, not its calls": func(w *world, i int) {
			for k, l := range w.all[i].lent {
				w.all[i].lent[k].until = min(l.until, w.now+terms.Lease)
			}
		},
		"a restart forgets what was lent":   func(w *world, i int) { w.all[i].ready = 0 },
		"a restart forgets what was called": func(w *world, i int) { w.all[i].clear = 0 },
	} {
		found := modelcheck.Visit(newWorld(), 11, next(fault), key, tooMany)
		require.NotEmpty(t, found.Why, name)
		t.Logf("planted: %s: found after %d states: %v", name, found.States, found.Steps)
	}
}

// What is lent must be what is neither in hand nor needed nor kept, and nothing is lent twice for one question.
func TestLending(t *testing.T) {
	for name, c := range map[string]struct{ asked, inHand, need, want Quota }{
		"all that may be": {5000, 0, 0, 1000}, "less": {300, 0, 0, 300}, "in hand": {5000, 1500, 0, 500}, "needed": {5000, 0, 1800, 200},
		"nothing left": {5000, 2000, 0, 0},
	} {
		w := newWorld()
		m, _ := w.all[0].RequestLease(w.now, w.all[1].self, c.asked)
		answer, ok := w.all[1].HandleMessage(w.now, m, c.inHand, c.need)
		require.True(t, ok, name)
		require.Equal(t, c.want, answer.Amount, name)
		if c.want > 0 {
			_, again := w.all[1].HandleMessage(w.now, m, 0, 0)
			require.False(t, again, name)
		}
		w.all[0].HandleMessage(w.now, answer, 0, 0)
		require.Equal(t, 2000+c.want, w.all[0].Limit(w.now), name)
		require.Equal(t, 2000-c.want, w.all[1].Limit(w.now), name)
		require.EqualValues(t, 2000, w.all[0].Limit(w.now+terms.Lease), "over")
		require.EqualValues(t, 2000-c.want, w.all[1].Limit(w.now+terms.Lease+terms.CallTime), "its calls may not be")
		require.EqualValues(t, 2000, w.all[1].Limit(w.now+terms.Lease+terms.CallTime+s))
	}
	e := NewQuotaLedger(0, ProcessID{"n0", 1}, terms)
	require.Zero(t, e.Limit(0), "a predecessor's calls may be at work")
	require.Equal(t, terms.Reserved, e.Limit(2*s), "and what it lent is out")
	require.Equal(t, terms.Base, e.Limit(time.Minute), "alone, a member has what its settings give")
}

// Many members with random questions, losses, delays, pauses, restarts and drifting clocks: the sum of calls in hand
// stays within the sum of the shares at every instant, and shares do move to who is busy. A borrower that counts from
// the answer, which takes more steps than can be explored, must be found out.
func TestEscrowAtRandom(t *testing.T) {
	moved := Quota(0)
	for seed := range uint64(1000) {
		m, over := playEscrow(seed, func(*QuotaLedger, time.Duration) {})
		require.Zero(t, over, "seed %d", seed)
		moved += m
	}
	require.NotZero(t, moved)
	found := 0
	for seed := range uint64(300) {
		_, over := playEscrow(seed, func(e *QuotaLedger, now time.Duration) {
			if n := len(e.borrowed); n > 0 {
				e.borrowed[n-1].until = now + terms.Lease
			}
		})
		if over > 0 {
			found++
		}
	}
	require.NotZero(t, found)
	t.Logf("1,000 seeds, %.0f call-seconds borrowed, nothing broken; planted: found by %d of 300", moved.Calls()*0.05, found)
}

// playEscrow plays a minute, and returns by how many calls the store was crowded at the worst instant. Plant is called
// with whatever has heard something.
func playEscrow(seed uint64, plant func(*QuotaLedger, time.Duration)) (moved Quota, over int) {
	type node struct {
		*QuotaLedger
		drift float64
		calls []time.Duration // ends, on the true clock
	}
	type flight struct {
		m  Message
		at time.Duration
	}
	r := rand.New(rand.NewPCG(seed, 1))
	n := 3 + r.IntN(10)
	nodes := make([]*node, n)
	for i := range nodes {
		nodes[i] = &node{NewQuotaLedger(0, ProcessID{fmt.Sprint(i), 1}, terms), 1 + (r.Float64()-0.5)/driftPart, nil}
	}
	var ghosts []time.Duration // calls of processes that were killed
	var sent []flight
	const look = 50 * time.Millisecond
	for now := 10 * s; now < 60*s; now += look {
		inHand := 0
		still := func(ends []time.Duration) []time.Duration {
			return slices.DeleteFunc(ends, func(at time.Duration) bool { return at <= now })
		}
		for i, x := range nodes {
			x.calls = still(x.calls)
			own := time.Duration(float64(now) * x.drift)
			have := Quota(1000 * len(x.calls))
			need := Quota(0)
			if i%3 == 0 { // a busy one
				need = 4000
				if m, ok := x.RequestLease(own, nodes[r.IntN(n)].self, 1000); ok {
					sent = append(sent, flight{m, now + time.Duration(r.IntN(3000))*time.Millisecond})
				}
			}
			for have+1000 <= x.Limit(own) && (i%3 == 0 || r.IntN(20) == 0) {
				x.calls = append(x.calls, now+time.Duration(1+r.IntN(int(terms.CallTime/time.Millisecond)))*time.Millisecond)
				have += 1000
			}
			moved += x.Leased(own)
			for _, m := range x.Return(own, have, need) {
				sent = append(sent, flight{m, now + time.Duration(r.IntN(3000))*time.Millisecond})
			}
			if r.IntN(500) == 0 { // killed, and started again
				for _, at := range x.calls {
					ghosts = append(ghosts, min(at, now+terms.AbandonedCallTime))
				}
				x.QuotaLedger, x.calls = NewQuotaLedger(own, ProcessID{x.self.Name, x.self.Run + 1}, terms), nil
			}
			inHand += len(x.calls)
		}
		ghosts = still(ghosts)
		over = max(over, inHand+len(ghosts)-2*n)
		var left []flight
		for _, f := range sent {
			if f.at > now {
				left = append(left, f)
				continue
			}
			if r.IntN(10) == 0 {
				left = append(left, flight{f.m, now + 2*s}) // once more
			}
			if r.IntN(5) == 0 {
				continue // lost
			}
			for _, x := range nodes {
				if x.self == f.m.To {
					own := time.Duration(float64(now) * x.drift)
					if answer, ok := x.HandleMessage(own, f.m, Quota(1000*len(x.calls)), 0); ok {
						left = append(left, flight{answer, now + time.Duration(r.IntN(3000))*time.Millisecond})
					}
					if f.m.Kind == LeaseGrant {
						plant(x.QuotaLedger, own)
					}
				}
			}
		}
		sent = left
	}
	return moved, over
}
