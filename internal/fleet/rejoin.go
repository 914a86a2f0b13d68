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
	initialDialDelay = time.Second
	maxDialDelay     = 30 * time.Second
	unmetDialDelay   = 3 * time.Second
	maxDialsAtOnce   = 2
)

// Rejoin decides whom to call: seeds that are not among those who are reached, and members that are lost, so that a
// fleet which was cut in two finds together whichever side looks, also where two parts began apart and neither ever
// heard of the other. It belongs to one goroutine.
type Rejoin struct {
	seedReached map[string]bool // addresses; whether one is near: this process's own, or that of a member that is reached
	random      *rand.Rand
	schedules   map[string]*dialSchedule
}

type dialSchedule struct {
	delay  time.Duration
	nextAt time.Duration
}

// NewRejoin returns a Rejoin that spreads its calls by rnd.
func NewRejoin(seeds []string, random *rand.Rand) *Rejoin {
	rejoin := &Rejoin{random: random, schedules: map[string]*dialSchedule{}}
	rejoin.SetSeeds(seeds)
	return rejoin
}

// SetSeeds replaces the seeds.
func (r *Rejoin) SetSeeds(seeds []string) {
	r.seedReached = map[string]bool{}
	for _, addr := range seeds {
		r.seedReached[addr] = false
	}
}

func (r *Rejoin) markSeedReached(addr string) {
	if _, ok := r.seedReached[addr]; ok {
		r.seedReached[addr] = true
	}
}

// NextDials returns the addresses to call now, two at most. Waits double, and half of each is drawn, so that a fleet does
// not call at one instant; they begin anew once the address was reached. In a fleet of many only some need to call a
// member that was lost: they wait longer by the logarithm of its size, so that all of them together do not call more
// often in a larger fleet than it can bear.
func (r *Rejoin) NextDials(now time.Duration, snapshot *Snapshot) []string {
	wanted := map[string]bool{} // and whether others need the call as well
	reached := 0
	for addr := range r.seedReached {
		r.seedReached[addr] = false
	}
	fresh := Fresh(len(snapshot.Members))
	for i := range snapshot.Members {
		switch member := &snapshot.Members[i]; {
		case member.Self:
			r.markSeedReached(member.Addr)
		case member.Liveness == Alive || member.Liveness == Suspect:
			r.markSeedReached(member.Addr)
			reached++
		case member.Liveness == Unmet && member.Seq > 0 && member.Age(now) <= fresh && member.Addr != "":
			wanted[member.Addr] = false // it speaks, and the failure detection here does not know of it
		case member.Liveness == Silent || member.Liveness == Dead || member.Liveness == Wedged && member.Stalled == 0:
			if member.Addr != "" {
				wanted[member.Addr] = true
			}
		}
	}
	for addr, reached := range r.seedReached {
		if !reached {
			wanted[addr] = true
		}
	}
	for addr := range r.schedules {
		if _, ok := wanted[addr]; !ok {
			delete(r.schedules, addr)
		}
	}
	var due []string
	maxDelay := maxDialDelay * time.Duration(1+log2(len(snapshot.Members))/2)
	for addr, shared := range wanted {
		schedule := r.schedules[addr]
		if schedule == nil {
			// The first call waits, too, in a fleet of many: its loss is noticed by all at one instant. What is only
			// missing here mostly comes by itself before long.
			delay := unmetDialDelay + r.drawBelow(unmetDialDelay)
			if shared {
				delay = r.drawBelow(time.Duration(reached) * initialDialDelay / 4)
			}
			schedule = &dialSchedule{delay: initialDialDelay, nextAt: now + delay}
			r.schedules[addr] = schedule
		}
		if now >= schedule.nextAt {
			due = append(due, addr)
		}
	}
	slices.SortFunc(due, func(addr, b string) int {
		return cmp.Or(cmp.Compare(r.schedules[addr].nextAt, r.schedules[b].nextAt), cmp.Compare(addr, b))
	})
	due = due[:min(len(due), maxDialsAtOnce)]
	for _, addr := range due {
		schedule := r.schedules[addr]
		schedule.nextAt = now + schedule.delay/2 + r.drawBelow(schedule.delay/2)
		schedule.delay = min(2*schedule.delay, maxDelay)
	}
	return due
}

// drawBelow draws a time below d.
func (r *Rejoin) drawBelow(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(r.random.Int64N(int64(limit)))
}

func log2(n int) (l int) {
	for ; n > 1; n >>= 1 {
		l++
	}
	return l
}
