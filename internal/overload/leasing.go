package overload

import (
	"slices"
	"time"
)

const (
	// clockDriftDivisor bounds the drift between the clocks of two machines: one part in 2000. Package fleet assumes
	// the same bound.
	clockDriftDivisor = 2000

	maxLeases          = 64 // leases that a member grants, and that it receives, at the same time
	maxPendingRequests = 4
)

// LeaseTerms are the terms of quota leasing for one store. Only Base and Reserved may differ between members. A member
// with a shorter Lease or CallTime than others would reclaim quota too early.
type LeaseTerms struct {
	Base              Quota         // quota of this member by its settings; the store bears the sum over all members
	Reserved          Quota         // part of Base that is never leased out, and the limit of a process after its start
	Lease             time.Duration // length of a lease; the borrower counts it from when it sent the request
	CallTime          time.Duration // longest time that the store works on a call
	AbandonedCallTime time.Duration // longest time that the store still works on a call after the calling process has ended
}

// QuotaLedger accounts for the quota of one member at a store: the member's own quota (Base), the quota that it has
// leased out to other members and the quota that it has leased from them. It belongs to one goroutine.
//
// The calls in flight at the store never exceed the sum of Base over all members, even if members are partitioned, crash
// or restart and messages are lost, delayed or duplicated. These rules ensure it:
//
//   - A member leases out only quota of its own that it does not use. It uses that quota again once the borrower has
//     returned it, or once the lease and all calls made under it must have ended.
//   - Both sides measure elapsed time on their own clocks. The borrower counts the lease from before it sends the request,
//     the lender from its grant.
//   - A new process may follow one that had calls in flight and had leased out quota. It makes no call until those calls
//     must have ended, and uses at most Reserved until those leases must have ended.
//
// The rules do not cover two cases:
//
//   - A process is suspended after it has read its limit and before it sends a call. Once it resumes, it sends the call
//     even if the limit has fallen in the meantime.
//   - The store works on a call for longer than CallTime.
type QuotaLedger struct {
	terms                LeaseTerms
	self                 ProcessID
	predecessorCallsEnd  time.Duration // time at which the calls of earlier processes of this member must have ended
	predecessorLeasesEnd time.Duration // time at which the leases granted by earlier processes must have ended
	lastNumber           uint64        // sequence number of the last lease request
	leasedOut            leaseList     // leases granted to other members
	leased               leaseList     // leases received from other members
	pending              pendingRequests
}

// NewQuotaLedger returns the ledger of a process that starts now and may have a predecessor.
func NewQuotaLedger(now time.Duration, self ProcessID, terms LeaseTerms) *QuotaLedger {
	ledger := &QuotaLedger{terms: terms, self: self}
	ledger.predecessorCallsEnd = now + withClockDrift(terms.AbandonedCallTime)
	ledger.predecessorLeasesEnd = now + ledger.reclaimDelay()
	return ledger
}

// SetBase replaces the own quota of this member, after a reload of its settings. Leases in force are not changed.
func (l *QuotaLedger) SetBase(base, reserved Quota) {
	l.terms.Base = base
	l.terms.Reserved = reserved
}

// reclaimDelay returns how long after a grant the lender uses the quota again if it was not returned.
func (l *QuotaLedger) reclaimDelay() time.Duration {
	return withClockDrift(l.terms.Lease + l.terms.CallTime)
}

// withClockDrift returns how long to wait on this machine's clock until d has passed on any other machine's clock.
func withClockDrift(d time.Duration) time.Duration { return d + d/clockDriftDivisor }

// Limit returns the quota that this member may use in total, a call that it begins now included.
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

// LimitUntil returns the lower of the limits at now and at end, for a caller that applies one limit from now to end. It
// does not check the time in between: the limit is lower there if a received lease expires before a granted one does.
func (l *QuotaLedger) LimitUntil(now, end time.Duration) Quota {
	return min(l.Limit(now), l.Limit(end))
}

// Leased returns the quota that this member has leased from others and may use for calls that it begins now.
func (l *QuotaLedger) Leased(now time.Duration) Quota { return l.leased.unexpired(now) }

// LeasedOut returns the quota that this member has leased to others and does not use now.
func (l *QuotaLedger) LeasedOut(now time.Duration) Quota { return l.leasedOut.unexpired(now) }

// dropExpired drops expired leases and requests. A received lease stays for another CallTime, in which Return can return
// it once its calls have ended.
func (l *QuotaLedger) dropExpired(now time.Duration) {
	l.leasedOut = l.leasedOut.withoutExpired(now, 0)
	l.leased = l.leased.withoutExpired(now, l.terms.CallTime)
	l.pending.dropTimedOut(now, l.terms.Lease)
}

// RequestLease returns a lease request to send to the lender. ok is false if the amount is not positive, a request to
// this lender is pending, or maxLeases or maxPendingRequests is reached.
func (l *QuotaLedger) RequestLease(now time.Duration, lender ProcessID, amount Quota) (request LeaseMessage, ok bool) {
	l.dropExpired(now)
	if amount <= 0 || len(l.pending) >= maxPendingRequests || len(l.leased) >= maxLeases || l.pending.has(lender) {
		return LeaseMessage{}, false
	}
	l.lastNumber++
	l.pending = append(l.pending, pendingRequest{lender, l.lastNumber, now})
	request = LeaseMessage{Kind: LeaseRequest, From: l.self, To: lender, Number: l.lastNumber, Amount: amount}
	return request, true
}

// HandleMessage handles a message of another member. If ok, answer is to be sent. The caller passes the quota that the
// calls in flight of this member use, and the quota that it expects to need itself.
func (l *QuotaLedger) HandleMessage(
	now time.Duration, message LeaseMessage, inFlight, needed Quota,
) (answer LeaseMessage, ok bool) {
	l.dropExpired(now)
	if message.To != l.self {
		return LeaseMessage{}, false
	}
	switch message.Kind {
	case LeaseRequest:
		return l.grant(now, message, max(inFlight, needed))
	case LeaseGrant:
		l.receiveGrant(message)
	case LeaseReturn:
		l.leasedOut = l.leasedOut.without(message.From, message.Number)
	}
	return LeaseMessage{}, false
}

// grant leases out quota that is not used, reserved or leased out already. The answer grants 0 if there is none, leases of
// a predecessor may be in force, or maxLeases is reached; the borrower can then ask another member. ok is false if a lease
// in force answers this request or a later one of the borrower: then this request is a duplicate, or was overtaken.
func (l *QuotaLedger) grant(now time.Duration, request LeaseMessage, used Quota) (answer LeaseMessage, ok bool) {
	answer = LeaseMessage{Kind: LeaseGrant, From: l.self, To: request.From, Number: request.Number}
	if now < l.predecessorLeasesEnd || len(l.leasedOut) >= maxLeases {
		return answer, true
	}
	if l.leasedOut.grantedSince(request.From, request.Number) {
		return LeaseMessage{}, false
	}
	free := l.terms.Base - l.LeasedOut(now) - max(l.terms.Reserved, used)
	if amount := min(request.Amount, free); amount > 0 {
		answer.Amount = amount
		l.leasedOut = append(l.leasedOut, lease{request.From, request.Number, amount, now + l.reclaimDelay()})
	}
	return answer, true
}

// receiveGrant records the lease of a grant that answers a pending request. The length of the lease counts from when the
// request was sent. A grant without a pending request is ignored.
func (l *QuotaLedger) receiveGrant(grant LeaseMessage) {
	request, ok := l.pending.take(grant.From, grant.Number)
	if !ok || grant.Amount <= 0 {
		return
	}
	expires := request.sentAt + l.terms.Lease
	l.leased = append(l.leased, lease{grant.From, grant.Number, grant.Amount, expires})
}

// Return ends leases that have expired or are not needed, and returns the messages that return them to the lenders. It
// starts with the lease that expires last. It ends an unexpired lease only if the limit without it is at least inFlight and
// needed.
func (l *QuotaLedger) Return(now time.Duration, inFlight, needed Quota) (returns []LeaseMessage) {
	l.dropExpired(now)
	l.leased.sortByExpiry()
	for i := len(l.leased) - 1; i >= 0; i-- {
		received := l.leased[i]
		if !l.returnable(now, &received, inFlight, needed) {
			continue
		}
		l.leased = slices.Delete(l.leased, i, i+1)
		returns = append(returns, LeaseMessage{
			Kind:   LeaseReturn,
			From:   l.self,
			To:     received.peer,
			Number: received.number,
			Amount: received.amount,
		})
	}
	return returns
}

// returnable reports whether a received lease can be returned. An expired lease can be returned once the calls in flight
// fit into the limit, so that none of them depends on the lease. An unexpired lease can be returned if the limit without it
// is at least inFlight and needed.
func (l *QuotaLedger) returnable(now time.Duration, received *lease, inFlight, needed Quota) bool {
	limit := l.Limit(now)
	if now >= received.expires {
		return inFlight <= limit
	}
	return limit-received.amount >= max(inFlight, needed)
}
