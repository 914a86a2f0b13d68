package server

import (
	"math/rand/v2"
	"strconv"
	"time"

	"falldeal/internal/overload"

	"github.com/sirupsen/logrus"
)

// Quota leasing: members of a fleet lease unused quota of calls in flight at the store to each other. Package overload
// decides what is leased. This file applies the result as the controller's limit on calls in flight.

const (
	// quotaInterval is the interval between updates of the leases. A limit is computed to hold for two intervals.
	quotaInterval = 250 * time.Millisecond
	// minCallLimit replaces a limit of 0, which the controller would treat as no limit.
	minCallLimit = 0.001
	// unknownQuota is the limit before the first update.
	unknownQuota overload.Quota = -1
)

// quotaLeasing is the quota leasing of a fleet member. The loop owns it.
type quotaLeasing struct {
	*overload.QuotaManager
	reservedRatio float64        // fraction of the server's own quota that is never leased out
	limit         overload.Quota // limit on calls in flight that the controller was given
}

// known reports whether the controller has been given a limit.
func (q *quotaLeasing) known() bool { return q.limit >= 0 }

// EnableQuotaLeasing makes the server lease its quota at the store within its fleet, if its settings have such a quota.
// self identifies this process in the fleet, lease is the duration of a lease, and reservedRatio the fraction of the
// server's own quota that is never leased out. It must be called after JoinFleet and before Run.
func (s *Server) EnableQuotaLeasing(self overload.ProcessID, lease time.Duration, reservedRatio float64) {
	settings := s.config.Settings
	base := overload.QuotaFromCalls(settings.MaxCallsInFlight)
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

// quota returns the quota leasing of this member, or nil if it is off.
func (s *Server) quota() *quotaLeasing {
	if s.member == nil {
		return nil
	}
	return s.member.quota
}

// tickQuota updates the leases, and schedules the next update.
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

// quotaMessageReceived is a message from another member about a lease.
type quotaMessageReceived struct {
	message overload.LeaseMessage
}

func (e *quotaMessageReceived) handle(server *Server) {
	now := server.member.fleet.Now()
	reply, ok := server.member.quota.Receive(now, e.message, server.store.InFlight())
	server.applyQuota(now) // quota that is leased out must not be used any more when the reply is sent
	if ok {
		server.sendQuotaMessage(reply)
	}
}

func (s *Server) sendQuotaMessage(message overload.LeaseMessage) {
	if to := findProcess(s.member.fleet.Snapshot(), message.To); to != nil {
		s.member.fleet.Send(to, overload.AppendLeaseMessage(nil, message))
	}
}

// applyQuota limits the controller to the quota that this member has for the next two intervals.
func (s *Server) applyQuota(now time.Duration) {
	quota := s.member.quota
	limit := quota.LimitUntil(now, now+2*quotaInterval)
	if limit == quota.limit || !s.admission.started() {
		return
	}
	if quota.known() {
		s.recordQuotaChange(quota.limit, limit, overload.QuotaFromCalls(s.config.Settings.MaxCallsInFlight))
	}
	quota.limit = limit
	s.limitCalls()
}

// recordQuotaChange records a change of the limit. base is the quota of the settings.
func (s *Server) recordQuotaChange(from, to, base overload.Quota) {
	s.recordChange(quotaChangeLevel(from, to, base), StateChange{
		Name:      "store quota",
		From:      quotaName(from, base),
		To:        quotaName(to, base),
		LogFields: logrus.Fields{"base": base.Calls()},
	})
}

// quotaChangeLevel returns the log level for a change of the limit: Info if the limit falls below the quota of the
// settings or is no longer below it, and Debug for other changes, which are frequent.
func quotaChangeLevel(from, to, base overload.Quota) logrus.Level {
	if (from < base) != (to < base) {
		return logrus.InfoLevel
	}
	return logrus.DebugLevel
}

// quotaName returns the name of a limit in log lines. The quota of the settings is the usual state, which has no name.
func quotaName(limit, base overload.Quota) string {
	if limit == base {
		return ""
	}
	return strconv.FormatFloat(limit.Calls(), 'g', 4, 64)
}

// callLimit returns the limit on calls in flight: this process's share of that of quota leasing, if it is on and has computed
// one, and otherwise of that of the settings. While this member probes an unresponsive store for the fleet, the limit is 1 at
// most.
func (s *Server) callLimit() float64 {
	limit := s.config.Settings.MaxCallsInFlight
	if quota := s.quota(); quota != nil && quota.known() {
		limit = max(quota.limit.Calls(), minCallLimit)
	}
	limit = s.callShare.limit(limit)
	if probes := s.probes(); probes != nil && probes.allowance == overload.AllowSingle {
		limit = min(limit, 1)
	}
	return limit
}

// limitCalls passes the limit on calls in flight to the controller, unless the settings have no limit.
func (s *Server) limitCalls() {
	settings := s.config.Settings
	if settings.MaxCallsInFlight == 0 || !s.admission.started() {
		return
	}
	settings.MaxCallsInFlight = s.callLimit()
	if err := s.admission.controller.Reconfigure(settings); err != nil {
		s.warnings.Warn("call limit", "call limit rejected by the admission controller, the previous limit stays", err)
	}
}

// rebaseQuota applies the quota of new settings.
func (s *Server) rebaseQuota() {
	quota := s.quota()
	if quota == nil {
		if s.member != nil || !s.callShare.whole() {
			s.limitCalls()
		}
		return
	}
	base := overload.QuotaFromCalls(s.config.Settings.MaxCallsInFlight)
	quota.SetBase(base, overload.Quota(quota.reservedRatio*float64(base)))
	quota.limit = unknownQuota
	s.applyQuota(s.member.fleet.Now())
}

// recordMissedCall tells the quota leasing that a call was skipped, or that a request was rejected because of the store.
func (s *Server) recordMissedCall() {
	if quota := s.quota(); quota != nil {
		quota.RecordMissedCall()
	}
}
