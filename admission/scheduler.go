package admission

import "time"

// runScheduler decides which queued request runs next, and which queued requests are too late to run.
type runScheduler struct {
	queue     *requestQueue
	estimator *estimator
	runs      *concurrencyLimiter
	calls     *callLimiter
}

// next returns the queued request with the earliest latest start, or nil. While calls are backlogged,
// requests that need a call are skipped.
func (s *runScheduler) next(now time.Duration) *request {
	backlogged := s.calls.backlogged()
	latestStart := func(request *request) time.Duration { return s.estimator.latestStart(now, request) }
	skip := func(request *request) bool {
		return backlogged && s.estimator.callsPerRun(request.class) > 0 && s.estimator.needsCall(now, request)
	}
	return s.queue.next(latestStart, skip)
}

// tooLate returns the first queued request of a class if it is too late to start, or nil. Normally that is a
// request that would miss its objective. While fewer than trialRuns requests run, such a request is kept for
// a trial run, which can show a recovery, until an answer has no value any more.
func (s *runScheduler) tooLate(now time.Duration, class int) *request {
	front := s.queue.front(class)
	if front == nil {
		return nil
	}
	missesObjective := now+s.estimator.serviceTime(now, front) > front.objective
	uselessAsTrial := s.runs.enoughTrials() || now >= front.usefulUntil
	if missesObjective && uselessAsTrial {
		return front
	}
	return nil
}

// recoveryObservable reports whether enough is under way to notice when a scarce resource recovers: enough
// trial runs or, for calls, a call that is waiting or in flight. If so, a request that would be late need not
// run as a trial.
func (s *runScheduler) recoveryObservable(scarce resource) bool {
	callWillEnd := scarce == resourceCalls && s.calls.anyPending()
	return callWillEnd || s.runs.enoughTrials()
}
