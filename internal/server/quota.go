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

// quotaInterval is how often the exchange takes a turn, and for how long ahead a bound has to hold.
const quotaInterval = 250 * time.Millisecond

// minCallLimit stands for no call at all: 0 would mean no bound.
const minCallLimit = 0.001

type quotaLeasing struct {
	*overload.QuotaManager
	reservedFraction float64        // part of the own share that is never lent
	limit            overload.Quota // that it may have in hand; -1 = not known
}

// EnableQuotaLeasing has the server's share of the store move within its fleet, where its settings give it one. It is called after
// Join and before Run. Self is this process as the fleet knows it; lease is how long a share is lent for, and keep the
// part of the own that never is.
func (s *Server) EnableQuotaLeasing(self overload.ProcessID, lease time.Duration, keep float64) {
	base := overload.QuotaOf(s.config.Settings.MaxCallsInFlight)
	if base == 0 {
		return
	}
	e := overload.NewQuotaLedger(s.member.fleet.Now(), self, overload.Terms{Base: base, Reserved: overload.Quota(keep * float64(base)),
		Lease: lease, CallTime: s.maxTimeout + s.config.Settings.AbandonedCallTime, AbandonedCallTime: s.config.Settings.AbandonedCallTime})
	r := rand.New(rand.NewPCG(s.config.Seed, self.Run))
	s.member.quota = &quotaLeasing{QuotaManager: overload.NewQuotaManager(e, r.IntN), reservedFraction: keep, limit: -1}
}

// tickQuota takes a turn of the exchange, now and again from now on.
func (s *Server) tickQuota() {
	if s.member == nil || s.member.quota == nil {
		return
	}
	m := s.member
	now := m.fleet.Now()
	for _, x := range m.quota.Tick(now, s.store.InFlight(), m.fleet.Snapshot(), now) {
		s.sendQuotaMessage(x)
	}
	s.applyQuota(now)
	s.deadlines.Add(s.clock.now+quotaInterval, s.tickQuota)
}

func (s *Server) receiveQuotaMessage(x overload.Message) {
	m := s.member
	now := m.fleet.Now()
	answer, ok := m.quota.Receive(now, x, s.store.InFlight())
	s.applyQuota(now) // what was lent is not used any more before the answer goes out
	if ok {
		s.sendQuotaMessage(answer)
	}
}

func (s *Server) sendQuotaMessage(x overload.Message) {
	if to := s.member.fleet.Snapshot().Find(x.To.Name); to != nil && to.Run == x.To.Run {
		s.member.fleet.Send(to, overload.AppendMessage(nil, x))
	}
}

// applyQuota has the controller hold to what the member may have in hand until the next turn.
func (s *Server) applyQuota(now time.Duration) {
	quota := s.member.quota
	bound := quota.LimitUntil(now, now+2*quotaInterval)
	if bound == quota.limit || s.controller == nil {
		return
	}
	if quota.limit >= 0 {
		base := overload.QuotaOf(s.config.Settings.MaxCallsInFlight)
		s.logChange(logrus.DebugLevel, "share of the store", quotaName(quota.limit, base), quotaName(bound, base), nil)
	}
	quota.limit = bound
	s.limitCalls()
}

// quotaName is a bound as changes tell it: that of the settings has no name.
func quotaName(bound, base overload.Quota) string {
	if bound == base {
		return ""
	}
	return strconv.FormatFloat(bound.Calls(), 'g', 4, 64)
}

// limitCalls puts in force how many calls this server may have in hand in the mean: the share of its settings, what of
// it moves, and one at a time while it tries a store for others.
func (s *Server) limitCalls() {
	set, member := s.config.Settings, s.member
	if set.MaxCallsInFlight == 0 || s.controller == nil {
		return
	}
	if member.quota != nil && member.quota.limit >= 0 {
		set.MaxCallsInFlight = max(member.quota.limit.Calls(), minCallLimit)
	}
	if member.probes != nil && member.probes.allowance == overload.ProbeSingle {
		set.MaxCallsInFlight = min(set.MaxCallsInFlight, 1)
	}
	if err := s.controller.Reconfigure(set); err != nil {
		s.warnings.Warn("share", "a bound on calls was not taken over", err)
	}
}

// rebaseQuota goes by the share of new settings.
func (s *Server) rebaseQuota() {
	if s.member == nil {
		return
	}
	quota := s.member.quota
	if quota == nil {
		s.limitCalls()
		return
	}
	base := overload.QuotaOf(s.config.Settings.MaxCallsInFlight)
	quota.SetBase(base, overload.Quota(quota.reservedFraction*float64(base)))
	quota.limit = -1
	s.applyQuota(s.member.fleet.Now())
}

// recordMissedCall notes that a call was left out, or a request turned away, for want of a share.
func (s *Server) recordMissedCall() {
	if s.member != nil && s.member.quota != nil {
		s.member.quota.CallMissed()
	}
}
