package fleet

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Waits between calls to one address that is not reached, and how many are made at a time. The failure detection
// forgets who has been lost for a while, so that somebody has to call.
const (
	rejoinFirst = time.Second
	rejoinMost  = 30 * time.Second
	rejoinHeard = 3 * time.Second
	rejoinAt    = 2
)

// Rejoin decides whom to call: seeds that are not among those who are reached, and members that are lost, so that a
// fleet which was cut in two finds together whichever side looks, also where two parts began apart and neither ever
// heard of the other. It belongs to one goroutine.
type Rejoin struct {
	seeds map[string]bool // addresses; whether one is near: this process's own, or that of a member that is reached
	rand  *rand.Rand
	calls map[string]*calls
}

type calls struct {
	wait time.Duration
	next time.Duration
}

// NewRejoin returns a Rejoin that spreads its calls by rnd.
func NewRejoin(seeds []string, rnd *rand.Rand) *Rejoin {
	r := &Rejoin{rand: rnd, calls: map[string]*calls{}}
	r.Seeds(seeds)
	return r
}

// Seeds replaces the seeds.
func (r *Rejoin) Seeds(seeds []string) {
	r.seeds = map[string]bool{}
	for _, a := range seeds {
		r.seeds[a] = false
	}
}

func (r *Rejoin) near(addr string) {
	if _, ok := r.seeds[addr]; ok {
		r.seeds[addr] = true
	}
}

// Next returns the addresses to call now, two at most. Waits double, and half of each is drawn, so that a fleet does
// not call at one instant; they begin anew once the address was reached. In a fleet of many only some need to call a
// member that was lost: they wait longer by the logarithm of its size, so that all of them together do not call more
// often in a larger fleet than it can bear.
func (r *Rejoin) Next(now time.Duration, s *Snapshot) []string {
	wanted := map[string]bool{} // and whether others need the call as well
	reached := 0
	for a := range r.seeds {
		r.seeds[a] = false
	}
	fresh := Fresh(len(s.Members))
	for i := range s.Members {
		switch m := &s.Members[i]; {
		case m.Self:
			r.near(m.Addr)
		case m.Liveness == Alive || m.Liveness == Suspect:
			r.near(m.Addr)
			reached++
		case m.Liveness == Unmet && m.Seq > 0 && m.Age(now) <= fresh && m.Addr != "":
			wanted[m.Addr] = false // it speaks, and the failure detection here does not know of it
		case m.Liveness == Silent || m.Liveness == Dead || m.Liveness == Wedged && m.Stalled == 0:
			if m.Addr != "" {
				wanted[m.Addr] = true
			}
		}
	}
	for a, near := range r.seeds {
		if !near {
			wanted[a] = true
		}
	}
	for a := range r.calls {
		if _, ok := wanted[a]; !ok {
			delete(r.calls, a)
		}
	}
	var due []string
	most := rejoinMost * time.Duration(1+log2(len(s.Members))/2)
	for a, shared := range wanted {
		c := r.calls[a]
		if c == nil {
			// The first call waits, too, in a fleet of many: its loss is noticed by all at one instant. What is only
			// missing here mostly comes by itself before long.
			first := rejoinHeard + r.spread(rejoinHeard)
			if shared {
				first = r.spread(time.Duration(reached) * rejoinFirst / 4)
			}
			c = &calls{wait: rejoinFirst, next: now + first}
			r.calls[a] = c
		}
		if now >= c.next {
			due = append(due, a)
		}
	}
	slices.SortFunc(due, func(a, b string) int {
		return cmp.Or(cmp.Compare(r.calls[a].next, r.calls[b].next), cmp.Compare(a, b))
	})
	due = due[:min(len(due), rejoinAt)]
	for _, a := range due {
		c := r.calls[a]
		c.next = now + c.wait/2 + r.spread(c.wait/2)
		c.wait = min(2*c.wait, most)
	}
	return due
}

// spread draws a time below d.
func (r *Rejoin) spread(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(r.rand.Int64N(int64(d)))
}

func log2(n int) (l int) {
	for ; n > 1; n >>= 1 {
		l++
	}
	return l
}
