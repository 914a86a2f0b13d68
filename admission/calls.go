package admission

import (
	"time"

	"falldeal/admission/internal/rolling"
)

// Calls to the dependency: how many are in flight, when one is retried, and when a request does without.
const (
	minCallLimitRatio         = 0.37                   // least limit, of what the dependency survives; ours
	initialCallLimitRatio     = 0.5                    // the limit to begin with; ours
	maxCallLimitRatio         = 0.75                   // the limit while calls are as fast as ever; ours
	callLimitDecrease         = 0.95                   // factor on it per sweep while calls are slow; ours
	callLimitIncrease         = 0.01                   // added to it per sweep otherwise; ours
	slowCallFactor            = 2.5                    // times the best mean, above it calls are slow; ours
	bestCallTimeDrift         = 1.001                  // growth of that best per sweep, to find it anew; ours
	safeCallRatio             = 0.9                    // of what is survived, the bound of the mean; ours
	callCreditWindow          = 300 * time.Millisecond // for which unused calls may be saved up; ours
	callSecondsBuckets        = 50                     // of the window of the mean; ours
	maxCallAttempts           = 2                      // of one call; ours
	callBackoff               = 100 * time.Millisecond // before a call is retried; ours
	minCallTimeFactor         = 4.0                    // mean times left to a call over the limit; ours
	abandonedCallFailedFactor = 2.0                    // mean times after which it counts as failed; ours
	minCallsPerRun            = 0.1                    // least calls per run that are assumed; ours
	callGain                  = 0.1                    // weight of a new call in the mean call time; ours
	waitersPerCall            = 1.0                    // runs stop at this many waiting per call; ours
	skipWaitRatio             = 0.3                    // of the time left that a call is waited for; ours
)

// callLimit is how many calls may be in flight now. It may be less than one.
func (c *Controller) callLimit() float64 { return c.callLimitRatio * c.settings.MaxCallsInFlight }

// adjustCallLimit lowers the limit while calls take much longer than at best: the dependency is crowded, and
// more calls at once only make it slower. Where it is slow by itself that costs some calls which would have
// been on time, hence the lower bound.
func (c *Controller) adjustCallLimit() {
	if !c.callTime.Known() {
		return
	}
	c.bestCallTime = min(c.bestCallTime*bestCallTimeDrift, c.callTime.Value())
	if c.callTime.Value() > slowCallFactor*c.bestCallTime {
		c.callLimitRatio = max(c.callLimitRatio*callLimitDecrease, minCallLimitRatio)
		return
	}
	c.callLimitRatio = min(c.callLimitRatio+callLimitIncrease, maxCallLimitRatio)
}

// needsCall reports whether req will call the dependency.
func (c *Controller) needsCall(req *request) bool {
	return c.settings.Classes[req.class].CallsDependency && !c.skipsCall(req)
}

// skipsCall reports whether req may do without its call and would wait for it so long that requests which may
// not should have it.
func (c *Controller) skipsCall(req *request) bool {
	mayDegrade := c.settings.Classes[req.class].DegradedValueRatio > 0
	return mayDegrade && c.callWait() > scale(req.objective-c.now, skipWaitRatio)
}

// callWait estimates how long a new request waits for calls that others make first. Requests that may do
// without their calls don't count: they yield.
func (c *Controller) callWait() time.Duration {
	if c.settings.MaxCallsInFlight <= 0 || !c.callTime.Known() {
		return 0
	}
	ahead := float64(c.awaitingCallCount)
	for i := range c.classes {
		if c.settings.Classes[i].CallsDependency && c.settings.Classes[i].DegradedValueRatio <= 0 {
			ahead += float64(c.classes[i].queuedCount) * c.classes[i].callsPerRun.Or(1)
		}
	}
	limit, overdrawn := c.callLimit(), 0.0
	if limit < 1 {
		overdrawn = max(-c.callCredit, 0) // is to be paid back before the next call
	}
	return seconds((ahead*c.callTime.Value() + overdrawn) / limit)
}

// skipWaitingCalls lets runs that wait for a call go on without it once that is better.
func (c *Controller) skipWaitingCalls() {
	c.callQueue.DeleteFunc(func(req *request) bool {
		skip := req.state == awaitingCall && !req.answered && c.skipsCall(req)
		if skip {
			c.callDropped(req)
		}
		return skip
	})
}

// callTimeout limits calls in flight. It returns how long the next one may take, 0 if none may be made. Up to
// the limit any may; one more while the mean is below it, since a small limit is no whole number. What was
// left unused is saved up for callCreditWindow only, as many servers would spend it at once; what was
// overdrawn is paid back. A call beyond what the dependency survives gets so little time that the mean stays
// below that.
func (c *Controller) callTimeout(left time.Duration) time.Duration {
	survived := safeCallRatio * c.settings.MaxCallsInFlight
	if survived <= 0 {
		return left
	}
	inFlight, limit := float64(c.callsInFlight+c.abandonedCalls+1), c.callLimit()
	if inFlight > limit && (inFlight >= limit+1 || c.callCredit <= 0) {
		return 0
	}
	used := c.callSeconds.Sum(c.now)
	if inFlight <= survived {
		return left
	}
	unused := survived*c.settings.CallsWindow.Seconds() - used
	timeout := seconds(unused/inFlight) - c.settings.AbandonedCallTime
	if timeout < seconds(minCallTimeFactor*c.callTime.Or(0)) {
		return 0
	}
	return min(left, timeout)
}

// startCalls makes calls in the order in which their requests cease to be useful, as far as the limits allow.
func (c *Controller) startCalls() {
	c.skipWaitingCalls()
	for c.callQueue.Len() > 0 {
		req, _, _ := c.callQueue.Peek()
		if req.state != awaitingCall || req.answered {
			c.callQueue.Pop()
			continue
		}
		left := req.usefulUntil - c.now
		if left <= 0 {
			c.callQueue.Pop()
			c.fail(req)
			continue
		}
		timeout := c.callTimeout(left)
		if timeout <= 0 {
			return
		}
		c.callQueue.Pop()
		if c.rng.Float64() < c.breaker.dropProbability(c.now) {
			c.callDropped(req)
			continue
		}
		c.startCall(req, timeout)
	}
}

func (c *Controller) startCall(req *request, timeout time.Duration) {
	c.awaitingCallCount--
	c.callsInFlight++
	req.callTime += c.now - req.callNeededAt
	req.state, req.callNeededAt = calling, c.now
	req.callAttempts++
	c.emit(Action{Kind: ActionCall, ID: req.id, Timeout: timeout})
}

// callDropped goes on without the call where the class allows it; otherwise the request fails, as it has run.
func (c *Controller) callDropped(req *request) {
	if c.settings.Classes[req.class].DegradedValueRatio <= 0 {
		c.fail(req)
		return
	}
	c.awaitingCallCount--
	c.resume(req)
	c.emit(Action{Kind: ActionSkipCall, ID: req.id})
}

func (c *Controller) callDone(event *Event) {
	req := c.requests[event.ID]
	if req == nil || req.state != calling {
		return
	}
	outcome := event.Completion.Outcome
	c.breaker.record(c.now, outcome)
	c.callsInFlight--
	if outcome == OutcomeTimedOut || outcome == OutcomeAborted {
		c.trackAbandonedCall()
	}
	c.callTime.Add(event.Completion.Took.Seconds(), callGain)
	if outcome == OutcomeOK {
		c.resume(req)
		return
	}
	req.callTime += c.now - req.callNeededAt
	req.state, req.callNeededAt = awaitingCall, c.now
	c.awaitingCallCount++
	class := &c.settings.Classes[req.class]
	mayRetry := outcome.NeverRan() || class.Idempotency == Safe && outcome != OutcomeTimedOut
	switch {
	case req.answered:
	case mayRetry && req.callAttempts < maxCallAttempts && c.now+callBackoff < req.usefulUntil:
		c.deadlines.Push(c.now+callBackoff, deadline{deadlineCallRetry, req, req.id})
	default:
		c.callDropped(req)
	}
}

// abandonCall accounts for a call whose request has ended.
func (c *Controller) abandonCall(req *request) {
	c.callsInFlight--
	if c.now-req.callNeededAt > seconds(abandonedCallFailedFactor*c.callTime.Or(0)) {
		c.breaker.record(c.now, OutcomeTimedOut)
	}
	c.trackAbandonedCall()
}

// SetProtectedCalls sets how many calls per window of the circuit breaker are never dropped:
// BreakerProtectedCalls, unless the fleet coordinates its probes. Below 0 no call is made while none is
// accepted; above 0 the estimate of the call time is reset to the best one, so that a probe gets enough time.
// It is called between two steps.
func (c *Controller) SetProtectedCalls(calls float64) {
	c.breaker.protectedCalls = calls
	if calls > 0 && c.callTime.Known() {
		c.callTime = rolling.AverageOf(c.bestCallTime)
	}
}
