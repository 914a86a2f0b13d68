package server

import (
	"maps"
	"slices"
	"time"

	"falldeal/admission"
	"falldeal/internal/agent"
)

// Stage four, send: runs go to the agent, and its notices come back.

// run has the agent run r. A keyed request whose run is on record is never run again, whatever the
// controller believes.
func (s *Server) run(r *request) {
	if !s.keys.mayRun(r) {
		s.warn.Warn("second run", "second run of a keyed request prevented", nil)
		s.happened(admission.Event{Kind: admission.EventDone, ID: r.id, Outcome: admission.OutcomeNotStarted})
		s.answer(r, Answer{Kind: Failed})
		s.forget(r)
		return
	}
	s.stats.Runs++
	r.running, r.began = true, s.clock.now
	s.keys.ran(r)
	s.spend(r)
	s.agent.Launch(r.try.ID, r.try.Class, r.try.Body)
	r.try.Body = nil // the link has it for as long as it is needed
}

// skip lets a run go on without the call that it waits for.
func (s *Server) skip(r *request) {
	s.stats.Skips++
	s.missedCall()
	s.agent.SkipCall(r.try.ID, r.offset)
}

// agentNotice takes in what the agent tells.
func (s *Server) agentNotice(n agent.Notification) {
	switch n.Kind {
	case agent.Handshake:
		s.greeted(n)
	case agent.Gauges:
		s.sampled(n.Load)
	case agent.DeepCheckDone:
		s.exercised(n.Token, n.Result == agent.Success)
	case agent.CallRequest:
		s.wantsCall(n)
	case agent.Outcome:
		s.runEnded(n)
	case agent.CommandRejected:
		s.commandRefused(n)
	}
}

// bootCheck is how often the link to an agent that has not greeted is looked at.
const bootCheck = time.Second

// awaitAgent sees to it that a link which leads nowhere is replaced though nothing is asked on it yet.
func (s *Server) awaitAgent() {
	if s.ctl == nil {
		s.agent.Check()
		s.deadlines.Add(s.clock.now+bootCheck, s.awaitAgent)
	}
}

// greeted starts the controller: the agent is up, and its age tells whether it is warm. A greeting on
// a later link changes nothing, since agent and image server live and die together.
func (s *Server) greeted(n agent.Notification) {
	if s.ctl != nil {
		return
	}
	set := s.cfg.Settings
	set.WarmingUp = n.Result == agent.Booting
	ctl, err := admission.New(set, s.cfg.Seed, s.clock.now-n.Elapsed)
	if err != nil {
		// The configuration was checked, so the check lacks something. Without decisions nothing is served.
		s.log.WithError(err).Error("no controller for these settings")
		return
	}
	s.log.WithFields(map[string]any{"state": n.Result, "age": n.Elapsed.String()}).Info("agent is up")
	s.ctl = ctl
	s.serveOnceReady()
	if s.member != nil && set.WarmingUp {
		s.member.warmAt = s.clock.now - n.Elapsed + set.SlowStartTime
	}
	s.tellFleet()
	s.happened(admission.Event{Kind: admission.EventTimer, Gauges: unknownGauges}) // the first step
	if s.withdrawn {
		s.tellWithdrawn()
	}
	if s.drain.on {
		s.happenedNotice()
	}
}

// runsLost ends the runs in hand, of which the agent will not tell any more. They may have had their effect.
func (s *Server) runsLost() {
	for _, id := range slices.Sorted(maps.Keys(s.requests)) {
		if r := s.requests[id]; r != nil && r.running {
			s.stats.RunsInterrupted++
			s.finish(r, admission.OutcomeFailed, nil)
		}
	}
}

// commandRefused ends a run that the agent would not begin. Other refusals are about runs that have
// ended, whose outcome is on its way.
func (s *Server) commandRefused(n agent.Notification) {
	s.stats.CommandsRejected++
	s.warn.Warn("agent "+n.Result, "agent did not carry out a command for "+n.RequestID, nil)
	if r := s.byWire[n.RequestID]; r != nil && r.running && n.Result == "launch" {
		s.finish(r, admission.OutcomeNotStarted, nil)
	}
}
