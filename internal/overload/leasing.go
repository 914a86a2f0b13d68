package overload

import (
	"slices"
	"time"
)

const (
	// clockDriftDivisor bounds how far the clocks of two machines drift apart: by one part in so many. Package fleet
	// assumes the same bound.
	clockDriftDivisor = 2000

	maxLeases          = 64 // granted and received at a time, each
	maxPendingRequests = 4
)

// LeaseTerms are the rules of a fleet for one store. All members must have the same ones but for Base and Reserved: a
// member with a shorter Lease or CallTime than others would reclaim quota too early.
type LeaseTerms struct {
	Base              Quota         // of this member by its settings; the store bears the sum over all members
	Reserved          Quota         // part of Base that is never leased out, and all that a process uses after its start
	Lease             time.Duration // of a lease, measured by the borrower from sending the request
	CallTime          time.Duration // that the store may work on a call, from its start
	AbandonedCallTime time.Duration // that the store may go on with a call after its process has died
}

// QuotaLedger keeps the quota of one member at a store: its own, what it has leased to other members and what it has
// leased from them. It belongs to one goroutine.
//
// The number of calls in flight at the store never exceeds the sum of Base over all members, whatever is partitioned,
// crashed, delayed, duplicated or restarted, by these rules:
//
//   - A member leases out only its own quota that it does not use. It uses that again after the borrower has returned
//     it, or when the lease and all calls begun under it must be over.
//   - Both sides measure elapsed time: the borrower from before its request, the lender from after its grant.
//   - A process that starts may follow one that had calls in flight and had leased out quota. It makes no call until
//     those calls must be over, and uses no more than Reserved until those leases must be.
//
// Two cases are not covered: a process that is suspended between reading its limit and writing a call, which adds that
// one call, and a store that works on a call for longer than CallTime.
type QuotaLedger struct {
	terms                LeaseTerms
	self                 ProcessID
	predecessorCallsEnd  time.Duration // by when the calls of an earlier process of this member must be over
	predecessorLeasesEnd time.Duration // by when what it had leased out must be back
	lastNumber           uint64        // of a request
	leasedOut            leaseList
	leased               leaseList
	pending              pendingRequests
}

// NewQuotaLedger returns the ledger of a process that starts now.
func NewQuotaLedger(now time.Duration, self ProcessID, terms LeaseTerms) *QuotaLedger {
	ledger := &QuotaLedger{terms: terms, self: self}
	ledger.predecessorCallsEnd = now + withClockDrift(terms.AbandonedCallTime)
	ledger.predecessorLeasesEnd = now + ledger.reclaimDelay()
	return ledger
}

// SetBase changes the quota of this member after a reload of its settings. Leases stay as they are.
func (l *QuotaLedger) SetBase(base, reserved Quota) {
	l.terms.Base = base
	l.terms.Reserved = reserved
}

// reclaimDelay returns how long after a grant the quota is used again without a return.
func (l *QuotaLedger) reclaimDelay() time.Duration {
	return withClockDrift(l.terms.Lease + l.terms.CallTime)
}

// withClockDrift returns how long to wait on this clock until d has passed on any other.
func withClockDrift(d time.Duration) time.Duration { return d + d/clockDriftDivisor }

// Limit returns the quota that this member may have in flight when it begins a call now.
func (l *QuotaLedger) Limit(now time.Duration) Quota {
	if now < l.predecessorCallsEnd {
		return 0
	}
	limit := l.terms.Base
	if now < l.predecessorLeasesEnd {
		limit = min(l.terms.Reserved, l.terms.Base)
	}
	return max(limit-l.LeasedOut(now)+l.Leased(now), 0)
}

// LimitUntil returns the lower of the limits at two times, for a caller that reads the limit next at the second.
func (l *QuotaLedger) LimitUntil(now, then time.Duration) Quota {
	return min(l.Limit(now), l.Limit(then))
}

// Leased returns the quota that this member has leased from others and may use now.
func (l *QuotaLedger) Leased(now time.Duration) Quota { return l.leased.unexpired(now) }

// LeasedOut returns the quota that others have leased from this member.
func (l *QuotaLedger) LeasedOut(now time.Duration) Quota { return l.leasedOut.unexpired(now) }

// dropExpired forgets what has expired. A received lease stays until its calls must be over, so that it is returned.
func (l *QuotaLedger) dropExpired(now time.Duration) {
	l.leasedOut = l.leasedOut.withoutExpired(now, 0)
	l.leased = l.leased.withoutExpired(now, l.terms.CallTime)
	l.pending.dropTimedOut(now, l.terms.Lease)
}

// RequestLease returns a request for quota to send to a lender. Ok is false if there are too many leases or requests, or
// one to this lender is pending.
func (l *QuotaLedger) RequestLease(now time.Duration, lender ProcessID, amount Quota) (request Message, ok bool) {
	l.dropExpired(now)
	if amount <= 0 || len(l.pending) >= maxPendingRequests || len(l.leased) >= maxLeases || l.pending.has(lender) {
		return Message{}, false
	}
	l.lastNumber++
	l.pending = append(l.pending, pendingRequest{lender, l.lastNumber, now})
	request = Message{Kind: LeaseRequest, From: l.self, To: lender, Number: l.lastNumber, Amount: amount}
	return request, true
}

// HandleMessage handles a message of another member, and returns the answer to send if ok. InFlight is the quota that
// this member's calls use now; needed is the quota that it expects to use itself.
func (l *QuotaLedger) HandleMessage(
	now time.Duration, message Message, inFlight, needed Quota,
) (answer Message, ok bool) {
	l.dropExpired(now)
	if message.To != l.self {
		return Message{}, false
	}
	switch message.Kind {
	case LeaseRequest:
		return l.grant(now, message, max(inFlight, needed))
	case LeaseGrant:
		l.receiveGrant(message)
	case LeaseReturn:
		l.leasedOut = l.leasedOut.without(message.From, message.Number)
	}
	return Message{}, false
}

// grant leases out quota that is neither used nor reserved nor leased out already. If there is none the answer says so,
// and the borrower asks another member. Ok is false for a duplicate, or a request that a later one has overtaken.
func (l *QuotaLedger) grant(now time.Duration, request Message, used Quota) (answer Message, ok bool) {
	answer = Message{Kind: LeaseGrant, From: l.self, To: request.From, Number: request.Number}
	if now < l.predecessorLeasesEnd || len(l.leasedOut) >= maxLeases {
		return answer, true
	}
	if l.leasedOut.hasAnswered(request.From, request.Number) {
		return Message{}, false
	}
	free := l.terms.Base - l.LeasedOut(now) - max(l.terms.Reserved, used)
	if amount := min(request.Amount, free); amount > 0 {
		answer.Amount = amount
		l.leasedOut = append(l.leasedOut, lease{request.From, request.Number, amount, now + l.reclaimDelay()})
	}
	return answer, true
}

// receiveGrant takes a grant that answers a pending request. The lease is counted from before the request was sent.
func (l *QuotaLedger) receiveGrant(grant Message) {
	request, ok := l.pending.take(grant.From, grant.Number)
	if !ok || grant.Amount <= 0 {
		return
	}
	expires := request.sentAt + l.terms.Lease
	l.leased = append(l.leased, lease{grant.From, grant.Number, grant.Amount, expires})
}

// Return gives up leases that have expired or are not needed, and returns the messages that say so. Those that expire
// last go first, as far as the limit stays at what is in flight and needed.
func (l *QuotaLedger) Return(now time.Duration, inFlight, needed Quota) (returns []Message) {
	l.dropExpired(now)
	l.leased.sortByExpiry()
	for i := len(l.leased) - 1; i >= 0; i-- {
		received := l.leased[i]
		if !l.returnable(now, &received, inFlight, needed) {
			continue
		}
		l.leased = slices.Delete(l.leased, i, i+1)
		returns = append(returns, Message{
			Kind:   LeaseReturn,
			From:   l.self,
			To:     received.peer,
			Number: received.number,
			Amount: received.amount,
		})
	}
	return returns
}

// returnable reports whether a received lease can be returned: if it has expired once no call is left of it, else if the
// limit without it suffices.
func (l *QuotaLedger) returnable(now time.Duration, received *lease, inFlight, needed Quota) bool {
	limit := l.Limit(now)
	if now >= received.expires {
		return inFlight <= limit
	}
	return limit-received.amount >= max(inFlight, needed)
}
