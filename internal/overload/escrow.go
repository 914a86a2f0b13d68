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
	// driftPart bounds how far two clocks drift apart: one part in so many. It is the one that package fleet holds to.
	driftPart  = 2000
	mostLoans  = 64 // lent and borrowed at a time, each
	mostAsking = 4
)

// ProcessID is a process of a member; a restart is another one.
type ProcessID struct {
	Name string
	Run  uint64
}

func (p ProcessID) compare(o ProcessID) int {
	return cmp.Or(cmp.Compare(p.Name, o.Name), cmp.Compare(p.Run, o.Run))
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

// loan is a share that was lent or borrowed.
type loan struct {
	with   ProcessID
	number uint64
	amount Quota
	until  time.Duration // lender: back by itself then; borrower: not to be used from then on
}

// asking is a question that has no answer yet.
type asking struct {
	with   ProcessID
	number uint64
	at     time.Duration
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
	terms    Terms
	self     ProcessID
	clear    time.Duration // when no call of a predecessor is at work any more
	ready    time.Duration // when nothing that it lent is out any more
	number   uint64
	lent     []loan
	borrowed []loan
	asks     []asking
}

// NewQuotaLedger returns the escrow of a process that starts now.
func NewQuotaLedger(now time.Duration, self ProcessID, t Terms) *QuotaLedger {
	e := &QuotaLedger{terms: t, self: self}
	e.clear, e.ready = now+t.AbandonedCallTime+t.AbandonedCallTime/driftPart, now+e.over()
	return e
}

// SetBase puts another share in force, as new settings give it. What is lent stays lent.
func (e *QuotaLedger) SetBase(base, keep Quota) { e.terms.Base, e.terms.Reserved = base, keep }

// over is how long after lending a share is back by itself.
func (e *QuotaLedger) over() time.Duration {
	d := e.terms.Lease + e.terms.CallTime
	return d + d/driftPart
}

// Limit is what this member may have in hand now, when it begins a call.
func (e *QuotaLedger) Limit(now time.Duration) Quota {
	own := e.terms.Base
	switch {
	case now < e.clear:
		return 0
	case now < e.ready:
		own = min(e.terms.Reserved, e.terms.Base)
	}
	for i := range e.lent {
		if now < e.lent[i].until {
			own -= e.lent[i].amount
		}
	}
	for i := range e.borrowed {
		if now < e.borrowed[i].until {
			own += e.borrowed[i].amount
		}
	}
	return max(own, 0)
}

// Leased is what it has of others now, and Lent what others have of it.
func (e *QuotaLedger) Leased(now time.Duration) (s Quota)    { return sum(now, e.borrowed) }
func (e *QuotaLedger) LeasedOut(now time.Duration) (s Quota) { return sum(now, e.lent) }

func sum(now time.Duration, loans []loan) (s Quota) {
	for i := range loans {
		if now < loans[i].until {
			s += loans[i].amount
		}
	}
	return s
}

// expire forgets what is over. A loan whose use is over stays until it is given back, or is back by itself.
func (e *QuotaLedger) expire(now time.Duration) {
	e.lent = slices.DeleteFunc(e.lent, func(l loan) bool { return now >= l.until })
	e.borrowed = slices.DeleteFunc(e.borrowed, func(l loan) bool { return now >= l.until+e.terms.CallTime })
	e.asks = slices.DeleteFunc(e.asks, func(a asking) bool { return now >= a.at+e.terms.Lease })
}

// RequestLease asks a member for a share. It returns false where too much is asked for already, or one question to that member
// has no answer yet.
func (e *QuotaLedger) RequestLease(now time.Duration, of ProcessID, amount Quota) (Message, bool) {
	e.expire(now)
	if amount <= 0 || len(e.asks) >= mostAsking || len(e.borrowed) >= mostLoans ||
		slices.ContainsFunc(e.asks, func(a asking) bool { return a.with == of }) {
		return Message{}, false
	}
	e.number++
	e.asks = append(e.asks, asking{of, e.number, now})
	return Message{Kind: LeaseRequest, From: e.self, To: of, Number: e.number, Amount: amount}, true
}

// HandleMessage takes in a message. InFlight is what this member has in hand now; need is what it means to use itself before long.
func (e *QuotaLedger) HandleMessage(now time.Duration, m Message, inHand, need Quota) (answer Message, ok bool) {
	e.expire(now)
	if m.To != e.self {
		return Message{}, false
	}
	switch m.Kind {
	case LeaseRequest:
		return e.lend(now, m, inHand, need)
	case LeaseGrant:
		for i, a := range e.asks {
			if a.with == m.From && a.number == m.Number {
				e.asks = slices.Delete(e.asks, i, i+1)
				if m.Amount > 0 {
					e.borrowed = append(e.borrowed, loan{m.From, m.Number, m.Amount, a.at + e.terms.Lease})
				}
				break
			}
		}
	case LeaseReturn:
		e.lent = slices.DeleteFunc(e.lent, func(l loan) bool { return l.with == m.From && l.number == m.Number })
	}
	return Message{}, false
}

// lend lends what is neither in hand, nor needed here, nor kept, nor another's. It says so where that is nothing, so
// that whoever asked may ask another.
func (e *QuotaLedger) lend(now time.Duration, m Message, inHand, need Quota) (Message, bool) {
	answer := Message{Kind: LeaseGrant, From: e.self, To: m.From, Number: m.Number}
	if now < e.ready || len(e.lent) >= mostLoans {
		return answer, true
	}
	if slices.ContainsFunc(e.lent, func(l loan) bool { return l.with == m.From && l.number >= m.Number }) {
		return Message{}, false // the same question again, or one that a later has overtaken
	}
	lent := e.LeasedOut(now)
	free := min(e.terms.Base-e.terms.Reserved-lent, e.terms.Base-lent-max(inHand, need))
	amount := min(m.Amount, free)
	if amount > 0 {
		answer.Amount = amount
		e.lent = append(e.lent, loan{m.From, m.Number, amount, now + e.over()})
	}
	return answer, true
}

// Return gives back what may not be used any more, and what is not needed, the loan that ends last first: as much as
// leaves a limit of at least what is in hand and needed.
func (e *QuotaLedger) Return(now time.Duration, inHand, need Quota) (out []Message) {
	e.expire(now)
	slices.SortFunc(e.borrowed, func(a, b loan) int { return cmp.Or(cmp.Compare(a.until, b.until), a.with.compare(b.with)) })
	for i := len(e.borrowed) - 1; i >= 0; i-- {
		l := e.borrowed[i]
		left := e.Limit(now)
		if now < l.until {
			left -= l.amount
		} else if inHand <= left {
			left = max(inHand, need) // its use is over, and no call of it is left
		}
		if left >= max(inHand, need) {
			e.borrowed = slices.Delete(e.borrowed, i, i+1)
			out = append(out, Message{Kind: LeaseReturn, From: e.self, To: l.with, Number: l.number, Amount: l.amount})
		}
	}
	return out
}

// LimitUntil is the least limit from now on until then, for who looks again only then.
func (e *QuotaLedger) LimitUntil(now, then time.Duration) Quota {
	return min(e.Limit(now), e.Limit(then))
}
