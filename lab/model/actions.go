package model

import (
	"falldeal/admission"
	"falldeal/lab/history"
)

// Gauges of a server that the model does not vary.
const (
	modelMemoryUtilization = 0.1
	modelConnections       = 10
)

// perform carries out an action of the controller.
func (s *server) perform(action *admission.Action) {
	switch action.Kind {
	case admission.ActionHealth:
		s.healthy = action.Health.Healthy
	case admission.ActionWake:
		s.schedule(action.At, s.wake)
	default: // of an attempt, or without a meaning in the model
		if attempt := s.attempts[action.ID]; attempt != nil {
			s.performOn(attempt, action)
		}
	}
}

// wake passes the controller its timer event with the gauges of now.
func (s *server) wake() {
	s.collectCompleted()
	s.enqueue(admission.TimerFired(admission.Gauges{
		CPUUtilization: s.cores.Utilization(), CPUDemand: float64(s.cores.InFlight()),
		MemoryUtilization: modelMemoryUtilization, Connections: modelConnections,
	}))
	s.cores.scheduleCompletion()
}

func (s *server) performOn(attempt *attempt, action *admission.Action) {
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
	default: // the model runs to their end what the agent could stop, and has no keys, registry or log
	}
}

func (s *server) reject(attempt *attempt, rejection admission.Rejection) {
	if s.shedding != nil && !rejection.NoRetryElsewhere {
		s.shedding.retries.RecordRejection(s.sim.now, attempt.fingerprint)
	}
	delete(s.attempts, attempt.id)
	attempt.respond(response{
		outcome: history.OutcomeRejected, retryAfter: rejection.RetryAfter, noRetryElsewhere: rejection.NoRetryElsewhere,
	})
}

// fail answers an attempt with an error. A run on the cores goes on.
func (s *server) fail(attempt *attempt) {
	attempt.respond(response{outcome: history.OutcomeFailed})
	attempt.dropCall()
	switch attempt.state {
	case attemptReading, attemptQueued:
		delete(s.attempts, attempt.id)
	case attemptWaitingForCall:
		s.finish(attempt, admission.OutcomeCancelled) // the agent ends a run whose call nobody needs
	case attemptRunning:
	}
}
