package admission

import (
	"math"
	"time"

	"falldeal/admission/internal/rolling"
)

const (
	// Bounds and initial value of limitRatio.
	minCallLimitRatio     = 0.37
	initialCallLimitRatio = 0.5
	maxCallLimitRatio     = 0.75
	// Changes of limitRatio per periodic decision (100 ms): a factor while calls are slow, and a summand
	// otherwise. Calls are slow if their mean time exceeds slowCallFactor times the best mean.
	callLimitDecrease = 0.95
	callLimitIncrease = 0.01
	slowCallFactor    = 2.5
	// Factor on the best call time per periodic decision. It doubles the best call time in 70 s of slow
	// calls.
	bestCallTimeDrift = 1.001
	// Seconds. Any measured call is faster.
	initialBestCallTime = 1e9
	// Weight of a new call in the mean call time.
	callTimeGain = 0.1
	// Fraction of maxInFlight that the mean number of calls in flight stays below.
	safeCallRatio = 0.9
	// Minimum timeout of a call beyond safeCallRatio, in mean call times.
	minCallTimeFactor = 4.0
	// Calls are backlogged once this many wait for each call that the limit allows.
	waitersPerCall = 1.0
	// Time over which saved-up credit may let the mean number of calls reach the limit (see addCredit).
	callCreditWindow = 300 * time.Millisecond
	// Number of buckets and minimum span of the window of callSeconds.
	callSecondsBuckets = 50
	minCallsWindow     = time.Second
)

// callLimiter limits the calls in flight from this server to a mean of maxInFlight over callsWindow. It has
// three rules:
//
//  1. The limit is limitRatio times maxInFlight. At each periodic decision the ratio decreases by a factor
//     while calls take much longer than the best mean, since more concurrent calls slow an overloaded
//     dependency further. Otherwise it increases by a constant (AIMD).
//  2. The limit is rarely a whole number, so one call beyond it may be made while there is credit. Credit is
//     the unused call-seconds under the limit. Only little is saved up, since many servers may spend their
//     credit at the same time. Calls beyond the limit make the credit negative (overdrawn). No further call
//     beyond the limit is made until unused call-seconds have raised the credit above 0 again.
//  3. While more calls are in flight than safeCallRatio times maxInFlight, the timeout of a new call is
//     capped so that the mean number of calls over callsWindow stays below that value. If the cap leaves the
//     call too little time, it is not made.
//
// If maxInFlight is 0, calls are not limited and limit() is 0. In this case
//
//   - timeout ignores the limit, so all calls are made, and delaysCalls returns false, so no waiting time is
//     estimated;
//   - adjust still changes limitRatio, and ConditionCallLimit is still reported;
//   - backlogged returns true from one waiting request on.
type callLimiter struct {
	maxInFlight   float64       // mean number of calls in flight that this server is allowed; 0: unlimited
	callsWindow   time.Duration // time over which the mean is taken
	abandonedTime time.Duration // longest time for which an abandoned call occupies the dependency

	waitingCount int // requests that wait for a call; an answered one counts until its run ends
	inFlight     int // calls in flight
	abandoned    int // abandoned calls that may still occupy the dependency

	callTime     rolling.Average // mean time of a call, in seconds
	bestCallTime float64         // lowest mean, in seconds; it drifts up, so that it is measured again
	limitRatio   float64         // the limit, as a fraction of maxInFlight
	credit       float64         // unused call-seconds under the limit; negative if overdrawn
	callSeconds  *rolling.Window // call-seconds in flight, over callsWindow
}

func newCallLimiter(now time.Duration, settings *Settings) *callLimiter {
	limiter := &callLimiter{bestCallTime: initialBestCallTime, limitRatio: initialCallLimitRatio}
	limiter.configure(now, settings)
	limiter.credit = limiter.limit() * callCreditWindow.Seconds()
	return limiter
}

// configure applies the limits of settings. If the length of the window changes, the new window is empty.
func (l *callLimiter) configure(now time.Duration, settings *Settings) {
	newWindow := l.callSeconds == nil || settings.CallsWindow != l.callsWindow
	l.maxInFlight = settings.MaxCallsInFlight
	l.callsWindow = settings.CallsWindow
	l.abandonedTime = settings.AbandonedCallTime
	if newWindow {
		l.callSeconds = rolling.NewWindow(now, max(l.callsWindow, minCallsWindow), callSecondsBuckets)
	}
}

// limit returns the number of calls that may be in flight. It may be fractional and less than one.
func (l *callLimiter) limit() float64 { return l.limitRatio * l.maxInFlight }

// adjust changes the limit according to the mean call time, once per periodic decision. The best call time
// drifts up, so that a dependency that has become slower for good is compared with its new best time after a
// while. limitRatio has a lower bound because a dependency may be slow without load: a low limit would then
// only delay calls that would have been on time.
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

// atMinimum reports whether the limit is at its lower bound.
func (l *callLimiter) atMinimum() bool { return l.limitRatio <= minCallLimitRatio }

// recovered reports whether the limit is at its upper bound, or no call was measured yet.
func (l *callLimiter) recovered() bool {
	return l.limitRatio >= maxCallLimitRatio || !l.callTime.Known()
}

// occupied returns the number of calls that may occupy the dependency: those in flight and abandoned ones.
func (l *callLimiter) occupied() int { return l.inFlight + l.abandoned }

// advance accounts for the calls in flight during the time elapsed until now.
func (l *callLimiter) advance(now, elapsed time.Duration) {
	inFlight := float64(l.occupied())
	l.addCredit(elapsed, inFlight)
	l.callSeconds.Add(now, elapsed.Seconds()*inFlight)
}

// addCredit adds the unused call-seconds under the limit, or subtracts those beyond it. Let next be the
// smallest whole number above the limit. At its upper bound, the credit is used up when as many calls as next
// are in flight for the fraction limit/next of callCreditWindow: if no call is in flight for the rest of the
// window, the mean over the window is the limit. The lower bound is minus the call-seconds of the limit over
// callsWindow.
func (l *callLimiter) addCredit(elapsed time.Duration, inFlight float64) {
	limit := l.limit()
	l.credit += elapsed.Seconds() * (limit - inFlight)
	next := math.Floor(limit) + 1
	most := limit * callCreditWindow.Seconds() * (next - limit) / next
	l.credit = max(min(l.credit, most), -limit*l.callsWindow.Seconds())
}

// timeout returns how long the next call may take, or 0 if no call may be made now. left is the time for
// which an answer to the request of the call still has value.
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
	if timeout < seconds(minCallTimeFactor*l.callTime.ValueOr(0)) {
		return 0
	}
	return min(left, timeout)
}

// allows reports whether the given number of calls may be in flight. It may reach the limit, and exceed it by
// less than one while there is credit.
func (l *callLimiter) allows(inFlight float64) bool {
	limit := l.limit()
	if l.credit > 0 {
		return inFlight < limit+1
	}
	return inFlight <= limit
}

// delaysCalls reports whether calls are limited and the mean call time is known, so that waitFor can be used.
func (l *callLimiter) delaysCalls() bool { return l.maxInFlight > 0 && l.callTime.Known() }

// waitFor estimates how long a call waits behind the given number of other calls. If the limit is below one,
// this includes the time until overdrawn credit is restored. The limit must not be 0, see delaysCalls.
func (l *callLimiter) waitFor(ahead float64) time.Duration {
	limit := l.limit()
	overdrawn := 0.0
	if limit < 1 {
		overdrawn = max(-l.credit, 0)
	}
	return seconds((ahead*l.callTime.Value() + overdrawn) / limit)
}

// backlogged reports whether so many requests wait for a call that no further request that needs one should
// run.
func (l *callLimiter) backlogged() bool {
	return float64(l.waitingCount) >= max(1, waitersPerCall*l.limit())
}

// anyPending reports whether a call is waiting or in flight, so that a recovery of the dependency will be
// noticed.
func (l *callLimiter) anyPending() bool { return l.waitingCount+l.inFlight > 0 }

// resetCallTimeToBest replaces the mean call time with the best one, so that the next call gets a sufficient
// timeout.
func (l *callLimiter) resetCallTimeToBest() {
	if l.callTime.Known() {
		l.callTime = rolling.AverageOf(l.bestCallTime)
	}
}

// recordCallTime adds the time that a call took to the mean. Calls count whatever their outcome, including
// those that failed, timed out or were rejected immediately.
func (l *callLimiter) recordCallTime(took time.Duration) {
	l.callTime.Add(took.Seconds(), callTimeGain)
}
