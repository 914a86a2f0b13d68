package server

import (
	"time"

	"falldeal/internal/overload"
	"falldeal/internal/store"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
)

// Coordinated probes: the members of a fleet take turns to try a store that does not answer. Package overload decides
// whose turn it is; here its allowance becomes what the controller's breaker lets through.

// probeInterval is how often the turns are looked at.
const probeInterval = 250 * time.Millisecond

// storeProbes is the part of a fleet member that probes the store. The loop owns it.
type storeProbes struct {
	*overload.ProbeCoordinator
	allowance overload.ProbeAllowance // in force at the controller
}

// EnableCoordinatedProbes has a store that does not answer tried by turns within the fleet. run is this process as the
// fleet knows it. It is called after JoinFleet and before Run.
func (s *Server) EnableCoordinatedProbes(run uint64, zone string) {
	s.member.probes = &storeProbes{ProbeCoordinator: overload.NewProbeCoordinator(run, zone)}
}

// probes returns the coordinated probes of the fleet, or nil where they are off.
func (s *Server) probes() *storeProbes {
	if s.member == nil {
		return nil
	}
	return s.member.probes
}

// recordCallResult records how a call ended.
func (s *Server) recordCallResult(reply store.Result) {
	if probes := s.probes(); probes != nil && reply != store.NotStarted {
		probes.CallEnded(reply == store.OK)
	}
}

// tickProbes looks whose turn it is now, and each interval from now on.
func (s *Server) tickProbes() {
	probes := s.probes()
	if probes == nil {
		return
	}
	before, now := probes.State(), s.member.fleet.Now()
	storeHash := uint32(xxhash.Sum64String(s.config.Store))
	allowance := probes.Tick(s.clock.now, storeHash, s.member.fleet.Snapshot(), now)
	if s.admission.started() && allowance != probes.allowance {
		probes.allowance = allowance
		s.admission.controller.SetProtectedCalls(allowance.ProtectedCalls())
		s.limitCalls()
	}
	if after := probes.State(); after != before {
		s.logChange(logrus.InfoLevel, "store, as this member finds it", storeStateName(before), storeStateName(after),
			logrus.Fields{"agree": probes.UnhealthyMembers()})
		s.publishStatus()
	}
	s.deadlines.Add(s.clock.now+probeInterval, s.tickProbes)
}

// storeStateName is a state as changes are logged: the usual one has no name.
func storeStateName(state overload.StoreState) string {
	if state == overload.StoreHealthy {
		return ""
	}
	return state.String()
}
