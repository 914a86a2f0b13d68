package server

import (
	"time"

	"falldeal/admission"
	"falldeal/internal/overload"
	"falldeal/internal/store"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
)

// Probes in common: who tries a store that does not answer is decided in package overload; here its word becomes what
// the controller's breaker lets through.

const probeInterval = 250 * time.Millisecond // between two looks at whose turn it is

type storeProbes struct {
	*overload.ProbeCoordinator
	allowance overload.ProbeAllowance // in force at the controller
}

// protectedCalls is how many calls a window the breaker never drops.
var protectedCalls = [...]float64{overload.ProbeUnlimited: admission.BreakerProtectedCalls, overload.ProbeCautious: 0, overload.ProbeSingle: 1, overload.ProbeNone: -1}

// EnableCoordinatedProbes has a store that does not answer tried by turns within the fleet. Run is this process as the fleet knows
// it. It is called after Join and before Run.
func (s *Server) EnableCoordinatedProbes(run uint64, zone string) {
	s.member.probes = &storeProbes{ProbeCoordinator: overload.NewProbeCoordinator(run, zone)}
}

// recordCallResult notes how a call ended.
func (s *Server) recordCallResult(reply store.Reply) {
	if s.member != nil && s.member.probes != nil && reply != store.Void {
		s.member.probes.CallEnded(reply == store.OK)
	}
}

// tickProbes looks whose turn it is, now and again from now on.
func (s *Server) tickProbes() {
	if s.member == nil || s.member.probes == nil {
		return
	}
	probes := s.member.probes
	was, at := probes.State(), s.member.fleet.Now()
	leak := probes.Tick(s.clock.now, uint32(xxhash.Sum64String(s.config.Store)), s.member.fleet.Snapshot(), at)
	if s.controller != nil && leak != probes.allowance {
		probes.allowance = leak
		s.controller.SetProtectedCalls(protectedCalls[leak])
		s.limitCalls()
	}
	if now := probes.State(); now != was {
		s.logChange(logrus.InfoLevel, "store, as this member finds it", storeStateName(was), storeStateName(now), logrus.Fields{"agree": probes.UnhealthyMembers()})
		s.publishStatus()
	}
	s.deadlines.Add(s.clock.now+probeInterval, s.tickProbes)
}

// storeStateName is a state as changes tell it: the usual one has no name.
func storeStateName(st overload.StoreState) string {
	if st == overload.StoreHealthy {
		return ""
	}
	return st.String()
}
