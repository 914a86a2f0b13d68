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

const probeEvery = 250 * time.Millisecond // between two looks at whose turn it is

type probes struct {
	*overload.ProbeCoordinator
	leak overload.ProbeAllowance // in force at the controller
}

// protects is how many calls a window the breaker never drops.
var protects = [...]float64{overload.ProbeUnlimited: admission.BreakerProtectedCalls, overload.ProbeCautious: 0, overload.ProbeSingle: 1, overload.ProbeNone: -1}

// EnableCoordinatedProbes has a store that does not answer tried by turns within the fleet. Run is this process as the fleet knows
// it. It is called after Join and before Run.
func (s *Server) EnableCoordinatedProbes(run uint64, zone string) {
	s.member.probes = &probes{ProbeCoordinator: overload.NewProbeCoordinator(run, zone)}
}

// probed notes how a call ended.
func (s *Server) probed(reply store.Reply) {
	if s.member != nil && s.member.probes != nil && reply != store.Void {
		s.member.probes.CallEnded(reply == store.OK)
	}
}

// keepProbing looks whose turn it is, now and again from now on.
func (s *Server) keepProbing() {
	if s.member == nil || s.member.probes == nil {
		return
	}
	m := s.member.probes
	was, at := m.State(), s.member.fleet.Now()
	leak := m.Tick(s.clock.now, uint32(xxhash.Sum64String(s.cfg.Store)), s.member.fleet.Snapshot(), at)
	if s.ctl != nil && leak != m.leak {
		m.leak = leak
		s.ctl.SetProtectedCalls(protects[leak])
		s.boundCalls()
	}
	if now := m.State(); now != was {
		s.changed(logrus.InfoLevel, "store, as this member finds it", storeName(was), storeName(now), logrus.Fields{"agree": m.UnhealthyMembers()})
		s.tellFleet()
	}
	s.deadlines.Add(s.clock.now+probeEvery, s.keepProbing)
}

// storeName is a state as changes tell it: the usual one has no name.
func storeName(st overload.StoreState) string {
	if st == overload.StoreHealthy {
		return ""
	}
	return st.String()
}
