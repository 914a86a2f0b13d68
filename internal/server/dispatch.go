package server

import (
	"fmt"
	"time"

	"falldeal/admission"
)

// Stage three, route: each action of the controller goes to the part that carries it out.

const (
	gaugeLeadTime = 4 * time.Millisecond // the gauges are asked for this long before a timer
	gaugeMaxAge   = time.Second          // gauges older than that are unknown
)

var unknownGauges = admission.Gauges{CPUUtilization: -1, CPUDemand: -1, MemoryUtilization: -1, Connections: -1}

func (s *Server) dispatch(action admission.Action) {
	switch action.Kind {
	case admission.ActionHealth:
		s.healthy, s.healthCached = action.Healthy, action.Cached
		s.announcer.Set(action.Healthy)
		return
	case admission.ActionIdleTimeout:
		s.idleTimer.timeout = action.Duration
		return
	case admission.ActionWake:
		s.scheduleWake(action.At)
		return
	case admission.ActionLog:
		s.log.Info(action.Text)
		return
	}
	request := s.requests[action.ID]
	if request == nil {
		return // it has ended meanwhile
	}
	switch action.Kind {
	case admission.ActionRun:
		s.startRun(request)
	case admission.ActionReject:
		s.reject(request, action)
	case admission.ActionFail:
		s.fail(request)
	case admission.ActionCall:
		s.callStore(request, action.Timeout)
	case admission.ActionSkipCall:
		s.skipCall(request)
	case admission.ActionRemember:
		s.idempotency.retain(request)
	case admission.ActionForget:
		// An entry that no run has goes with its holder; one that a run has stays for its window.
	case admission.ActionReuse:
		s.reuseResult(request)
	default:
		// Stop and Advertise need settings that the configuration does not admit.
		s.warnings.Warn("action", fmt.Sprintf("action %d can't be carried out", action.Kind), nil)
	}
}

// scheduleWake sets a timer, and asks for the gauges in time for it.
func (s *Server) scheduleWake(at time.Duration) {
	if ask := at - gaugeLeadTime; ask > s.clock.now {
		s.deadlines.Add(ask, s.agent.SampleGauges)
	} else {
		s.agent.SampleGauges()
	}
	s.deadlines.Add(at, func() {
		g := s.gauges
		if s.clock.now-s.gaugesAt > gaugeMaxAge {
			g = unknownGauges
		}
		s.enqueueEvent(admission.Event{Kind: admission.EventTimer, Gauges: g})
	})
}

// recordGauges notes the gauges, which come in the order of the settings.
func (s *Server) recordGauges(load []float64) {
	gauges := unknownGauges
	for i, value := range load[:min(len(load), len(s.config.Gauges))] {
		switch s.config.Gauges[i] {
		case "core_use":
			gauges.CPUUtilization = value
		case "on_cores":
			gauges.CPUDemand = value
		case "heap_share":
			gauges.MemoryUtilization = value
		case "links":
			gauges.Connections = value
		}
	}
	s.gauges, s.gaugesAt = gauges, s.clock.now
}
