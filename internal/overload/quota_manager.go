package overload

import (
	"time"

	"falldeal/internal/fleet"
)

const (
	requestInterval   = 250 * time.Millisecond // between two requests of a member
	renewalMargin     = time.Second            // before a lease expires, at which another one is requested
	reserveDivisor    = 4                      // a member needs its mean usage and one part in so many on top
	minRequestDivisor = 4                      // the smallest request, and the step after missed calls: Base by this
	maxWantedFactor   = 8                      // Base times this is wanted at most, as other members have needs as well
	lenderCandidates  = 3                      // drawn from the view for a request
)

// QuotaManager decides when a member requests quota, of whom and how much, and when it returns quota.
//
// A member needs its mean usage with a reserve, and while calls were missed within the last lease, what would have
// sufficed for them. It returns what it does not need. After missed calls it requests what its limit is short of that
// need, or will be when the next leases expire, of the member with the most unused quota among a few drawn ones.
//
// It belongs to one goroutine.
type QuotaManager struct {
	*QuotaLedger
	randomBelow func(n int) int
	usage       callUsage
	missed      missedQuota
	lastRequest time.Duration
}

// NewQuotaManager returns a manager of a ledger. RandomBelow draws a random number from 0 to below its argument.
func NewQuotaManager(ledger *QuotaLedger, randomBelow func(n int) int) *QuotaManager {
	return &QuotaManager{QuotaLedger: ledger, randomBelow: randomBelow}
}

// CallMissed notes that a call was skipped or a request rejected because the limit was reached.
func (m *QuotaManager) CallMissed() { m.missed.calls++ }

// MeanInFlight returns the mean number of calls in flight over the last seconds.
func (m *QuotaManager) MeanInFlight() float64 { return m.usage.mean }

// Tick updates the usage and returns the messages to send: returns and at most one request. It is called a few times a
// second. Now is on the clock of this server, at is the time of the view.
func (m *QuotaManager) Tick(
	now time.Duration, callsInFlight int, view *fleet.Snapshot, at time.Duration,
) []Message {
	m.usage.measure(now, callsInFlight)
	m.missed.update(now, m.Limit(now), &m.terms)
	needed := m.neededQuota(now)
	messages := m.Return(now, quotaOfCalls(callsInFlight), needed)
	if request, ok := m.requestMissing(now, needed, view, at); ok {
		messages = append(messages, request)
	}
	return messages
}

// Receive handles a message of another member, and returns the answer to send if ok.
func (m *QuotaManager) Receive(now time.Duration, message Message, callsInFlight int) (answer Message, ok bool) {
	return m.HandleMessage(now, message, quotaOfCalls(callsInFlight), m.neededQuota(now))
}

// neededQuota returns what this member expects to use.
func (m *QuotaManager) neededQuota(now time.Duration) Quota {
	needed := QuotaOf(m.usage.mean * (reserveDivisor + 1) / reserveDivisor)
	if m.missed.isWanted(now) {
		needed = max(needed, m.missed.wanted)
	}
	return needed
}

// requestMissing returns a request for what is missing to the needed quota, now or by the time of a renewal.
func (m *QuotaManager) requestMissing(
	now time.Duration, needed Quota, view *fleet.Snapshot, at time.Duration,
) (request Message, ok bool) {
	missing := needed - m.LimitUntil(now, now+renewalMargin)
	if missing <= 0 || !m.missed.isWanted(now) || now-m.lastRequest < requestInterval {
		return Message{}, false
	}
	lender, ok := m.chooseLender(view, at)
	if !ok {
		return Message{}, false
	}
	request, ok = m.RequestLease(now, lender, max(missing, m.terms.Base/minRequestDivisor))
	if ok {
		m.lastRequest = now
	}
	return request, ok
}

// chooseLender returns the member with the most unused quota among a few that are drawn at random: if all borrowers
// asked the one with the most of all, all would ask the same.
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
