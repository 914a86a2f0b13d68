package fleet

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	initialDialDelay     = time.Second      // between the first two dials of an address; doubled with each further dial
	maxDialDelay         = 30 * time.Second // between two dials of an address in a fleet of up to 3 members
	unconfirmedDialDelay = 3 * time.Second  // minimum delay before the first dial of a member that was never reached
	maxDialsPerRound     = 2                // addresses that one call of NextDials returns
)

// Rejoin decides which addresses to dial: those of seeds that are not reached, of members that are lost, and of members that
// publish but are unconfirmed. The failure detection forgets members that have been lost for a while. Without these dials
// the parts of a partitioned fleet would not merge again, nor would fleets that were started separately.
//
// Each address has a separate schedule, which is reset once the address was reached:
//
//   - The first dial of a lost member or a seed is delayed by a random time whose range grows with the number of reached
//     members, as all of them may dial the address. That of an unconfirmed member is delayed by a time in a fixed range.
//   - After each dial the delay until the next one doubles, up to a maximum. Half of it is random, so that members do not
//     dial at the same time.
//
// A Rejoin belongs to one goroutine.
type Rejoin struct {
	seeds     seedSet
	random    *rand.Rand
	schedules map[string]*dialSchedule // by address
}

// seedSet holds the addresses of the seeds. The value is true if the address is this process's own or that of a reached
// member.
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

// dialSchedule is the schedule of the dials of one address.
type dialSchedule struct {
	delay  time.Duration // from the next dial to the one after it
	nextAt time.Duration // time of the next dial
}

// dialCause is the reason for which an address is dialed.
type dialCause uint8

const (
	dialUnconfirmed dialCause = iota // a member that publishes, but that this observer's failure detection never reached
	dialLost                         // a lost member or a seed that is not reached; other members are likely to dial it too
)

func (c dialCause) String() string {
	if c == dialLost {
		return "lost"
	}
	return "unconfirmed"
}

// NewRejoin returns a Rejoin for the addresses of the seeds. It draws its delays from random.
func NewRejoin(seeds []string, random *rand.Rand) *Rejoin {
	return &Rejoin{seeds: newSeedSet(seeds), random: random, schedules: map[string]*dialSchedule{}}
}

// SetSeeds replaces the seeds.
func (r *Rejoin) SetSeeds(seeds []string) { r.seeds = newSeedSet(seeds) }

// NextDials returns the addresses to dial now, the longest overdue first, and at most maxDialsPerRound of them. It
// schedules their next dials.
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

// maxDialDelayOf returns the maximum delay between two dials of an address in a fleet with that many members. It grows
// with the logarithm of the number: in a large fleet only some members need to dial a lost one.
func maxDialDelayOf(members int) time.Duration {
	return maxDialDelay * time.Duration(1+log2(members)/2)
}

// postpone schedules the next dial of an address that is being dialed.
func (r *Rejoin) postpone(schedule *dialSchedule, now, maxDelay time.Duration) {
	schedule.nextAt = now + schedule.delay/2 + r.drawBelow(schedule.delay/2)
	schedule.delay = min(2*schedule.delay, maxDelay)
}

// addressesToDial returns the addresses that have to be dialed, each with the cause, and the number of other members that are
// reached.
func (r *Rejoin) addressesToDial(now time.Duration, snapshot *Snapshot) (causes map[string]dialCause, reached int) {
	causes = map[string]dialCause{}
	r.seeds.reset()
	maxAge := MaxFreshAge(len(snapshot.Members))
	for i := range snapshot.Members {
		member := &snapshot.Members[i]
		if member.Self || member.reached() {
			r.seeds.markReached(member.Addr)
			if !member.Self {
				reached++
			}
			continue
		}
		if cause, needed := dialCauseOf(member, now, maxAge); needed {
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

// dialCauseOf returns whether a member that is not reached has to be dialed, and why. A record older than maxAge does not
// show that an unconfirmed member still publishes.
func dialCauseOf(member *Member, now, maxAge time.Duration) (cause dialCause, needed bool) {
	switch {
	case member.Addr == "":
		return 0, false
	case member.Liveness == Unconfirmed && member.Seq > 0 && member.Age(now) <= maxAge:
		return dialUnconfirmed, true
	case member.lost():
		return dialLost, true
	}
	return 0, false
}

// dropSchedules removes the schedules of addresses that no longer have to be dialed.
func (r *Rejoin) dropSchedules(causes map[string]dialCause) {
	for addr := range r.schedules {
		if _, ok := causes[addr]; !ok {
			delete(r.schedules, addr)
		}
	}
}

// addSchedules schedules the first dial of addresses without a schedule. It draws the delays in the order of the
// addresses, so that the same random seed gives the same dials.
func (r *Rejoin) addSchedules(now time.Duration, causes map[string]dialCause, reached int) {
	for _, addr := range slices.Sorted(maps.Keys(causes)) {
		if r.schedules[addr] == nil {
			delay := r.firstDelay(causes[addr], reached)
			r.schedules[addr] = &dialSchedule{delay: initialDialDelay, nextAt: now + delay}
		}
	}
}

// overdueAddresses returns the addresses whose dial is due, the longest overdue first, and at most maxDialsPerRound of
// them.
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

// firstDelay returns the delay before the first dial of an address. All members notice a loss at about the same time, so
// that the delay is drawn from a range that grows with the number of reached ones. An unconfirmed member is dialed later, as
// it usually joins by itself.
func (r *Rejoin) firstDelay(cause dialCause, reached int) time.Duration {
	// Drawn for dialLost too, which does not use it: without this draw, the same random seed would give other delays.
	unconfirmedDelay := unconfirmedDialDelay + r.drawBelow(unconfirmedDialDelay)
	if cause == dialLost {
		return r.drawBelow(time.Duration(reached) * initialDialDelay / 4)
	}
	return unconfirmedDelay
}

// drawBelow returns a random duration in [0, limit), or 0 if limit is not positive.
func (r *Rejoin) drawBelow(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(r.random.Int64N(int64(limit)))
}

// log2 returns the logarithm of n to base 2, rounded down.
func log2(n int) (log int) {
	for ; n > 1; n >>= 1 {
		log++
	}
	return log
}
