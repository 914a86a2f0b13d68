package server

import (
	"fmt"
	"time"

	"falldeal/admission"
)

// Stage three, route: each action of the controller goes to the part that carries it out.

const (
	sampleLead  = 4 * time.Millisecond // the gauges are asked for this long before a timer
	gaugesFresh = time.Second          // gauges older than that are unknown
)

var unknownGauges = admission.Gauges{CPUUtilization: -1, CPUDemand: -1, MemoryUtilization: -1, Connections: -1}

func (s *Server) route(a admission.Action) {
	switch a.Kind {
	case admission.ActionHealth:
		s.good, s.stored = a.Healthy, a.Cached
		s.announcer.Set(a.Healthy)
		return
	case admission.ActionIdleTimeout:
		s.watch.limit = a.Duration
		return
	case admission.ActionWake:
		s.wake(a.At)
		return
	case admission.ActionLog:
		s.log.Info(a.Text)
		return
	}
	r := s.requests[a.ID]
	if r == nil {
		return // it has ended meanwhile
	}
	switch a.Kind {
	case admission.ActionRun:
		s.run(r)
	case admission.ActionReject:
		s.refuse(r, a)
	case admission.ActionFail:
		s.fail(r)
	case admission.ActionCall:
		s.callStore(r, a.Timeout)
	case admission.ActionSkipCall:
		s.skip(r)
	case admission.ActionRemember:
		s.keys.keep(r)
	case admission.ActionForget:
		// An entry that no run has goes with its holder; one that a run has stays for its window.
	case admission.ActionReuse:
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
		s.happened(admission.Event{Kind: admission.EventTimer, Gauges: g})
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
