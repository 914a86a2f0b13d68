package server

import (
	"time"

	"falldeal/admission"
	"falldeal/internal/agent"

	"github.com/sirupsen/logrus"
)

// Stage four, execute: runs go to the agent, and its notifications come back.

// launchCommand is the name by which the agent rejects a command to begin a run.
const launchCommand = "launch"

// agentCheckInterval is how often the link is checked while the agent has not sent its handshake.
const agentCheckInterval = time.Second

// startRun has the agent run a request. A request whose key has a run on record is never run again, whatever the
// controller has decided.
func (s *Server) startRun(request *activeRequest) {
	if !s.idempotency.mayRun(request) {
		s.warnings.Warn("idempotency", "second run under an idempotency key prevented", nil)
		s.admission.enqueue(admission.Event{
			Kind:    admission.EventDone,
			ID:      request.id,
			Outcome: admission.OutcomeNotStarted,
		})
		s.answer(request, Answer{Kind: Failed})
		s.removeRequest(request)
		return
	}
	s.stats.Runs++
	request.state = requestRunning
	request.startedAt = s.clock.now
	s.idempotency.markRunning(request)
	s.markCompleted(request)
	s.agent.Launch(request.attempt.ID, request.attempt.Class, request.attempt.Body)
	request.attempt.Body = nil // the link keeps it for as long as it is needed
}

// skipCall lets a run go on without the call that it waits for.
func (s *Server) skipCall(request *activeRequest) {
	s.stats.CallsSkipped++
	s.recordMissedCall()
	s.agent.SkipCall(request.attempt.ID, request.callOffset)
}

// handleAgentNotification handles a notification of the agent.
func (s *Server) handleAgentNotification(notification agent.Notification) {
	switch notification.Kind {
	case agent.Handshake:
		s.handleHandshake(notification)
	case agent.Gauges:
		s.gauges.record(s.clock.now, s.config.Gauges, notification.Load)
	case agent.DeepCheckDone:
		s.completeDeepCheck(notification.Token, notification.Result == agent.Success)
	case agent.CallRequest:
		s.handleCallRequest(notification)
	case agent.Outcome:
		s.handleOutcome(notification)
	case agent.CommandRejected:
		s.handleCommandRejected(notification)
	case agent.Aside:
		// Nothing here depends on it.
	}
}

// checkAgentUntilUp checks the link each interval until the agent is up, so that a link which leads nowhere is replaced
// though nothing is sent on it yet.
func (s *Server) checkAgentUntilUp() {
	if !s.admission.started() {
		s.agent.Check()
		s.deadlines.Add(s.clock.now+agentCheckInterval, s.checkAgentUntilUp)
	}
}

// handleHandshake starts the controller: the agent is up, and its age tells whether it is warm. A handshake on a later
// link changes nothing, as agent and image server start and stop together.
func (s *Server) handleHandshake(notification agent.Notification) {
	if s.admission.started() {
		return
	}
	settings := s.config.Settings
	settings.WarmingUp = notification.Result == agent.Booting
	startedAt := s.clock.now - notification.Elapsed
	controller, err := admission.New(settings, s.config.Seed, startedAt)
	if err != nil {
		// The configuration was checked, so that check is incomplete. Without a controller nothing is served.
		s.log.WithError(err).Error("settings rejected by the admission controller, no requests are served")
		return
	}
	s.log.WithFields(logrus.Fields{
		"state":  notification.Result,
		"age_ms": notification.Elapsed.Milliseconds(),
	}).Info("agent is up")
	s.admission.controller = controller
	s.openFrontsWhenReady()
	if s.member != nil && settings.WarmingUp {
		s.member.warmAt = startedAt + settings.SlowStartTime
	}
	s.publishStatus()
	s.admission.enqueue(admission.Event{Kind: admission.EventTimer, Gauges: unknownGauges}) // the first step
	if s.health.deregistered {
		s.enqueueRegistration()
	}
	if s.drain.started() {
		s.enqueueDrainEvent()
	}
}

// handleRunsLost ends all runs, of which the agent will report nothing any more. They may have had their effect.
func (s *Server) handleRunsLost() {
	for _, request := range s.requests.inOrder() {
		if s.requests.contains(request) && request.running() {
			s.stats.RunsInterrupted++
			s.completeRun(request, admission.OutcomeFailed, nil)
		}
	}
}

// handleCommandRejected ends a run that the agent would not begin. Other commands are rejected for runs that have
// ended, whose outcome is on its way.
func (s *Server) handleCommandRejected(notification agent.Notification) {
	s.stats.CommandsRejected++
	s.warnings.WarnFields("agent "+notification.Result, "agent rejected a command", nil, logrus.Fields{
		"command":    notification.Result,
		"request_id": notification.RequestID,
	})
	request := s.requests.byAttemptID[notification.RequestID]
	if request != nil && request.running() && notification.Result == launchCommand {
		s.completeRun(request, admission.OutcomeNotStarted, nil)
	}
}
