package server

import (
	"time"

	"falldeal/admission"
	"falldeal/internal/agent"

	"github.com/sirupsen/logrus"
)

// Stage 4, execute: runs are sent to the agent, and its notifications are handled.

// agentCheckInterval is the interval between checks of the agent link until the agent has sent its handshake.
const agentCheckInterval = time.Second

// startRun sends a request to the agent to be run. If the request's key already has a run, it is not run again, whatever
// the controller has decided. Nor is it run if its ID can't be remembered, because a copy of it could then run as well.
func (s *Server) startRun(request *activeRequest) {
	switch {
	case !s.idempotency.mayRun(request):
		s.warnings.WarnFields("idempotency", "second run under an idempotency key prevented", nil, logrus.Fields{
			fieldRequestID:    request.attempt.ID,
			"idempotency_key": request.attempt.IdempotencyKey,
		})
		s.endWithoutRun(request, Failed)
		return
	case !s.completed.hasRoomToRun(s.clock.now, s.config.maxArrivalAge()):
		s.warnings.WarnFields("completed IDs", "no memory for the IDs of further runs, request rejected", nil, logrus.Fields{
			fieldRequestID: request.attempt.ID,
			"ids":          s.completed.ran.size(),
		})
		request.trace.reason = traceReason(admission.ReasonMemory.String())
		s.endWithoutRun(request, Rejected)
		return
	}
	s.stats.Runs++
	request.state = requestRunning
	request.startedAt = s.clock.now
	s.idempotency.markRunning(request)
	s.completed.addRan(request.attempt.ID)
	s.agent.Launch(request.attempt.ID, request.attempt.Class, request.attempt.Body)
	request.attempt.Body = nil // the link keeps the body for as long as it needs it
}

// endWithoutRun answers and removes a request that the controller has started, but that is not run.
func (s *Server) endWithoutRun(request *activeRequest, kind AnswerKind) {
	s.admission.enqueue(admission.RunCompleted(request.id, admission.Completion{Outcome: admission.OutcomeNotStarted}))
	s.answer(request, Answer{Kind: kind})
	s.removeRequest(request)
}

// skipCall lets a run continue without the call that it waits for.
func (s *Server) skipCall(request *activeRequest) {
	s.stats.CallsSkipped++
	s.recordMissedCall()
	s.agent.SkipCall(request.attempt.ID, request.callOffset)
}

// handleAgentNotification handles a notification of the agent.
func (s *Server) handleAgentNotification(notification agent.Notification) {
	switch notification := notification.(type) {
	case agent.Handshake:
		s.handleHandshake(notification)
	case agent.GaugeSample:
		s.gauges.record(s.clock.now, notification.Load)
	case agent.DeepCheckOutcome:
		s.completeDeepCheck(notification.Token, notification.Succeeded)
	case agent.CallRequest:
		s.handleCallRequest(notification)
	case agent.RunOutcome:
		s.handleOutcome(notification)
	case agent.CommandRejection:
		s.handleCommandRejected(notification)
	case agent.Remark:
		// A remark requires no action.
	}
}

// checkAgentUntilUp checks the agent link periodically until the agent is up. Otherwise a connection to an agent that has
// vanished would not be replaced, because nothing is sent on it yet.
func (s *Server) checkAgentUntilUp() {
	if !s.admission.started() {
		s.agent.CheckLiveness()
		s.deadlines.Add(s.clock.now+agentCheckInterval, s.checkAgentUntilUp)
	}
}

// handleHandshake creates the controller when the agent is up. The agent's state and age tell whether it is warm. A
// handshake on a later connection changes nothing, because agent and image server start and stop together.
func (s *Server) handleHandshake(handshake agent.Handshake) {
	if s.admission.started() {
		return
	}
	settings := s.config.Settings
	settings.WarmingUp = handshake.State == agent.Booting
	startedAt := s.clock.now - handshake.Age
	controller, err := admission.New(settings, s.config.Seed, startedAt)
	if err != nil {
		// The check of the configuration should have found this. Without a controller nothing is served.
		s.log.WithError(err).Error("settings rejected by the admission controller, no requests are served")
		return
	}
	s.log.WithFields(logrus.Fields{
		"state":  handshake.State.String(),
		"age_ms": handshake.Age.Milliseconds(),
	}).Info("agent is up")
	s.admission.controller = controller
	if !s.callShare.whole() {
		s.limitCalls()
	}
	s.openFrontsWhenReady()
	if s.member != nil && settings.WarmingUp {
		s.member.warmAt = startedAt + settings.SlowStartTime
	}
	s.publishStatus()
	s.admission.enqueue(admission.TimerFired(admission.UnknownGauges())) // makes the controller take its first step
	if s.health.deregistered {
		s.enqueueRegistration()
	}
	if s.drain.started() {
		s.enqueueDrainEvent()
	}
}

// handleRunsLost fails all runs, because the agent will not report their outcomes. The requests are not answered as
// Rejected, because their runs may have had their effect.
func (s *Server) handleRunsLost() {
	for _, request := range s.requests.inOrder() {
		if s.requests.contains(request) && request.running() {
			s.stats.RunsInterrupted++
			s.completeRun(request, admission.OutcomeFailed, nil)
		}
	}
}

// handleCommandRejected ends a run that the agent did not start. Other commands are rejected only for runs that have
// ended, whose outcome is on its way.
func (s *Server) handleCommandRejected(rejection agent.CommandRejection) {
	s.stats.CommandsRejected++
	s.warnings.WarnFields("agent "+rejection.Command.String(), "agent rejected a command", nil, logrus.Fields{
		"command":      rejection.Command.String(),
		fieldRequestID: rejection.RequestID,
	})
	request := s.requests.byAttemptID[rejection.RequestID]
	if request != nil && request.running() && rejection.Command == agent.CommandLaunch {
		s.completeRun(request, admission.OutcomeNotStarted, nil)
	}
}
