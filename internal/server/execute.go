package server

import (
	"maps"
	"slices"
	"time"

	"falldeal/admission"
	"falldeal/internal/agent"
)

// Stage four, send: runs go to the agent, and its notices come back.

// startRun has the agent run r. A keyed request whose run is on record is never run again, whatever the
// controller believes.
func (s *Server) startRun(request *activeRequest) {
	if !s.idempotency.mayRun(request) {
		s.warnings.Warn("second run", "second run of a keyed request prevented", nil)
		s.enqueueEvent(admission.Event{Kind: admission.EventDone, ID: request.id, Outcome: admission.OutcomeNotStarted})
		s.answer(request, Answer{Kind: Failed})
		s.removeRequest(request)
		return
	}
	s.stats.Runs++
	request.running, request.startedAt = true, s.clock.now
	s.idempotency.markRunning(request)
	s.markCompleted(request)
	s.agent.Launch(request.attempt.ID, request.attempt.Class, request.attempt.Body)
	request.attempt.Body = nil // the link has it for as long as it is needed
}

// skipCall lets a run go on without the call that it waits for.
func (s *Server) skipCall(r *activeRequest) {
	s.stats.Skips++
	s.recordMissedCall()
	s.agent.SkipCall(r.attempt.ID, r.callOffset)
}

// handleAgentNotification takes in what the agent tells.
func (s *Server) handleAgentNotification(notification agent.Notification) {
	switch notification.Kind {
	case agent.Handshake:
		s.handleHandshake(notification)
	case agent.Gauges:
		s.recordGauges(notification.Load)
	case agent.DeepCheckDone:
		s.completeDeepCheck(notification.Token, notification.Result == agent.Success)
	case agent.CallRequest:
		s.handleCallRequest(notification)
	case agent.Outcome:
		s.handleOutcome(notification)
	case agent.CommandRejected:
		s.handleCommandRejected(notification)
	}
}

// agentCheckInterval is how often the link to an agent that has not greeted is looked at.
const agentCheckInterval = time.Second

// checkAgentUntilUp sees to it that a link which leads nowhere is replaced though nothing is asked on it yet.
func (s *Server) checkAgentUntilUp() {
	if s.controller == nil {
		s.agent.Check()
		s.deadlines.Add(s.clock.now+agentCheckInterval, s.checkAgentUntilUp)
	}
}

// handleHandshake starts the controller: the agent is up, and its age tells whether it is warm. A greeting on
// a later link changes nothing, since agent and image server live and die together.
func (s *Server) handleHandshake(notification agent.Notification) {
	if s.controller != nil {
		return
	}
	set := s.config.Settings
	set.WarmingUp = notification.Result == agent.Booting
	ctl, err := admission.New(set, s.config.Seed, s.clock.now-notification.Elapsed)
	if err != nil {
		// The configuration was checked, so the check lacks something. Without decisions nothing is served.
		s.log.WithError(err).Error("no controller for these settings")
		return
	}
	s.log.WithFields(map[string]any{"state": notification.Result, "age": notification.Elapsed.String()}).Info("agent is up")
	s.controller = ctl
	s.openFrontsWhenReady()
	if s.member != nil && set.WarmingUp {
		s.member.warmAt = s.clock.now - notification.Elapsed + set.SlowStartTime
	}
	s.publishStatus()
	s.enqueueEvent(admission.Event{Kind: admission.EventTimer, Gauges: unknownGauges}) // the first step
	if s.deregistered {
		s.enqueueRegistration()
	}
	if s.drain.started {
		s.enqueueDrainEvent()
	}
}

// handleRunsLost ends the runs in hand, of which the agent will not tell any more. They may have had their effect.
func (s *Server) handleRunsLost() {
	for _, id := range slices.Sorted(maps.Keys(s.requests)) {
		if r := s.requests[id]; r != nil && r.running {
			s.stats.RunsInterrupted++
			s.completeRun(r, admission.OutcomeFailed, nil)
		}
	}
}

// handleCommandRejected ends a run that the agent would not begin. Other refusals are about runs that have
// ended, whose outcome is on its way.
func (s *Server) handleCommandRejected(n agent.Notification) {
	s.stats.CommandsRejected++
	s.warnings.Warn("agent "+n.Result, "agent did not carry out a command for "+n.RequestID, nil)
	if r := s.requestsByID[n.RequestID]; r != nil && r.running && n.Result == "launch" {
		s.completeRun(r, admission.OutcomeNotStarted, nil)
	}
}
