package model

import (
	"falldeal/internal/fleet"
	"falldeal/internal/overload"
)

// modelStoreID is the store ID that all servers pass to the probe coordinator. Coordination groups servers by zone as well, so
// that each zone still has a store of its own.
const modelStoreID = 7

// startProbes starts the coordination of probes for a new process, if the options ask for it. Until the coordinator limits
// them, calls are unlimited.
func (s *server) startProbes() {
	s.callAllowance = overload.AllowUnlimited
	if !s.sim.opts.CoordinatedProbes {
		return
	}
	s.probes = overload.NewProbeCoordinator(s.processRun(), zoneName(s.zone))
	s.every(coordinationInterval, s.updateProbes)
}

// updateProbes applies the call allowance that the probe coordinator decides on, and publishes a change of the store's state.
func (s *server) updateProbes() {
	stateBefore := s.probes.State()
	var allowance overload.CallAllowance
	s.withSnapshot(func(snapshot *fleet.Snapshot) {
		allowance = s.probes.Tick(s.sim.now, modelStoreID, snapshot, s.sim.now)
	})
	s.setCallAllowance(allowance)
	if s.probes.State() != stateBefore {
		s.publish()
	}
}

// setCallAllowance configures the controller for a call allowance, if that has changed.
func (s *server) setCallAllowance(allowance overload.CallAllowance) {
	if allowance == s.callAllowance {
		return
	}
	s.callAllowance = allowance
	s.controller.SetProtectedCalls(allowance.ProtectedCalls())
	settings := s.sim.settings
	if allowance == overload.AllowSingle {
		settings.MaxCallsInFlight = min(settings.MaxCallsInFlight, 1)
	}
	if err := s.controller.Reconfigure(settings); err != nil {
		panic(err) // unreachable: admissionSettings returns valid settings
	}
}
