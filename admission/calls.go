package admission

import (
	"math/rand/v2"
	"time"

	"falldeal/admission/internal/timedqueue"
)

const (
	maxCallAttempts = 2                      // of a request, over all its calls; from then on none is retried
	callBackoff     = 100 * time.Millisecond // before a call is retried
	// An abandoned call that took longer than this many mean call times counts as timed out.
	abandonedCallFailedFactor = 2.0
)

// callScheduler schedules the calls of running requests. A call waits for its turn, is made, and then ends,
// is retried, or is abandoned with its request. Calls are made in the order of the usefulUntil times of their
// requests. The limiter bounds the calls in flight, and the circuit breaker may drop a call instead.
type callScheduler struct {
	classes   []Class
	waiting   timedqueue.Queue[*request] // ordered by usefulUntil; may contain requests that no longer wait
	purge     purgeThreshold             // of waiting
	limiter   *callLimiter
	breaker   *circuitBreaker
	estimator *estimator
	runs      *concurrencyLimiter
	timers    *timers
	actions   *actionBuffer
	rng       *rand.Rand
}

func (s *callScheduler) configure(settings *Settings) { s.classes = settings.Classes }

// handleCallNeeded queues the call of a request that is on the CPU. A request that has ended is ignored.
func (s *callScheduler) handleCallNeeded(now time.Duration, request *request) {
	if request == nil || request.state != running {
		return
	}
	s.runs.releaseCPU()
	s.wait(now, request)
}

// wait adds a request to the queue for calls. The request counts in waitingCount until its call is made or
// skipped, or its run ends. An answered request still counts until its run ends.
func (s *callScheduler) wait(now time.Duration, request *request) {
	request.state = awaitingCall
	request.callStateSince = now
	s.limiter.waitingCount++
	s.purgeWaiting()
	s.waiting.Push(request.usefulUntil, request)
}

// purgeWaiting drops the requests that no longer wait for their call, if there may be many.
func (s *callScheduler) purgeWaiting() {
	if !s.purge.reached(s.waiting.Len()) {
		return
	}
	s.waiting.DeleteFunc(func(entry *request) bool { return entry.state != awaitingCall || entry.answered })
	s.purge.purged(s.waiting.Len())
}

// requeue adds a request to the queue again after its call has failed and the backoff has passed.
func (s *callScheduler) requeue(now time.Duration, request *request) {
	s.limiter.waitingCount--
	request.callTime += now - request.callStateSince
	s.wait(now, request)
}

// startWaiting makes waiting calls until the limiter allows no more.
func (s *callScheduler) startWaiting(now time.Duration) {
	s.skipLate(now)
	for s.waiting.Len() > 0 {
		request, _, _ := s.waiting.Peek()
		if request.state != awaitingCall || request.answered {
			s.waiting.Pop()
			continue
		}
		left := request.usefulUntil - now
		if left <= 0 {
			s.waiting.Pop()
			s.fail(request)
			continue
		}
		timeout := s.limiter.timeout(now, left)
		if timeout <= 0 {
			return
		}
		s.waiting.Pop()
		if s.rng.Float64() < s.breaker.dropProbability(now) {
			s.drop(now, request)
			continue
		}
		s.start(now, request, timeout)
	}
}

// skipLate continues runs without their calls where the calls should be left to other requests (see
// estimator.skipsCall).
func (s *callScheduler) skipLate(now time.Duration) {
	s.waiting.DeleteFunc(func(request *request) bool {
		if request.state != awaitingCall || request.answered || !s.estimator.skipsCall(now, request) {
			return false
		}
		s.drop(now, request)
		return true
	})
}

// start makes the call of a request that waits for it.
func (s *callScheduler) start(now time.Duration, request *request, timeout time.Duration) {
	s.limiter.waitingCount--
	s.limiter.inFlight++
	request.callTime += now - request.callStateSince
	request.state = calling
	request.callStateSince = now
	request.callAttempts++
	s.actions.emit(Action{Kind: ActionCall, ID: request.id, Timeout: timeout})
}

// drop continues the run of a request without its call if its class allows that, and fails the request
// otherwise.
func (s *callScheduler) drop(now time.Duration, request *request) {
	if s.classes[request.class].DegradedValueRatio <= 0 {
		s.fail(request)
		return
	}
	s.limiter.waitingCount--
	s.resume(now, request)
	s.actions.emit(Action{Kind: ActionSkipCall, ID: request.id})
}

// fail answers a request that waits for its call with an error. On ActionFail the owner of the controller
// ends the run and reports that with EventRunCompleted. Until then the request counts as waiting.
func (s *callScheduler) fail(request *request) {
	request.answered = true
	s.actions.emit(Action{Kind: ActionFail, ID: request.id})
}

// resume counts a run as on the CPU again, after its call or without it.
func (s *callScheduler) resume(now time.Duration, request *request) {
	request.callTime += now - request.callStateSince
	request.state = running
	s.runs.reacquireCPU()
}

// handleCallCompleted handles the end of a call. The call of a request that has ended is ignored, since it
// was counted when it was abandoned.
func (s *callScheduler) handleCallCompleted(now time.Duration, request *request, completion Completion) {
	if request == nil || request.state != calling {
		return
	}
	outcome := completion.Outcome
	s.breaker.record(now, outcome)
	s.limiter.inFlight--
	if outcome == OutcomeTimedOut || outcome == OutcomeAborted {
		s.trackAbandoned(now)
	}
	s.limiter.recordCallTime(completion.Duration)
	if outcome == OutcomeOK {
		s.resume(now, request)
		return
	}
	request.callTime += now - request.callStateSince
	request.state = awaitingCall
	request.callStateSince = now
	s.limiter.waitingCount++
	switch {
	case request.answered:
	case s.mayRetry(now, request, outcome):
		s.timers.add(now+callBackoff, deadline{kind: deadlineCallRetry, request: request, id: request.id})
	default:
		s.drop(now, request)
	}
}

// mayRetry reports whether a call that ended with outcome is retried. The call must never have run, or must
// be a read that did not time out, since one that did may still be running. Time must be left for a retry,
// and the request must have made fewer than maxCallAttempts calls.
func (s *callScheduler) mayRetry(now time.Duration, request *request, outcome Outcome) bool {
	if request.callAttempts >= maxCallAttempts || now+callBackoff >= request.usefulUntil {
		return false
	}
	endedRead := s.classes[request.class].Idempotency == Safe && outcome != OutcomeTimedOut
	return endedRead || outcome.NeverRan()
}

// stopWaiting removes a request that has ended while it waited for its call from waitingCount.
func (s *callScheduler) stopWaiting() { s.limiter.waitingCount-- }

// abandon removes the call of a request that has ended from the calls in flight. The circuit breaker counts
// the call as timed out if it took longer than abandonedCallFailedFactor times the mean.
func (s *callScheduler) abandon(now time.Duration, request *request) {
	s.limiter.inFlight--
	if now-request.callStateSince > seconds(abandonedCallFailedFactor*s.limiter.callTime.ValueOr(0)) {
		s.breaker.record(now, OutcomeTimedOut)
	}
	s.trackAbandoned(now)
}

// trackAbandoned counts an abandoned call for as long as it may occupy the dependency.
func (s *callScheduler) trackAbandoned(now time.Duration) {
	if s.limiter.abandonedTime > 0 {
		s.limiter.abandoned++
		s.timers.add(now+s.limiter.abandonedTime, deadline{kind: deadlineAbandonedCall})
	}
}

// untrackAbandoned stops counting an abandoned call that no longer occupies the dependency.
func (s *callScheduler) untrackAbandoned() { s.limiter.abandoned-- }

// setProtectedCalls implements Controller.SetProtectedCalls.
func (s *callScheduler) setProtectedCalls(calls float64) {
	s.breaker.protectedCalls = calls
	if calls > 0 {
		s.limiter.resetCallTimeToBest()
	}
}
