package admission

import (
	"math"
	"time"

	"falldeal/admission/internal/rolling"
)

const (
	minCallLimitRatio     = 0.37 // least limit, of the calls in flight that this server is allowed
	initialCallLimitRatio = 0.5
	maxCallLimitRatio     = 0.75  // the limit while calls are as fast as ever
	callLimitDecrease     = 0.95  // factor on the limit per sweep while calls are slow
	callLimitIncrease     = 0.01  // added to it per sweep otherwise
	slowCallFactor        = 2.5   // times the best mean, above which calls are slow
	bestCallTimeDrift     = 1.001 // factor on the best call time per sweep: it doubles in 70 s of slow calls
	initialBestCallTime   = 1e9   // seconds; any measured call is faster
	callTimeGain          = 0.1   // weight of a new call in the mean call time
	safeCallRatio         = 0.9   // of the calls in flight allowed, that the mean stays below
	minCallTimeFactor     = 4.0   // mean call times that a call beyond safeCallRatio is given at least
	waitersPerCall        = 1.0   // waiting calls per call of the limit from which calls are backlogged
	callCreditWindow      = 300 * time.Millisecond
	callSecondsBuckets    = 50
	minCallsWindow        = time.Second
)

// callLimiter limits the calls in flight from this server, of which maxInFlight are allowed on average over
// callsWindow. Three rules apply:
//
//  1. The limit is limitRatio of maxInFlight. Per sweep the ratio falls by a factor while calls take much
//     longer than the best mean, since more concurrent calls slow an overloaded dependency further; it rises
//     by a constant otherwise (AIMD).
//  2. The limit is seldom a whole number, so one call more than it allows may be made while there is credit.
//     Credit is unused call-seconds under the limit. Little of it is saved, as many servers may spend theirs
//     at once. Calls beyond the limit make it negative (overdrawn), and no call beyond the limit is made
//     until unused call-seconds have raised it above 0 again.
//  3. While more calls are in flight than safeCallRatio of maxInFlight, the timeout of a new call is
//     capped, so that the mean number of calls over callsWindow stays below that. No call is made if the
//     cap leaves it too little time.
//
// A maxInFlight of 0 means that calls are not limited. limit() is 0 then, and
//   - timeout ignores it, so that all calls are made, and delaysCalls reports false, so that no waiting
//     time is estimated;
//   - adjust goes on changing limitRatio, which ConditionCallLimit still reports;
//   - backlogged reports true from one waiting request on.
type callLimiter struct {
	maxInFlight   float64 // mean calls in flight; 0: any number
	callsWindow   time.Duration
	abandonedTime time.Duration // for which an abandoned call occupies the dependency at most

	waitingCount int // requests that wait for a call; an answered one counts until its run ends
	inFlight     int // calls
	abandoned    int // calls that nobody waits for and that may still occupy the dependency

	callTime     rolling.Average // seconds
	bestCallTime float64         // seconds; the best mean, which drifts up so that it is found anew
	limitRatio   float64         // the limit, of maxInFlight
	credit       float64         // call-seconds under the limit, or over it if negative
	callSeconds  *rolling.Window // call-seconds in flight
}

func newCallLimiter(now time.Duration, settings *Settings) *callLimiter {
	limiter := &callLimiter{bestCallTime: initialBestCallTime, limitRatio: initialCallLimitRatio}
	limiter.configure(now, settings)
	limiter.credit = limiter.limit() * callCreditWindow.Seconds()
	return limiter
}

// configure takes over the limits of settings. A new window begins empty.
func (l *callLimiter) configure(now time.Duration, settings *Settings) {
	newWindow := l.callSeconds == nil || settings.CallsWindow != l.callsWindow
	l.maxInFlight = settings.MaxCallsInFlight
	l.callsWindow = settings.CallsWindow
	l.abandonedTime = settings.AbandonedCallTime
	if newWindow {
		l.callSeconds = rolling.NewWindow(now, max(l.callsWindow, minCallsWindow), callSecondsBuckets)
	}
}

// limit is how many calls may be in flight. It may be less than one.
func (l *callLimiter) limit() float64 { return l.limitRatio * l.maxInFlight }

// adjust changes the limit by the mean time of calls, once per sweep. The best call time drifts up
// meanwhile, so that a dependency that has become slower for good is compared with its new best time after
// a while. Where the dependency is slow without load, a low limit delays calls that would have been on
// time, hence the lower bound.
func (l *callLimiter) adjust() {
	if !l.callTime.Known() {
		return
	}
	l.bestCallTime = min(l.bestCallTime*bestCallTimeDrift, l.callTime.Value())
	if l.callTime.Value() > slowCallFactor*l.bestCallTime {
		l.limitRatio = max(l.limitRatio*callLimitDecrease, minCallLimitRatio)
		return
	}
	l.limitRatio = min(l.limitRatio+callLimitIncrease, maxCallLimitRatio)
}

// atMinimum reports whether the limit is as low as it gets.
func (l *callLimiter) atMinimum() bool { return l.limitRatio <= minCallLimitRatio }

// recovered reports whether the limit is as high as it gets, or nothing is known of calls.
func (l *callLimiter) recovered() bool {
	return l.limitRatio >= maxCallLimitRatio || !l.callTime.Known()
}

// occupied is the number of calls that the dependency may be occupied with.
func (l *callLimiter) occupied() int { return l.inFlight + l.abandoned }

// advance accounts for the calls in flight over the time elapsed until now.
func (l *callLimiter) advance(now, elapsed time.Duration) {
	inFlight := float64(l.occupied())
	l.addCredit(elapsed, inFlight)
	l.callSeconds.Add(now, elapsed.Seconds()*inFlight)
}

// addCredit adds the unused call-seconds under the limit, or subtracts those over it. Credit is bounded above
// by what calls at the next whole number above the limit use up in callCreditWindow, and below by the
// call-seconds of the limit over callsWindow.
func (l *callLimiter) addCredit(elapsed time.Duration, inFlight float64) {
	limit := l.limit()
	l.credit += elapsed.Seconds() * (limit - inFlight)
	next := math.Floor(limit) + 1
	most := limit * callCreditWindow.Seconds() * (next - limit) / next
	l.credit = max(min(l.credit, most), -limit*l.callsWindow.Seconds())
}

// timeout is how long the next call may take, 0 if none may be made now. Its request is of use for left.
func (l *callLimiter) timeout(now, left time.Duration) time.Duration {
	safe := safeCallRatio * l.maxInFlight
	if safe <= 0 {
		return left
	}
	inFlight := float64(l.occupied() + 1)
	if !l.allows(inFlight) {
		return 0
	}
	if inFlight <= safe {
		return left
	}
	unused := safe*l.callsWindow.Seconds() - l.callSeconds.Sum(now)
	timeout := seconds(unused/inFlight) - l.abandonedTime
	if timeout < seconds(minCallTimeFactor*l.callTime.Or(0)) {
		return 0
	}
	return min(left, timeout)
}

// allows reports whether so many calls may be in flight: up to the limit any, and one more while there is
// credit.
func (l *callLimiter) allows(inFlight float64) bool {
	limit := l.limit()
	if l.credit > 0 {
		return inFlight < limit+1
	}
	return inFlight <= limit
}

// delaysCalls reports whether calls may have to wait for others, by what is known.
func (l *callLimiter) delaysCalls() bool { return l.maxInFlight > 0 && l.callTime.Known() }

// waitFor estimates the wait of a call behind ahead others, plus the time to repay overdrawn credit if the
// limit is below one. The limit must not be 0: see delaysCalls.
func (l *callLimiter) waitFor(ahead float64) time.Duration {
	limit := l.limit()
	overdrawn := 0.0
	if limit < 1 {
		overdrawn = max(-l.credit, 0)
	}
	return seconds((ahead*l.callTime.Value() + overdrawn) / limit)
}

// backlogged reports whether so many requests wait for a call that no more should run that need one.
func (l *callLimiter) backlogged() bool {
	return float64(l.waitingCount) >= max(1, waitersPerCall*l.limit())
}

// anyPending reports whether a request waits for a call, or is in it, so that a recovery of calls will show.
func (l *callLimiter) anyPending() bool { return l.waitingCount+l.inFlight > 0 }

// resetCallTimeToBest replaces the mean call time by the best one, so that the next call gets enough time.
func (l *callLimiter) resetCallTimeToBest() {
	if l.callTime.Known() {
		l.callTime = rolling.AverageOf(l.bestCallTime)
	}
}

// recordCallTime adds the time that a call took to the mean. Calls of all outcomes count, those that failed,
// timed out or were rejected at once included.
func (l *callLimiter) recordCallTime(took time.Duration) {
	l.callTime.Add(took.Seconds(), callTimeGain)
}
