package overload

import (
	"time"

	"falldeal/internal/fleet"
)

// How a member goes about borrowing. All of these are ours; the page on the exchange has what was measured.
const (
	// requestInterval is how long after a question the same need asks the next member.
	requestInterval = 250 * time.Millisecond
	// reserveDivisor is the part of its use on top that a member keeps for itself before it lends, and before it gives back.
	reserveDivisor = 4
	// usageTimeConstant is the time constant of the mean use.
	usageTimeConstant = 2 * time.Second
	// minRequestDivisor is the least that is asked for, as a part of the own share, and by how much a miss raises what is wanted.
	minRequestDivisor = 4
	// renewalLeadTime is how long before a loan ends another is asked for in its place.
	renewalLeadTime = time.Second
	// maxWantedFactor bounds what is wanted, in own shares: the rest of the fleet has needs as well.
	maxWantedFactor = 8
	// lenderCandidates are drawn from the view for a question; the one with the most to spare is asked.
	lenderCandidates = 3
)

// QuotaManager decides when a member asks whom for how much, and when it gives back: by what it uses and misses here, and by
// what others have told of themselves. It belongs to one goroutine, the loop of the server.
type QuotaManager struct {
	*QuotaLedger
	randomBelow  func(n int) int // draws a number below n
	meanInFlight float64         // mean calls in hand
	lastTick     time.Duration   // when use was last brought up to date
	missedCalls  int             // calls that could not be made since then
	lastRequest  time.Duration
	wantedQuota  Quota         // what would have been enough when calls were missed last
	wantedUntil  time.Duration // and until when that counts
	started      bool
}

// NewQuotaManager begins with an escrow; pick draws numbers below its argument.
func NewQuotaManager(ledger *QuotaLedger, randomBelow func(n int) int) *QuotaManager {
	return &QuotaManager{QuotaLedger: ledger, randomBelow: randomBelow}
}

// CallMissed notes that a call was left out, or a request refused, since no more calls may be in hand.
func (s *QuotaManager) CallMissed() { s.missedCalls++ }

// MeanInFlight is the mean of the calls in hand, of late.
func (s *QuotaManager) MeanInFlight() float64 { return s.meanInFlight }

// neededQuota is what this member means to use: its use and a quarter, and for the length of a lease after it missed calls
// more than it had then. A loan that was given back as soon as it helped would have to be asked for again at once.
func (s *QuotaManager) neededQuota(now time.Duration) Quota {
	needed := QuotaOf(s.meanInFlight * (reserveDivisor + 1) / reserveDivisor)
	if now < s.wantedUntil {
		needed = max(needed, s.wantedQuota)
	}
	return needed
}

// Tick is taken a few times a second. InFlight are the calls in hand now; view is what is known of the others, and at its
// time. It returns what to say to others.
func (s *QuotaManager) Tick(now time.Duration, callsInFlight int, view *fleet.Snapshot, at time.Duration) (messages []Message) {
	if elapsed := now - s.lastTick; s.started && elapsed > 0 {
		weight := min(float64(elapsed)/float64(usageTimeConstant), 1)
		s.meanInFlight += weight * (float64(callsInFlight) - s.meanInFlight)
	}
	s.started, s.lastTick = true, now
	if s.missedCalls > 0 {
		s.wantedQuota = min(s.Limit(now)+s.terms.Base/minRequestDivisor, maxWantedFactor*s.terms.Base)
		s.wantedUntil, s.missedCalls = now+s.terms.Lease, 0
	}
	needed := s.neededQuota(now)
	messages = s.Return(now, Quota(1000*callsInFlight), needed)
	if missing := needed - s.LimitUntil(now, now+renewalLeadTime); missing > 0 && now < s.wantedUntil && now-s.lastRequest >= requestInterval {
		if lender, ok := s.chooseLender(view, at); ok {
			if request, ok := s.RequestLease(now, lender, max(missing, s.terms.Base/minRequestDivisor)); ok {
				s.lastRequest = now
				messages = append(messages, request)
			}
		}
	}
	return messages
}

// Receive takes in a message and returns the answer, if there is one.
func (s *QuotaManager) Receive(now time.Duration, message Message, callsInFlight int) (Message, bool) {
	return s.HandleMessage(now, message, Quota(1000*callsInFlight), s.neededQuota(now))
}

// chooseLender is who has told of the most calls to spare, of some that are drawn: if all asked the richest of all, it would
// be asked by everybody at once.
func (s *QuotaManager) chooseLender(view *fleet.Snapshot, at time.Duration) (lender ProcessID, ok bool) {
	if len(view.Members) == 0 {
		return lender, false
	}
	maxAge := fleet.Fresh(len(view.Members))
	maxUnused := 0.0
	for range lenderCandidates {
		member := &view.Members[s.randomBelow(len(view.Members))]
		if member.Self || !member.Serves(at, maxAge) {
			continue
		}
		if unused := member.Load.CallQuota - member.Load.MeanCalls; unused > maxUnused {
			maxUnused, lender, ok = unused, ProcessID{member.Name, member.Run}, true
		}
	}
	return lender, ok
}
