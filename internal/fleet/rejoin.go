package fleet

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	initialDialDelay     = time.Second      // doubled with each dial of an address
	maxDialDelay         = 30 * time.Second // in a small fleet
	unconfirmedDialDelay = 3 * time.Second  // least delay before a member that was never reached is dialed
	maxDialsPerRound     = 2
)

// Rejoin decides which addresses to dial: seeds that are not reached, and members that are lost. The failure detection
// forgets members that have been lost for a while, so that a fleet which was partitioned would not merge again without
// these dials; nor would two fleets that were started apart. It belongs to one goroutine.
type Rejoin struct {
	seedReached map[string]bool // by address; whether it is this process's own, or that of a reached member
	random      *rand.Rand
	schedules   map[string]*dialSchedule // by address
}

// dialSchedule is when an address is dialed next, and how long after that.
type dialSchedule struct {
	delay  time.Duration
	nextAt time.Duration
}

// dialCause is why an address is dialed.
type dialCause uint8

const (
	dialUnconfirmed dialCause = iota // it publishes records, and only the failure detection of this observer misses it
	dialLost                         // every member of the fleet is likely to miss it, and to dial it
)

func (c dialCause) String() string {
	if c == dialLost {
		return "lost"
	}
	return "unconfirmed"
}

// NewRejoin returns a Rejoin that draws its delays from random.
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

// NextDials returns the addresses to dial now, two at most. The delay between two dials of an address doubles, and half
// of it is random, so that members do not dial in step; it starts anew once the address was reached. Its maximum grows
// with the logarithm of the fleet's size: of a large fleet only some members need to dial one that is lost.
func (r *Rejoin) NextDials(now time.Duration, snapshot *Snapshot) []string {
	causes, reached := r.addressesToDial(now, snapshot)
	r.dropSchedules(causes)
	due := r.dueAddresses(now, causes, reached)
	maxDelay := maxDialDelay * time.Duration(1+log2(len(snapshot.Members))/2)
	for _, addr := range due {
		schedule := r.schedules[addr]
		schedule.nextAt = now + schedule.delay/2 + r.drawBelow(schedule.delay/2)
		schedule.delay = min(2*schedule.delay, maxDelay)
	}
	return due
}

// addressesToDial returns the addresses that are not reached, and how many other members are.
func (r *Rejoin) addressesToDial(now time.Duration, snapshot *Snapshot) (causes map[string]dialCause, reached int) {
	causes = map[string]dialCause{}
	r.resetSeeds()
	fresh := MaxFreshAge(len(snapshot.Members))
	for i := range snapshot.Members {
		member := &snapshot.Members[i]
		switch {
		case member.Self:
			r.markSeedReached(member.Addr)
		case member.reached():
			r.markSeedReached(member.Addr)
			reached++
		case member.Addr == "":
		case member.Liveness == Unconfirmed && member.Seq > 0 && member.Age(now) <= fresh:
			causes[member.Addr] = dialUnconfirmed
		case member.lost():
			causes[member.Addr] = dialLost
		}
	}
	r.addUnreachedSeeds(causes)
	return causes, reached
}

func (r *Rejoin) resetSeeds() {
	for addr := range r.seedReached {
		r.seedReached[addr] = false
	}
}

func (r *Rejoin) addUnreachedSeeds(causes map[string]dialCause) {
	for addr, reached := range r.seedReached {
		if !reached {
			causes[addr] = dialLost
		}
	}
}

func (r *Rejoin) markSeedReached(addr string) {
	if _, ok := r.seedReached[addr]; ok {
		r.seedReached[addr] = true
	}
}

// dropSchedules forgets the delays of addresses that no longer need a dial.
func (r *Rejoin) dropSchedules(causes map[string]dialCause) {
	for addr := range r.schedules {
		if _, ok := causes[addr]; !ok {
			delete(r.schedules, addr)
		}
	}
}

// dueAddresses returns the addresses whose dial is due, the longest overdue first, and schedules those that are new.
func (r *Rejoin) dueAddresses(now time.Duration, causes map[string]dialCause, reached int) (due []string) {
	for addr, cause := range causes {
		schedule := r.schedules[addr]
		if schedule == nil {
			schedule = &dialSchedule{delay: initialDialDelay, nextAt: now + r.firstDelay(cause, reached)}
			r.schedules[addr] = schedule
		}
		if now >= schedule.nextAt {
			due = append(due, addr)
		}
	}
	slices.SortFunc(due, func(a, b string) int {
		return cmp.Or(cmp.Compare(r.schedules[a].nextAt, r.schedules[b].nextAt), cmp.Compare(a, b))
	})
	return due[:min(len(due), maxDialsPerRound)]
}

// firstDelay is the delay before the first dial of an address. All members notice a loss at one instant, so that the
// delay is spread over a time that grows with their number. An unconfirmed member mostly joins by itself.
func (r *Rejoin) firstDelay(cause dialCause, reached int) time.Duration {
	unconfirmedDelay := unconfirmedDialDelay + r.drawBelow(unconfirmedDialDelay) // drawn for either cause: the sequence of draws is fixed
	if cause == dialLost {
		return r.drawBelow(time.Duration(reached) * initialDialDelay / 4)
	}
	return unconfirmedDelay
}

// drawBelow returns a random duration from 0 up to limit, exclusive.
func (r *Rejoin) drawBelow(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(r.random.Int64N(int64(limit)))
}

func log2(n int) (log int) {
	for ; n > 1; n >>= 1 {
		log++
	}
	return log
}
