// Package overload decides what the members of a fleet do about overload in common. It is pure: times come in, on this
// process's monotonic clock, and messages and limits go out. Without word from others each part says what a server
// does that is alone.
package overload

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Quota is an amount of calls in hand at a store, in thousandths of a call: in a large fleet a server's own share is
// less than one.
type Quota int64

// Calls turns a share into calls.
func (s Quota) Calls() float64 { return float64(s) / 1000 }

// QuotaOf turns calls into a share, rounded down.
func QuotaOf(calls float64) Quota { return Quota(math.Floor(max(calls, 0) * 1000)) }

// Terms are what all members of a fleet hold to about one store. They have to be the same everywhere but for Base:
// whoever counts on a shorter Lease or Call than the others takes back too early.
type Terms struct {
	Base              Quota         // of this member, by its settings; the sum of all is what the store survives
	Reserved          Quota         // of that, which is never lent: what a process that has just started may use
	Lease             time.Duration // for which a share is lent, from before it is asked for
	CallTime          time.Duration // for which a call may be at work at the store after it was begun
	AbandonedCallTime time.Duration // and after the death of the process that made it
}

const (
	// clockDriftDivisor bounds how far two clocks drift apart: one part in so many. It is the one that package fleet holds to.
	clockDriftDivisor  = 2000
	maxLeases          = 64 // lent and borrowed at a time, each
	maxPendingRequests = 4
)

// ProcessID is a process of a member; a restart is another one.
type ProcessID struct {
	Name string
	Run  uint64
}

func (p ProcessID) compare(other ProcessID) int {
	return cmp.Or(cmp.Compare(p.Name, other.Name), cmp.Compare(p.Run, other.Run))
}

// Kind tells messages apart.
type Kind uint8

const (
	LeaseRequest Kind = iota + 1 // lend me Amount, or less
	LeaseGrant                   // Amount is yours until your asking and the lease is over; 0: nothing is
	LeaseReturn                  // I shall not use it any more
)

// Message goes from one process to another. It may be lost, late, doubled or overtaken; nothing needs an answer.
type Message struct {
	Kind     Kind
	From, To ProcessID
	Number   uint64 // of the asking, by whoever asked
	Amount   Quota
}

// lease is a share that was lent or borrowed.
type lease struct {
	peer    ProcessID
	number  uint64
	amount  Quota
	expires time.Duration // lender: back by itself then; borrower: not to be used from then on
}

// pendingRequest is a question that has no answer yet.
type pendingRequest struct {
	peer   ProcessID
	number uint64
	sentAt time.Duration
}

// QuotaLedger holds one member's share of a store, of which it lends what it does not use. It belongs to one goroutine.
//
// What holds whatever is cut, dead, late, doubled or restarted: a share is lent only by who has it and does not use
// it, is not used by the lender again before the borrower has given it back or its calls must be over, and is not
// used by the borrower after that. Both sides count elapsed time, the borrower from before it asked, the lender from
// after it has lent. A process that starts may be the successor of one that had calls at the store and had lent: it
// makes no call until those must be over, and uses Keep alone until all that could have been lent is. The sum of calls
// in hand then never exceeds the sum of Base.
//
// Two things are outside: a process that is stopped between looking at its limit and writing a call, which adds that
// one call; and a store that works at a call for longer than Call.
type QuotaLedger struct {
	terms                Terms
	self                 ProcessID
	predecessorCallsEnd  time.Duration // when no call of a predecessor is at work any more
	predecessorLeasesEnd time.Duration // when nothing that it lent is out any more
	lastNumber           uint64
	leasedOut            []lease
	leased               []lease
	pending              []pendingRequest
}

// NewQuotaLedger returns the escrow of a process that starts now.
func NewQuotaLedger(now time.Duration, self ProcessID, t Terms) *QuotaLedger {
	e := &QuotaLedger{terms: t, self: self}
	e.predecessorCallsEnd, e.predecessorLeasesEnd = now+t.AbandonedCallTime+t.AbandonedCallTime/clockDriftDivisor, now+e.reclaimDelay()
	return e
}

// SetBase puts another share in force, as new settings give it. What is lent stays lent.
func (e *QuotaLedger) SetBase(base, reserved Quota) { e.terms.Base, e.terms.Reserved = base, reserved }

// reclaimDelay is how long after lending a share is back by itself.
func (e *QuotaLedger) reclaimDelay() time.Duration {
	d := e.terms.Lease + e.terms.CallTime
	return d + d/clockDriftDivisor
}

// Limit is what this member may have in hand now, when it begins a call.
func (e *QuotaLedger) Limit(now time.Duration) Quota {
	limit := e.terms.Base
	switch {
	case now < e.predecessorCallsEnd:
		return 0
	case now < e.predecessorLeasesEnd:
		limit = min(e.terms.Reserved, e.terms.Base)
	}
	for i := range e.leasedOut {
		if now < e.leasedOut[i].expires {
			limit -= e.leasedOut[i].amount
		}
	}
	for i := range e.leased {
		if now < e.leased[i].expires {
			limit += e.leased[i].amount
		}
	}
	return max(limit, 0)
}

// Leased is what it has of others now, and Lent what others have of it.
func (e *QuotaLedger) Leased(now time.Duration) (s Quota)    { return unexpiredQuota(now, e.leased) }
func (e *QuotaLedger) LeasedOut(now time.Duration) (s Quota) { return unexpiredQuota(now, e.leasedOut) }

func unexpiredQuota(now time.Duration, leases []lease) (total Quota) {
	for i := range leases {
		if now < leases[i].expires {
			total += leases[i].amount
		}
	}
	return total
}

// dropExpired forgets what is over. A loan whose use is over stays until it is given back, or is back by itself.
func (e *QuotaLedger) dropExpired(now time.Duration) {
	e.leasedOut = slices.DeleteFunc(e.leasedOut, func(l lease) bool { return now >= l.expires })
	e.leased = slices.DeleteFunc(e.leased, func(l lease) bool { return now >= l.expires+e.terms.CallTime })
	e.pending = slices.DeleteFunc(e.pending, func(a pendingRequest) bool { return now >= a.sentAt+e.terms.Lease })
}

// RequestLease asks a member for a share. It returns false where too much is asked for already, or one question to that member
// has no answer yet.
func (e *QuotaLedger) RequestLease(now time.Duration, lender ProcessID, amount Quota) (Message, bool) {
	e.dropExpired(now)
	if amount <= 0 || len(e.pending) >= maxPendingRequests || len(e.leased) >= maxLeases ||
		slices.ContainsFunc(e.pending, func(request pendingRequest) bool { return request.peer == lender }) {
		return Message{}, false
	}
	e.lastNumber++
	e.pending = append(e.pending, pendingRequest{lender, e.lastNumber, now})
	return Message{Kind: LeaseRequest, From: e.self, To: lender, Number: e.lastNumber, Amount: amount}, true
}

// HandleMessage takes in a message. InFlight is what this member has in hand now; need is what it means to use itself before long.
func (e *QuotaLedger) HandleMessage(now time.Duration, message Message, inFlight, needed Quota) (answer Message, ok bool) {
	e.dropExpired(now)
	if message.To != e.self {
		return Message{}, false
	}
	switch message.Kind {
	case LeaseRequest:
		return e.grant(now, message, inFlight, needed)
	case LeaseGrant:
		for i, request := range e.pending {
			if request.peer == message.From && request.number == message.Number {
				e.pending = slices.Delete(e.pending, i, i+1)
				if message.Amount > 0 {
					e.leased = append(e.leased, lease{message.From, message.Number, message.Amount, request.sentAt + e.terms.Lease})
				}
				break
			}
		}
	case LeaseReturn:
		e.leasedOut = slices.DeleteFunc(e.leasedOut, func(l lease) bool { return l.peer == message.From && l.number == message.Number })
	}
	return Message{}, false
}

// grant lends what is neither in hand, nor needed here, nor kept, nor another's. It says so where that is nothing, so
// that whoever asked may ask another.
func (e *QuotaLedger) grant(now time.Duration, request Message, inFlight, needed Quota) (Message, bool) {
	answer := Message{Kind: LeaseGrant, From: e.self, To: request.From, Number: request.Number}
	if now < e.predecessorLeasesEnd || len(e.leasedOut) >= maxLeases {
		return answer, true
	}
	if slices.ContainsFunc(e.leasedOut, func(l lease) bool { return l.peer == request.From && l.number >= request.Number }) {
		return Message{}, false // the same question again, or one that a later has overtaken
	}
	leasedOut := e.LeasedOut(now)
	free := min(e.terms.Base-e.terms.Reserved-leasedOut, e.terms.Base-leasedOut-max(inFlight, needed))
	amount := min(request.Amount, free)
	if amount > 0 {
		answer.Amount = amount
		e.leasedOut = append(e.leasedOut, lease{request.From, request.Number, amount, now + e.reclaimDelay()})
	}
	return answer, true
}

// Return gives back what may not be used any more, and what is not needed, the loan that ends last first: as much as
// leaves a limit of at least what is in hand and needed.
func (e *QuotaLedger) Return(now time.Duration, inFlight, needed Quota) (returns []Message) {
	e.dropExpired(now)
	slices.SortFunc(e.leased, func(a, b lease) int { return cmp.Or(cmp.Compare(a.expires, b.expires), a.peer.compare(b.peer)) })
	for i := len(e.leased) - 1; i >= 0; i-- {
		candidate := e.leased[i]
		remaining := e.Limit(now)
		if now < candidate.expires {
			remaining -= candidate.amount
		} else if inFlight <= remaining {
			remaining = max(inFlight, needed) // its use is over, and no call of it is left
		}
		if remaining >= max(inFlight, needed) {
			e.leased = slices.Delete(e.leased, i, i+1)
			returns = append(returns, Message{Kind: LeaseReturn, From: e.self, To: candidate.peer, Number: candidate.number, Amount: candidate.amount})
		}
	}
	return returns
}

// LimitUntil is the least limit from now on until then, for who looks again only then.
func (e *QuotaLedger) LimitUntil(now, then time.Duration) Quota {
	return min(e.Limit(now), e.Limit(then))
}
