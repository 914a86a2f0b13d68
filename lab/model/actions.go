package model

import (
	"falldeal/admission"
	"falldeal/lab/history"
)

// Gauges that every server reports unchanged, because the model simulates neither memory nor connections.
const (
	modelMemoryUtilization = 0.1
	modelConnections       = 10
)

// perform executes one action that the controller has decided on.
func (s *server) perform(action *admission.Action) {
	switch action.Kind {
	case admission.ActionHealth:
		s.healthy = action.Health.Healthy
	case admission.ActionWake:
		s.schedule(action.At, s.wake)
	default: // an action on one attempt, or one that the model does not simulate
		if attempt := s.attempts[action.ID]; attempt != nil {
			s.performForAttempt(attempt, action)
		}
	}
}

// wake sends the controller a timer event with the current gauges.
func (s *server) wake() {
	s.collectCompleted()
	s.enqueue(admission.TimerFired(admission.Gauges{
		CPUUtilization: s.cores.Utilization(), CPUDemand: float64(s.cores.InFlight()),
		MemoryUtilization: modelMemoryUtilization, Connections: modelConnections,
	}))
	s.cores.scheduleCompletion()
}

// performForAttempt executes an action on one attempt.
func (s *server) performForAttempt(attempt *attempt, action *admission.Action) {
	switch action.Kind {
	case admission.ActionRun:
		s.admit(attempt)
	case admission.ActionCall:
		attempt.calledAt = s.sim.now
		attempt.call = s.sim.stores[s.zone].begin(s, attempt, action.Timeout)
	case admission.ActionSkipCall:
		attempt.degraded = true
		s.run(attempt)
	case admission.ActionReject:
		s.reject(attempt, action.Rejection)
	case admission.ActionFail:
		s.fail(attempt)
	default: // not simulated: the model completes every run, and has no idempotency keys, registry or log
	}
}

// reject answers an attempt with a rejection. Unless the rejection forbids a retry at other servers, it is recorded,
// so that the next attempts of the request at this server are known to be retries.
func (s *server) reject(attempt *attempt, rejection admission.Rejection) {
	if s.shedding != nil && !rejection.NoRetryElsewhere {
		s.shedding.retries.RecordRejection(s.sim.now, attempt.fingerprint)
	}
	delete(s.attempts, attempt.id)
	attempt.respond(response{
		outcome: history.OutcomeRejected, retryAfter: rejection.RetryAfter, noRetryElsewhere: rejection.NoRetryElsewhere,
	})
}

// fail answers an attempt with an error. A run that already uses the cores continues to its end.
func (s *server) fail(attempt *attempt) {
	attempt.respond(response{outcome: history.OutcomeFailed})
	attempt.abandonCall()
	switch attempt.state {
	case attemptReading, attemptQueued:
		delete(s.attempts, attempt.id)
	case attemptWaitingForCall:
		s.finish(attempt, admission.OutcomeCancelled) // the agent ends a run that waits for a call whose result is no longer needed
	case attemptRunning:
	}
}
