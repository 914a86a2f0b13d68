package server

import (
	"math/rand/v2"
	"strconv"
	"time"

	"falldeal/internal/overload"

	"github.com/sirupsen/logrus"
)

// Quota leasing: members of a fleet lease unused quota of calls in flight at the store to each other. Package overload
// decides what is leased; here its result becomes the limit that the controller keeps to.

const (
	// quotaInterval is how often leases are updated. A limit is computed to hold for two intervals.
	quotaInterval = 250 * time.Millisecond
	// minCallLimit is the limit for a quota of nothing: the controller treats 0 as no limit, so that a quota of nothing is
	// this instead.
	minCallLimit = 0.001
	// unknownQuota is the limit before the first tick.
	unknownQuota overload.Quota = -1
)

// quotaLeasing is the part of a fleet member that leases quota. The loop owns it.
type quotaLeasing struct {
	*overload.QuotaManager
	reservedRatio float64        // part of the own quota that is never leased out
	limit         overload.Quota // on calls in flight, as the controller knows it
}

// known reports whether the controller has been given a limit.
func (q *quotaLeasing) known() bool { return q.limit >= 0 }

// EnableQuotaLeasing makes the server lease its quota at the store within its fleet, where its settings give it one. self is
// this process as the fleet knows it, lease how long quota is leased for, and reservedRatio the part of the own
// quota that never is. It is called after JoinFleet and before Run.
func (s *Server) EnableQuotaLeasing(self overload.ProcessID, lease time.Duration, reservedRatio float64) {
	settings := s.config.Settings
	base := overload.QuotaOf(settings.MaxCallsInFlight)
	if base == 0 {
		return
	}
	ledger := overload.NewQuotaLedger(s.member.fleet.Now(), self, overload.LeaseTerms{
		Base:              base,
		Reserved:          overload.Quota(reservedRatio * float64(base)),
		Lease:             lease,
		CallTime:          s.config.maxTimeout + settings.AbandonedCallTime,
		AbandonedCallTime: settings.AbandonedCallTime,
	})
	random := rand.New(rand.NewPCG(s.config.Seed, self.Run))
	s.member.quota = &quotaLeasing{
		QuotaManager:  overload.NewQuotaManager(ledger, random.IntN),
		reservedRatio: reservedRatio,
		limit:         unknownQuota,
	}
}

// quota returns the quota leasing of the fleet, or nil where it is off.
func (s *Server) quota() *quotaLeasing {
	if s.member == nil {
		return nil
	}
	return s.member.quota
}

// tickQuota updates the leases now, and each interval from now on.
func (s *Server) tickQuota() {
	quota := s.quota()
	if quota == nil {
		return
	}
	now := s.member.fleet.Now()
	for _, message := range quota.Tick(now, s.store.InFlight(), s.member.fleet.Snapshot(), now) {
		s.sendQuotaMessage(message)
	}
	s.applyQuota(now)
	s.deadlines.Add(s.clock.now+quotaInterval, s.tickQuota)
}

// quotaMessageReceived is a message of another member about a lease.
type quotaMessageReceived struct {
	message overload.Message
}

func (e *quotaMessageReceived) handle(server *Server) {
	now := server.member.fleet.Now()
	reply, ok := server.member.quota.Receive(now, e.message, server.store.InFlight())
	server.applyQuota(now) // what is leased out must not be used any more when the reply goes out
	if ok {
		server.sendQuotaMessage(reply)
	}
}

func (s *Server) sendQuotaMessage(message overload.Message) {
	if to := findProcess(s.member.fleet.Snapshot(), message.To); to != nil {
		s.member.fleet.Send(to, overload.AppendMessage(nil, message))
	}
}

// applyQuota limits the controller to the quota that this member has until the next tick.
func (s *Server) applyQuota(now time.Duration) {
	quota := s.member.quota
	limit := quota.LimitUntil(now, now+2*quotaInterval)
	if limit == quota.limit || !s.admission.started() {
		return
	}
	if quota.known() {
		s.recordQuotaChange(quota.limit, limit, overload.QuotaOf(s.config.Settings.MaxCallsInFlight))
	}
	quota.limit = limit
	s.limitCalls()
}

// recordQuotaChange records that the limit has changed, where base is that of the settings.
func (s *Server) recordQuotaChange(from, to, base overload.Quota) {
	s.recordChange(quotaChangeLevel(from, to, base), StateChange{
		Name:      "store quota",
		From:      quotaName(from, base),
		To:        quotaName(to, base),
		LogFields: logrus.Fields{"base": base.Calls()},
	})
}

// quotaChangeLevel is the level of the line of a change: Info when the limit falls below the quota of the settings, or is
// no longer below it, and Debug for all changes on one side of it, which are frequent.
func quotaChangeLevel(from, to, base overload.Quota) logrus.Level {
	if (from < base) != (to < base) {
		return logrus.InfoLevel
	}
	return logrus.DebugLevel
}

// quotaName is a limit as changes are logged: that of the settings has no name.
func quotaName(limit, base overload.Quota) string {
	if limit == base {
		return ""
	}
	return strconv.FormatFloat(limit.Calls(), 'g', 4, 64)
}

// callLimit returns the limit on calls in flight: that of the settings, or of the leases where they have one, and 1 at
// most while this member probes a store for the others.
func (s *Server) callLimit() float64 {
	limit := s.config.Settings.MaxCallsInFlight
	if quota := s.quota(); quota != nil && quota.known() {
		limit = max(quota.limit.Calls(), minCallLimit)
	}
	if probes := s.probes(); probes != nil && probes.allowance == overload.AllowSingle {
		limit = min(limit, 1)
	}
	return limit
}

// limitCalls gives the controller its limit on calls in flight, unless the settings have none.
func (s *Server) limitCalls() {
	settings := s.config.Settings
	if settings.MaxCallsInFlight == 0 || !s.admission.started() {
		return
	}
	settings.MaxCallsInFlight = s.callLimit()
	if err := s.admission.controller.Reconfigure(settings); err != nil {
		s.warnings.Warn("call limit", "call limit rejected by the admission controller", err)
	}
}

// rebaseQuota applies the quota of new settings.
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
	quota.SetBase(base, overload.Quota(quota.reservedRatio*float64(base)))
	quota.limit = unknownQuota
	s.applyQuota(s.member.fleet.Now())
}

// recordMissedCall records that a call was skipped, or a request rejected, for want of quota.
func (s *Server) recordMissedCall() {
	if quota := s.quota(); quota != nil {
		quota.CallMissed()
	}
}
