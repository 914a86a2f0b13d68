package overload

import (
	"time"

	"falldeal/internal/fleet"
)

// How a member goes about borrowing. All of these are ours; the page on the exchange has what was measured.
const (
	// askAgain is how long after a question the same need asks the next member.
	askAgain = 250 * time.Millisecond
	// spare is the part of its use on top that a member keeps for itself before it lends, and before it gives back.
	spare = 4
	// useFades is the time constant of the mean use.
	useFades = 2 * time.Second
	// leastAsk is the least that is asked for, as a part of the own share, and by how much a miss raises what is wanted.
	leastAsk = 4
	// askAhead is how long before a loan ends another is asked for in its place.
	askAhead = time.Second
	// wantMost bounds what is wanted, in own shares: the rest of the fleet has needs as well.
	wantMost = 8
	// candidates are drawn from the view for a question; the one with the most to spare is asked.
	candidates = 3
)

// QuotaManager decides when a member asks whom for how much, and when it gives back: by what it uses and misses here, and by
// what others have told of themselves. It belongs to one goroutine, the loop of the server.
type QuotaManager struct {
	*QuotaLedger
	pick   func(n int) int // draws a number below n
	use    float64         // mean calls in hand
	last   time.Duration   // when use was last brought up to date
	missed int             // calls that could not be made since then
	asked  time.Duration
	wanted Quota         // what would have been enough when calls were missed last
	until  time.Duration // and until when that counts
	begun  bool
}

// NewQuotaManager begins with an escrow; pick draws numbers below its argument.
func NewQuotaManager(e *QuotaLedger, pick func(n int) int) *QuotaManager {
	return &QuotaManager{QuotaLedger: e, pick: pick}
}

// CallMissed notes that a call was left out, or a request refused, since no more calls may be in hand.
func (s *QuotaManager) CallMissed() { s.missed++ }

// MeanInFlight is the mean of the calls in hand, of late.
func (s *QuotaManager) MeanInFlight() float64 { return s.use }

// need is what this member means to use: its use and a quarter, and for the length of a lease after it missed calls
// more than it had then. A loan that was given back as soon as it helped would have to be asked for again at once.
func (s *QuotaManager) need(now time.Duration) Quota {
	n := QuotaOf(s.use * (spare + 1) / spare)
	if now < s.until {
		n = max(n, s.wanted)
	}
	return n
}

// Tick is taken a few times a second. InFlight are the calls in hand now; view is what is known of the others, and at its
// time. It returns what to say to others.
func (s *QuotaManager) Tick(now time.Duration, inHand int, view *fleet.Snapshot, at time.Duration) (out []Message) {
	if d := now - s.last; s.begun && d > 0 {
		f := min(float64(d)/float64(useFades), 1)
		s.use += f * (float64(inHand) - s.use)
	}
	s.begun, s.last = true, now
	if s.missed > 0 {
		s.wanted = min(s.Limit(now)+s.terms.Base/leastAsk, wantMost*s.terms.Base)
		s.until, s.missed = now+s.terms.Lease, 0
	}
	need := s.need(now)
	out = s.Return(now, Quota(1000*inHand), need)
	if lacks := need - s.LimitUntil(now, now+askAhead); lacks > 0 && now < s.until && now-s.asked >= askAgain {
		if of, ok := s.richest(view, at); ok {
			if m, ok := s.RequestLease(now, of, max(lacks, s.terms.Base/leastAsk)); ok {
				s.asked = now
				out = append(out, m)
			}
		}
	}
	return out
}

// Receive takes in a message and returns the answer, if there is one.
func (s *QuotaManager) Receive(now time.Duration, m Message, inHand int) (Message, bool) {
	return s.HandleMessage(now, m, Quota(1000*inHand), s.need(now))
}

// richest is who has told of the most calls to spare, of some that are drawn: if all asked the richest of all, it would
// be asked by everybody at once.
func (s *QuotaManager) richest(view *fleet.Snapshot, at time.Duration) (p ProcessID, ok bool) {
	if len(view.Members) == 0 {
		return p, false
	}
	fresh := fleet.Fresh(len(view.Members))
	most := 0.0
	for range candidates {
		m := &view.Members[s.pick(len(view.Members))]
		if m.Self || !m.Serves(at, fresh) {
			continue
		}
		if left := m.Load.CallQuota - m.Load.MeanCalls; left > most {
			most, p, ok = left, ProcessID{m.Name, m.Run}, true
		}
	}
	return p, ok
}
