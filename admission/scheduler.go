package admission

import "time"

// runScheduler decides which queued request runs next, and which is not to run any more.
type runScheduler struct {
	queue     *requestQueue
	estimator *estimator
	runs      *concurrencyLimiter
	calls     *callLimiter
}

// next returns the queued request that must start first to meet its objective, or nil. While calls are
// backlogged, requests that need one are passed over.
func (s *runScheduler) next(now time.Duration) *request {
	backlogged := s.calls.backlogged()
	latestStart := func(request *request) time.Duration { return s.estimator.latestStart(now, request) }
	skip := func(request *request) bool {
		return backlogged && s.estimator.callsPerRun(request.class) > 0 && s.estimator.needsCall(now, request)
	}
	return s.queue.next(latestStart, skip)
}

// tooLate returns the first queued request of a class if it is too late to start it, or nil. Without enough
// trial runs that is only once it is of no use at all, so that a recovery is noticed.
func (s *runScheduler) tooLate(now time.Duration, class int) *request {
	front := s.queue.front(class)
	if front == nil {
		return nil
	}
	missesObjective := now+s.estimator.serviceTime(now, front) > front.objective
	useless := s.runs.enoughTrials() || now >= front.usefulUntil
	if missesObjective && useless {
		return front
	}
	return nil
}

// recoveryWillShow reports whether enough is under way to notice when a scarce resource recovers, so that no
// further request is to run although it can't be on time: enough trial runs, or a call that is waited for.
func (s *runScheduler) recoveryWillShow(scarce resource) bool {
	callWillEnd := scarce == resourceCalls && s.calls.anyPending()
	return callWillEnd || s.runs.enoughTrials()
}
