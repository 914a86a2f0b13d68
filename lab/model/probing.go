package model

import (
	"falldeal/internal/fleet"
	"falldeal/internal/overload"
)

// modelStoreID stands for the store in the coordination of probes: all zones use the same one.
const modelStoreID = 7

func (s *server) startProbes() {
	s.callAllowance = overload.AllowUnlimited
	if !s.sim.opts.CoordinatedProbes {
		return
	}
	s.probes = overload.NewProbeCoordinator(s.processRun(), zoneName(s.zone))
	s.every(coordinationInterval, s.updateProbes)
}

// updateProbes applies the allowance of the probe coordinator, and publishes a change of the store's state.
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
		panic(err) // the settings are this package's own
	}
}
