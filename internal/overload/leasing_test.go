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

const second = time.Second

var modelCheckDepth = flag.Int("depth", 8, "steps to which the lease exchange is explored")

// leasingState is two members that share a store, what is on its way between them, and the calls that the store works at.
type leasingState struct {
	now      time.Duration
	ledgers  [2]*QuotaLedger
	messages []Message
	calls    []simulatedCall
}

type simulatedCall struct {
	member    int
	startedAt time.Duration
}

var testTerms = Terms{Base: 2000, Reserved: 1000, Lease: 2 * second, CallTime: 2 * second, AbandonedCallTime: second}

func newLeasingState() leasingState {
	w := leasingState{now: 100 * second}
	for i := range w.ledgers {
		w.ledgers[i] = NewQuotaLedger(0, ProcessID{fmt.Sprint("n", i), 1}, testTerms)
	}
	return w
}

func (w leasingState) clone() leasingState {
	for i, e := range w.ledgers {
		x := *e
		x.leasedOut, x.leased, x.pending = slices.Clone(e.leasedOut), slices.Clone(e.leased), slices.Clone(e.pending)
		w.ledgers[i] = &x
	}
	w.messages, w.calls = slices.Clone(w.messages), slices.Clone(w.calls)
	return w
}

// callsInFlight is what a member knows to have in hand: a process that was started again knows nothing of its predecessor's.
func (w *leasingState) inFlight(i int) (n Quota) {
	for _, c := range w.calls {
		if c.member == i {
			n += 1000
		}
	}
	return n
}

// nextSteps is all that may happen. Fault, if there is one, changes an escrow after it has heard something, or started.
func nextSteps(fault func(w *leasingState, i int)) func(leasingState) []modelcheck.Step[leasingState] {
	return func(from leasingState) (steps []modelcheck.Step[leasingState]) {
		add := func(name string, do func(*leasingState)) {
			w := from.clone()
			do(&w)
			steps = append(steps, modelcheck.Step[leasingState]{Name: name, To: w})
		}
		add("wait", func(w *leasingState) {
			w.now += second
			w.calls = slices.DeleteFunc(w.calls, func(c simulatedCall) bool { return w.now-c.startedAt >= testTerms.CallTime })
		})
		for i, e := range from.ledgers {
			if len(from.messages) < 2 && i == 0 { // the other lends; both call
				add(fmt.Sprintf("%d asks", i), func(w *leasingState) {
					if m, ok := w.ledgers[i].RequestLease(w.now, w.ledgers[1-i].self, 1000); ok {
						w.messages = append(w.messages, m)
					}
				})
				add(fmt.Sprintf("%d returns", i), func(w *leasingState) {
					w.messages = append(w.messages, w.ledgers[i].Return(w.now, w.inFlight(i), 0)...)
				})
			}
			if from.inFlight(i)+1000 <= e.Limit(from.now) {
				add(fmt.Sprintf("%d calls", i), func(w *leasingState) { w.calls = append(w.calls, simulatedCall{i, w.now}) })
			}
			if e.self.Run == 1 && i == 1 {
				add(fmt.Sprintf("%d restarts", i), func(w *leasingState) {
					w.ledgers[i] = NewQuotaLedger(w.now, ProcessID{e.self.Name, 2}, testTerms)
					for j := range w.calls {
						if w.calls[j].member == i {
							w.calls[j] = simulatedCall{-1, min(w.calls[j].startedAt, w.now+testTerms.AbandonedCallTime-testTerms.CallTime)}
						}
					}
					fault(w, i)
				})
			}
		}
		for k, m := range from.messages {
			for _, stays := range []bool{false, true} { // one that stays comes again, or late
				add(fmt.Sprintf("%d of %s arrives, stays %v", m.Kind, m.From.Name, stays), func(w *leasingState) {
					if !stays {
						w.messages = slices.Delete(w.messages, k, k+1)
					}
					for i, e := range w.ledgers {
						if e.self == m.To {
							if answer, ok := e.HandleMessage(w.now, m, w.inFlight(i), 0); ok && len(w.messages) < 3 {
								w.messages = append(w.messages, answer)
							}
							fault(w, i)
						}
					}
				})
			}
			add("lost", func(w *leasingState) { w.messages = slices.Delete(w.messages, k, k+1) })
		}
		return steps
	}
}

func stateKey(w leasingState) string {
	k := ""
	for _, e := range w.ledgers {
		// Times count from now, so that states that differ by when they are alike are one.
		rel := func(l []lease) (out []lease) {
			for _, x := range l {
				if x.expires -= w.now; x.expires > 0 {
					out = append(out, x)
				}
			}
			return out
		}
		k += fmt.Sprint(e.self.Run, max(e.predecessorLeasesEnd-w.now, 0), e.lastNumber, rel(e.leasedOut), rel(e.leased))
		for _, a := range e.pending {
			k += fmt.Sprint(a.number, a.sentAt-w.now)
		}
	}
	for _, c := range w.calls {
		k += fmt.Sprint(c.member, c.startedAt-w.now)
	}
	return k + fmt.Sprint(w.messages)
}

func overcommitted(w leasingState) string {
	if n := len(w.calls); n > 4 {
		return fmt.Sprintf("%d calls at a store that survives 4", n)
	}
	return ""
}

// The store must never see more calls than the sum of the shares, whatever is lost, late, doubled or started again;
// and the explorer must find each way of breaking that which a careless change would bring.
func TestLeasingModelCheck(t *testing.T) {
	found := modelcheck.Visit(newLeasingState(), *modelCheckDepth, nextSteps(func(*leasingState, int) {}), stateKey, overcommitted)
	require.Empty(t, found.Why, "%v", found.Steps)
	t.Logf("%d states within %d steps, nothing broken", found.States, *modelCheckDepth)
	for name, fault := range map[string]func(w *leasingState, i int){
		"given before it was taken back": func(w *leasingState, i int) {
			for k := range w.ledgers[i].leasedOut {
				w.ledgers[i].leasedOut[k].expires = w.now // the lender goes on using it
			}
		},
		"taken back when the lease is over, not its calls": func(w *leasingState, i int) {
			for k, l := range w.ledgers[i].leasedOut {
				w.ledgers[i].leasedOut[k].expires = min(l.expires, w.now+testTerms.Lease)
			}
		},
		"a restart forgets what was lent":   func(w *leasingState, i int) { w.ledgers[i].predecessorLeasesEnd = 0 },
		"a restart forgets what was called": func(w *leasingState, i int) { w.ledgers[i].predecessorCallsEnd = 0 },
	} {
		found := modelcheck.Visit(newLeasingState(), 11, nextSteps(fault), stateKey, overcommitted)
		require.NotEmpty(t, found.Why, name)
		t.Logf("planted: %s: found after %d states: %v", name, found.States, found.Steps)
	}
}

// What is lent must be what is neither in hand nor needed nor kept, and nothing is lent twice for one question.
func TestGrantAmounts(t *testing.T) {
	for name, c := range map[string]struct{ asked, inHand, need, want Quota }{
		"all that may be": {5000, 0, 0, 1000}, "less": {300, 0, 0, 300}, "in hand": {5000, 1500, 0, 500}, "needed": {5000, 0, 1800, 200},
		"nothing left": {5000, 2000, 0, 0},
	} {
		w := newLeasingState()
		m, _ := w.ledgers[0].RequestLease(w.now, w.ledgers[1].self, c.asked)
		answer, ok := w.ledgers[1].HandleMessage(w.now, m, c.inHand, c.need)
		require.True(t, ok, name)
		require.Equal(t, c.want, answer.Amount, name)
		if c.want > 0 {
			_, again := w.ledgers[1].HandleMessage(w.now, m, 0, 0)
			require.False(t, again, name)
		}
		w.ledgers[0].HandleMessage(w.now, answer, 0, 0)
		require.Equal(t, 2000+c.want, w.ledgers[0].Limit(w.now), name)
		require.Equal(t, 2000-c.want, w.ledgers[1].Limit(w.now), name)
		require.EqualValues(t, 2000, w.ledgers[0].Limit(w.now+testTerms.Lease), "over")
		require.EqualValues(t, 2000-c.want, w.ledgers[1].Limit(w.now+testTerms.Lease+testTerms.CallTime), "its calls may not be")
		require.EqualValues(t, 2000, w.ledgers[1].Limit(w.now+testTerms.Lease+testTerms.CallTime+second))
	}
	e := NewQuotaLedger(0, ProcessID{"n0", 1}, testTerms)
	require.Zero(t, e.Limit(0), "a predecessor's calls may be at work")
	require.Equal(t, testTerms.Reserved, e.Limit(2*second), "and what it lent is out")
	require.Equal(t, testTerms.Base, e.Limit(time.Minute), "alone, a member has what its settings give")
}

// Many members with random questions, losses, delays, pauses, restarts and drifting clocks: the sum of calls in hand
// stays within the sum of the shares at every instant, and shares do move to who is busy. A borrower that counts from
// the answer, which takes more steps than can be explored, must be found out.
func TestLeasingRandomised(t *testing.T) {
	moved := Quota(0)
	for seed := range uint64(1000) {
		m, over := simulateLeasing(seed, func(*QuotaLedger, time.Duration) {})
		require.Zero(t, over, "seed %d", seed)
		moved += m
	}
	require.NotZero(t, moved)
	found := 0
	for seed := range uint64(300) {
		_, over := simulateLeasing(seed, func(e *QuotaLedger, now time.Duration) {
			if n := len(e.leased); n > 0 {
				e.leased[n-1].expires = now + testTerms.Lease
			}
		})
		if over > 0 {
			found++
		}
	}
	require.NotZero(t, found)
	t.Logf("1,000 seeds, %.0f call-seconds borrowed, nothing broken; planted: found by %d of 300", moved.Calls()*0.05, found)
}

// simulateLeasing plays a minute, and returns by how many calls the store was crowded at the worst instant. Plant is called
// with whatever has heard something.
func simulateLeasing(seed uint64, plant func(*QuotaLedger, time.Duration)) (moved Quota, over int) {
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
		nodes[i] = &node{NewQuotaLedger(0, ProcessID{fmt.Sprint(i), 1}, testTerms), 1 + (r.Float64()-0.5)/clockDriftDivisor, nil}
	}
	var ghosts []time.Duration // calls of processes that were killed
	var sent []flight
	const look = 50 * time.Millisecond
	for now := 10 * second; now < 60*second; now += look {
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
				x.calls = append(x.calls, now+time.Duration(1+r.IntN(int(testTerms.CallTime/time.Millisecond)))*time.Millisecond)
				have += 1000
			}
			moved += x.Leased(own)
			for _, m := range x.Return(own, have, need) {
				sent = append(sent, flight{m, now + time.Duration(r.IntN(3000))*time.Millisecond})
			}
			if r.IntN(500) == 0 { // killed, and started again
				for _, at := range x.calls {
					ghosts = append(ghosts, min(at, now+testTerms.AbandonedCallTime))
				}
				x.QuotaLedger, x.calls = NewQuotaLedger(own, ProcessID{x.self.Name, x.self.Run + 1}, testTerms), nil
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
				left = append(left, flight{f.m, now + 2*second}) // once more
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
