package fleet

import (
	"cmp"
	"maps"
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
// these dials; nor would two fleets that were started apart.
//
// Each address has a schedule of its own. The first dial is delayed at random over a time that grows with the number of
// members that notice the loss; then the delay between two dials doubles up to a maximum, and half of it is random, so
// that members do not dial in step. The schedule starts anew once the address was reached.
//
// It belongs to one goroutine.
type Rejoin struct {
	seeds     seedSet
	random    *rand.Rand
	schedules map[string]*dialSchedule // by address
}

// seedSet is the seeds by address, and whether each is this process's own address or that of a reached member.
type seedSet map[string]bool

func newSeedSet(addresses []string) seedSet {
	seeds := seedSet{}
	for _, addr := range addresses {
		seeds[addr] = false
	}
	return seeds
}

// reset marks all seeds as not reached.
func (s seedSet) reset() {
	for addr := range s {
		s[addr] = false
	}
}

// markReached marks an address as reached if it is a seed.
func (s seedSet) markReached(addr string) {
	if _, ok := s[addr]; ok {
		s[addr] = true
	}
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
	return &Rejoin{seeds: newSeedSet(seeds), random: random, schedules: map[string]*dialSchedule{}}
}

// SetSeeds replaces the seeds.
func (r *Rejoin) SetSeeds(seeds []string) { r.seeds = newSeedSet(seeds) }

// NextDials returns the addresses to dial now: those whose dial is the longest overdue, two at most.
func (r *Rejoin) NextDials(now time.Duration, snapshot *Snapshot) []string {
	causes, reached := r.addressesToDial(now, snapshot)
	r.dropSchedules(causes)
	r.addSchedules(now, causes, reached)
	overdue := r.overdueAddresses(now)
	maxDelay := maxDialDelayOf(len(snapshot.Members))
	for _, addr := range overdue {
		r.postpone(r.schedules[addr], now, maxDelay)
	}
	return overdue
}

// maxDialDelayOf returns the maximum delay between two dials of an address in a fleet of that size. It grows with the
// logarithm of the size: of a large fleet only some members need to dial one that is lost.
func maxDialDelayOf(members int) time.Duration {
	return maxDialDelay * time.Duration(1+log2(members)/2)
}

// postpone schedules the next dial of an address that is dialed now.
func (r *Rejoin) postpone(schedule *dialSchedule, now, maxDelay time.Duration) {
	schedule.nextAt = now + schedule.delay/2 + r.drawBelow(schedule.delay/2)
	schedule.delay = min(2*schedule.delay, maxDelay)
}

// addressesToDial returns the addresses that are not reached, and how many other members are.
func (r *Rejoin) addressesToDial(now time.Duration, snapshot *Snapshot) (causes map[string]dialCause, reached int) {
	causes = map[string]dialCause{}
	r.seeds.reset()
	fresh := MaxFreshAge(len(snapshot.Members))
	for i := range snapshot.Members {
		member := &snapshot.Members[i]
		if member.Self || member.reached() {
			r.seeds.markReached(member.Addr)
			if !member.Self {
				reached++
			}
			continue
		}
		if cause, needed := dialCauseOf(member, now, fresh); needed {
			causes[member.Addr] = cause
		}
	}
	for addr, seedReached := range r.seeds {
		if !seedReached {
			causes[addr] = dialLost
		}
	}
	return causes, reached
}

// dialCauseOf returns why a member that is not reached is dialed, if it is to be.
func dialCauseOf(member *Member, now, fresh time.Duration) (cause dialCause, needed bool) {
	switch {
	case member.Addr == "":
		return 0, false
	case member.Liveness == Unconfirmed && member.Seq > 0 && member.Age(now) <= fresh:
		return dialUnconfirmed, true
	case member.lost():
		return dialLost, true
	}
	return 0, false
}

// dropSchedules forgets the delays of addresses that no longer need a dial.
func (r *Rejoin) dropSchedules(causes map[string]dialCause) {
	for addr := range r.schedules {
		if _, ok := causes[addr]; !ok {
			delete(r.schedules, addr)
		}
	}
}

// addSchedules schedules the first dial of addresses that are new. It draws their delays in the order of the addresses,
// so that the same seed gives the same dials.
func (r *Rejoin) addSchedules(now time.Duration, causes map[string]dialCause, reached int) {
	for _, addr := range slices.Sorted(maps.Keys(causes)) {
		if r.schedules[addr] == nil {
			delay := r.firstDelay(causes[addr], reached)
			r.schedules[addr] = &dialSchedule{delay: initialDialDelay, nextAt: now + delay}
		}
	}
}

// overdueAddresses returns the addresses whose time to be dialed has come, the longest overdue first.
func (r *Rejoin) overdueAddresses(now time.Duration) (overdue []string) {
	for addr, schedule := range r.schedules {
		if now >= schedule.nextAt {
			overdue = append(overdue, addr)
		}
	}
	slices.SortFunc(overdue, func(a, b string) int {
		return cmp.Or(cmp.Compare(r.schedules[a].nextAt, r.schedules[b].nextAt), cmp.Compare(a, b))
	})
	return overdue[:min(len(overdue), maxDialsPerRound)]
}

// firstDelay is the delay before the first dial of an address. All members notice a loss at one instant, so that the
// delay is spread over a time that grows with their number. An unconfirmed member mostly joins by itself.
func (r *Rejoin) firstDelay(cause dialCause, reached int) time.Duration {
	// Drawn for either cause, so that the sequence of draws does not depend on it.
	unconfirmedDelay := unconfirmedDialDelay + r.drawBelow(unconfirmedDialDelay)
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
