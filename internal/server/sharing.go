package server

import (
	"math/rand/v2"
	"strconv"
	"time"

	"falldeal/internal/overload"

	"github.com/sirupsen/logrus"
)

// Sharing: the bound on calls in hand at the store moves between the members of a fleet. What is lent and borrowed is
// decided in package overload; here its word becomes the bound that the controller holds to.

// shareEvery is how often the exchange takes a turn, and for how long ahead a bound has to hold.
const shareEvery = 250 * time.Millisecond

// leastBound stands for no call at all: 0 would mean no bound.
const leastBound = 0.001

type sharing struct {
	*overload.QuotaManager
	keep  float64        // part of the own share that is never lent
	bound overload.Quota // that it may have in hand; -1 = not known
}

// EnableQuotaLeasing has the server's share of the store move within its fleet, where its settings give it one. It is called after
// Join and before Run. Self is this process as the fleet knows it; lease is how long a share is lent for, and keep the
// part of the own that never is.
func (s *Server) EnableQuotaLeasing(self overload.ProcessID, lease time.Duration, keep float64) {
	base := overload.QuotaOf(s.cfg.Settings.MaxCallsInFlight)
	if base == 0 {
		return
	}
	e := overload.NewQuotaLedger(s.member.fleet.Now(), self, overload.Terms{Base: base, Reserved: overload.Quota(keep * float64(base)),
		Lease: lease, CallTime: s.mostWait + s.cfg.Settings.AbandonedCallTime, AbandonedCallTime: s.cfg.Settings.AbandonedCallTime})
	r := rand.New(rand.NewPCG(s.cfg.Seed, self.Run))
	s.member.sharing = &sharing{QuotaManager: overload.NewQuotaManager(e, r.IntN), keep: keep, bound: -1}
}

// keepSharing takes a turn of the exchange, now and again from now on.
func (s *Server) keepSharing() {
	if s.member == nil || s.member.sharing == nil {
		return
	}
	m := s.member
	now := m.fleet.Now()
	for _, x := range m.sharing.Tick(now, s.store.InFlight(), m.fleet.Snapshot(), now) {
		s.sayOfShare(x)
	}
	s.holdBound(now)
	s.deadlines.Add(s.clock.now+shareEvery, s.keepSharing)
}

func (s *Server) heardOfShare(x overload.Message) {
	m := s.member
	now := m.fleet.Now()
	answer, ok := m.sharing.Receive(now, x, s.store.InFlight())
	s.holdBound(now) // what was lent is not used any more before the answer goes out
	if ok {
		s.sayOfShare(answer)
	}
}

func (s *Server) sayOfShare(x overload.Message) {
	if to := s.member.fleet.Snapshot().Find(x.To.Name); to != nil && to.Run == x.To.Run {
		s.member.fleet.Send(to, overload.AppendMessage(nil, x))
	}
}

// holdBound has the controller hold to what the member may have in hand until the next turn.
func (s *Server) holdBound(now time.Duration) {
	m := s.member.sharing
	bound := m.LimitUntil(now, now+2*shareEvery)
	if bound == m.bound || s.ctl == nil {
		return
	}
	if m.bound >= 0 {
		base := overload.QuotaOf(s.cfg.Settings.MaxCallsInFlight)
		s.changed(logrus.DebugLevel, "share of the store", shareName(m.bound, base), shareName(bound, base), nil)
	}
	m.bound = bound
	s.boundCalls()
}

// shareName is a bound as changes tell it: that of the settings has no name.
func shareName(bound, base overload.Quota) string {
	if bound == base {
		return ""
	}
	return strconv.FormatFloat(bound.Calls(), 'g', 4, 64)
}

// boundCalls puts in force how many calls this server may have in hand in the mean: the share of its settings, what of
// it moves, and one at a time while it tries a store for others.
func (s *Server) boundCalls() {
	set, m := s.cfg.Settings, s.member
	if set.MaxCallsInFlight == 0 || s.ctl == nil {
		return
	}
	if m.sharing != nil && m.sharing.bound >= 0 {
		set.MaxCallsInFlight = max(m.sharing.bound.Calls(), leastBound)
	}
	if m.probes != nil && m.probes.leak == overload.ProbeSingle {
		set.MaxCallsInFlight = min(set.MaxCallsInFlight, 1)
	}
	if err := s.ctl.Reconfigure(set); err != nil {
		s.warn.Warn("share", "a bound on calls was not taken over", err)
	}
}

// rebaseShare goes by the share of new settings.
func (s *Server) rebaseShare() {
	if s.member == nil {
		return
	}
	m := s.member.sharing
	if m == nil {
		s.boundCalls()
		return
	}
	base := overload.QuotaOf(s.cfg.Settings.MaxCallsInFlight)
	m.SetBase(base, overload.Quota(m.keep*float64(base)))
	m.bound = -1
	s.holdBound(s.member.fleet.Now())
}

// missedCall notes that a call was left out, or a request turned away, for want of a share.
func (s *Server) missedCall() {
	if s.member != nil && s.member.sharing != nil {
		s.member.sharing.CallMissed()
	}
}
