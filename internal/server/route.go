package server

import (
	"fmt"
	"time"

	"falldeal/decide"
)

// Stage three, route: each action of the controller goes to the part that carries it out.

const (
	sampleLead  = 4 * time.Millisecond // the gauges are asked for this long before a timer
	gaugesFresh = time.Second          // gauges older than that are unknown
)

var unknownGauges = decide.Gauges{CPUUtilization: -1, CPUDemand: -1, MemoryUtilization: -1, Connections: -1}

func (s *Server) route(a decide.Action) {
	switch a.Kind {
	case decide.ActionHealth:
		s.good, s.stored = a.Healthy, a.Cached
		s.announcer.Set(a.Healthy)
		return
	case decide.ActionIdleTimeout:
		s.watch.limit = a.Duration
		return
	case decide.ActionWake:
		s.wake(a.At)
		return
	case decide.ActionLog:
		s.log.Info(a.Text)
		return
	}
	r := s.requests[a.ID]
	if r == nil {
		return // it has ended meanwhile
	}
	switch a.Kind {
	case decide.ActionRun:
		s.run(r)
	case decide.ActionReject:
		s.refuse(r, a)
	case decide.ActionFail:
		s.fail(r)
	case decide.ActionCall:
		s.callStore(r, a.Timeout)
	case decide.ActionSkipCall:
		s.skip(r)
	case decide.ActionRemember:
		s.keys.keep(r)
	case decide.ActionForget:
		// An entry that no run has goes with its holder; one that a run has stays for its window.
	case decide.ActionReuse:
		s.reuse(r)
	default:
		// Stop and Advertise need settings that the configuration does not admit.
		s.warn.Warn("action", fmt.Sprintf("action %d can't be carried out", a.Kind), nil)
	}
}

// wake sets a timer, and asks for the gauges in time for it.
func (s *Server) wake(at time.Duration) {
	if ask := at - sampleLead; ask > s.clock.now {
		s.deadlines.Add(ask, s.agent.SampleGauges)
	} else {
		s.agent.SampleGauges()
	}
	s.deadlines.Add(at, func() {
		g := s.gauges
		if s.clock.now-s.gaugesAt > gaugesFresh {
			g = unknownGauges
		}
		s.happened(decide.Event{Kind: decide.EventTimer, Gauges: g})
	})
}

// sampled notes the gauges, which come in the order of the settings.
func (s *Server) sampled(load []float64) {
	g := unknownGauges
	for i, v := range load[:min(len(load), len(s.cfg.Gauges))] {
		switch s.cfg.Gauges[i] {
		case "core_use":
			g.CPUUtilization = v
		case "on_cores":
			g.CPUDemand = v
		case "heap_share":
			g.MemoryUtilization = v
		case "links":
			g.Connections = v
		}
	}
	s.gauges, s.gaugesAt = g, s.clock.now
}
