package server

import (
	"time"

	"falldeal/internal/overload"
	"falldeal/internal/store"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
)

// Coordinated probes: the members of a fleet take turns in probing a store that does not respond. Package overload decides
// whose turn it is. This file applies the result as the number of protected calls of the controller's circuit breaker
// (overload.CallAllowance.ProtectedCalls).

// coordinationInterval is the interval between updates of the allowance.
const coordinationInterval = 250 * time.Millisecond

// storeProbes is the probing of the store by a fleet member. The loop owns it.
type storeProbes struct {
	*overload.ProbeCoordinator
	allowance overload.CallAllowance // allowance that the controller was given
}

// EnableCoordinatedProbes makes the members take turns in probing a store that does not respond. run identifies this
// process in the fleet, and zone is its zone. It must be called after JoinFleet and before Run.
func (s *Server) EnableCoordinatedProbes(run uint64, zone string) {
	s.member.probes = &storeProbes{ProbeCoordinator: overload.NewProbeCoordinator(run, zone)}
}

// probes returns the coordinated probes of this member, or nil if they are off.
func (s *Server) probes() *storeProbes {
	if s.member == nil {
		return nil
	}
	return s.member.probes
}

// recordCallResult records how a call to the store ended.
func (s *Server) recordCallResult(reply store.Result) {
	if probes := s.probes(); probes != nil && reply != store.NotStarted {
		probes.RecordCall(reply == store.OK)
	}
}

// tickProbes updates the allowance, and schedules the next update.
func (s *Server) tickProbes() {
	probes := s.probes()
	if probes == nil {
		return
	}
	before := probes.State()
	now := s.member.fleet.Now()
	storeHash := uint32(xxhash.Sum64String(s.config.Store))
	allowance := probes.Tick(s.clock.now, storeHash, s.member.fleet.Snapshot(), now)
	if s.admission.started() && allowance != probes.allowance {
		probes.allowance = allowance
		s.admission.controller.SetProtectedCalls(allowance.ProtectedCalls())
		s.limitCalls()
	}
	if after := probes.State(); after != before {
		s.recordChange(storeStateLevel(after), StateChange{
			Name:   "store state",
			From:   storeStateName(before),
			To:     storeStateName(after),
			Fields: logrus.Fields{"unhealthy_members": probes.UnhealthyMembers()},
		})
		s.publishStatus()
	}
	s.deadlines.Add(s.clock.now+coordinationInterval, s.tickProbes)
}

// storeStateLevel returns the log level for a change to a state: a warning for a store that does not respond.
func storeStateLevel(state overload.StoreState) logrus.Level {
	if state == overload.StoreUnresponsive {
		return logrus.WarnLevel
	}
	return logrus.InfoLevel
}

// storeStateName returns the name of a state in log lines. The usual state has no name.
func storeStateName(state overload.StoreState) string {
	if state == overload.StoreHealthy {
		return ""
	}
	return state.String()
}
