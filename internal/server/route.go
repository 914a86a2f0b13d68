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

var unknownGauges = decide.Gauges{CoreUse: -1, OnCores: -1, Heap: -1, Links: -1}

func (s *Server) route(a decide.Action) {
	switch a.Kind {
	case decide.Health:
		s.good, s.stored = a.Good, a.Stored
		s.announcer.Set(a.Good)
		return
	case decide.IdleLimit:
		s.watch.limit = a.For
		return
	case decide.Wake:
		s.wake(a.At)
		return
	case decide.Log:
		s.log.Info(a.Text)
		return
	}
	r := s.requests[a.ID]
	if r == nil {
		return // it has ended meanwhile
	}
	switch a.Kind {
	case decide.Run:
		s.run(r)
	case decide.Refuse:
		s.refuse(r, a)
	case decide.Fail:
		s.fail(r)
	case decide.Call:
		s.callStore(r, a.Cap)
	case decide.Skip:
		s.skip(r)
	case decide.Keep:
		s.keys.keep(r)
	case decide.Forget:
		// An entry that no run has goes with its holder; one that a run has stays for its window.
	case decide.Reuse:
		s.reuse(r)
	default:
		// Stop and Advertise need settings that the configuration does not admit.
		s.warn.Warn("action", fmt.Sprintf("action %d can't be carried out", a.Kind), nil)
	}
}

// wake sets a timer, and asks for the gauges in time for it.
func (s *Server) wake(at time.Duration) {
	if ask := at - sampleLead; ask > s.clock.now {
		s.deadlines.Add(ask, s.agent.Sample)
	} else {
		s.agent.Sample()
	}
	s.deadlines.Add(at, func() {
		g := s.gauges
		if s.clock.now-s.gaugesAt > gaugesFresh {
			g = unknownGauges
		}
		s.happened(decide.Event{Kind: decide.Timer, Gauges: g})
	})
}

// sampled notes the gauges, which come in the order of the settings.
func (s *Server) sampled(load []float64) {
	g := unknownGauges
	for i, v := range load[:min(len(load), len(s.cfg.Gauges))] {
		switch s.cfg.Gauges[i] {
		case "core_use":
			g.CoreUse = v
		case "on_cores":
			g.OnCores = v
		case "heap_share":
			g.Heap = v
		case "links":
			g.Links = v
		}
	}
	s.gauges, s.gaugesAt = g, s.clock.now
}
