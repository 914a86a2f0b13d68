package overload

import (
	"time"

	"falldeal/internal/fleet"
)

const (
	requestInterval   = 250 * time.Millisecond // shortest time between two requests of a member
	renewalMargin     = time.Second            // a lease is renewed this long before it expires
	reserveDivisor    = 4                      // a member needs its mean usage and a reserve of 1/4 of it
	minRequestDivisor = 4                      // the smallest request, and the step after missed calls, is Base/4
	maxWantedFactor   = 8                      // a member wants at most 8*Base, as other members need quota too
	lenderCandidates  = 3                      // members drawn from the view for a request
)

// QuotaManager decides when a member requests quota, from which member and how much, and when it returns quota.
//
//   - The needed quota is the mean usage of the member plus a reserve. If calls were missed within the last
//     LeaseTerms.Lease, it is at least a step above the limit at which they were missed (see missedQuota).
//   - The member returns leases that it does not need.
//   - If calls were missed within the last LeaseTerms.Lease, it requests quota if its limit is below the needed quota, or
//     will be after renewalMargin. It draws a few members and sends the request to the one with the most unused quota.
//
// It belongs to one goroutine.
type QuotaManager struct {
	*QuotaLedger
	randomBelow func(n int) int // returns a random number from 0 to n-1
	usage       callUsage
	missed      missedQuota
	lastRequest time.Duration // time of the last lease request
}

// NewQuotaManager returns a manager of the ledger. randomBelow must return a random number from 0 to n-1.
func NewQuotaManager(ledger *QuotaLedger, randomBelow func(n int) int) *QuotaManager {
	return &QuotaManager{QuotaLedger: ledger, randomBelow: randomBelow}
}

// RecordMissedCall records that a call was skipped, or a request rejected, because the quota limit was reached.
func (m *QuotaManager) RecordMissedCall() { m.missed.calls++ }

// MeanInFlight returns the moving average of the calls in flight, with a time constant of 2 s.
func (m *QuotaManager) MeanInFlight() float64 { return m.usage.mean }

// Tick updates the usage and returns the messages to send: lease returns and at most one lease request. It is to be called
// a few times a second. The time now is on the clock of this server, at is on the clock of the view.
func (m *QuotaManager) Tick(
	now time.Duration, callsInFlight int, view *fleet.Snapshot, at time.Duration,
) []LeaseMessage {
	m.usage.measure(now, callsInFlight)
	m.missed.update(now, m.Limit(now), &m.terms)
	needed := m.neededQuota(now)
	messages := m.Return(now, quotaInUse(callsInFlight), needed)
	if request, ok := m.requestMissing(now, needed, view, at); ok {
		messages = append(messages, request)
	}
	return messages
}

// Receive handles a message of another member. If ok, answer is to be sent.
func (m *QuotaManager) Receive(now time.Duration, message LeaseMessage, callsInFlight int) (answer LeaseMessage, ok bool) {
	return m.HandleMessage(now, message, quotaInUse(callsInFlight), m.neededQuota(now))
}

// neededQuota returns the quota that this member expects to use.
func (m *QuotaManager) neededQuota(now time.Duration) Quota {
	needed := QuotaFromCalls(m.usage.mean * (reserveDivisor + 1) / reserveDivisor)
	if m.missed.isWanted(now) {
		needed = max(needed, m.missed.wanted)
	}
	return needed
}

// requestMissing returns a request for the quota by which the limit falls short of the needed quota, now or after
// renewalMargin. ok is false if none is missing, no calls were missed lately, the last request is too recent, no lender is
// found, or RequestLease refuses.
func (m *QuotaManager) requestMissing(
	now time.Duration, needed Quota, view *fleet.Snapshot, at time.Duration,
) (request LeaseMessage, ok bool) {
	missing := needed - m.LimitUntil(now, now+renewalMargin)
	if missing <= 0 || !m.missed.isWanted(now) || now-m.lastRequest < requestInterval {
		return LeaseMessage{}, false
	}
	lender, ok := m.chooseLender(view, at)
	if !ok {
		return LeaseMessage{}, false
	}
	request, ok = m.RequestLease(now, lender, max(missing, m.terms.Base/minRequestDivisor))
	if ok {
		m.lastRequest = now
	}
	return request, ok
}

// chooseLender draws a few members at random and returns the one with the most unused quota. If every borrower chose the
// best of all members, all would send their requests to the same one. ok is false if no drawn member has unused quota.
func (m *QuotaManager) chooseLender(view *fleet.Snapshot, at time.Duration) (lender ProcessID, ok bool) {
	if len(view.Members) == 0 {
		return ProcessID{}, false
	}
	maxAge := fleet.MaxFreshAge(len(view.Members))
	maxUnused := 0.0
	for range lenderCandidates {
		member := &view.Members[m.randomBelow(len(view.Members))]
		if member.Self || !member.Serves(at, maxAge) {
			continue
		}
		if unused := member.Load.CallQuota - member.Load.MeanCalls; unused > maxUnused {
			maxUnused = unused
			lender = processOf(member)
			ok = true
		}
	}
	return lender, ok
}
