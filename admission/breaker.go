package admission

import (
	"time"

	"falldeal/admission/internal/rolling"
)

const (
	breakerK       = 1.5 // accepted calls are multiplied by this before they are weighed against all calls
	breakerWindow  = 5 * time.Second
	breakerBuckets = 20

	// BreakerProtectedCalls is how many calls per window of the circuit breaker are never dropped, unless
	// Controller.SetProtectedCalls says otherwise.
	BreakerProtectedCalls = 5.0
)

// circuitBreaker drops calls to a dependency that fails, so that it is not asked in vain. It is the
// client-side adaptive throttling of Google's SRE book, with some calls that are never dropped. Over a
// rolling window, of total calls that ended and accepts of them that ended well, the next call is dropped
// with the probability
//
//	max(0, (total - protectedCalls - K*accepts) / (total + 1))
//
// With K = 1.5, calls are dropped once a third of them fails; while all fail, nearly all are dropped, and the
// protected ones show when the dependency is back.
type circuitBreaker struct {
	total          *rolling.Window // number of calls that ended
	accepts        *rolling.Window // number of those that ended well
	protectedCalls float64         // per window; below 0: none, and other servers of the fleet probe
}

func newCircuitBreaker(now time.Duration) *circuitBreaker {
	return &circuitBreaker{
		total:          rolling.NewWindow(now, breakerWindow, breakerBuckets),
		accepts:        rolling.NewWindow(now, breakerWindow, breakerBuckets),
		protectedCalls: BreakerProtectedCalls,
	}
}

// record counts a call that ended at now.
func (b *circuitBreaker) record(now time.Duration, outcome Outcome) {
	b.total.Add(now, 1)
	if outcome == OutcomeOK {
		b.accepts.Add(now, 1)
	}
}

// dropProbability is the probability, from 0 to 1, with which a call at now is to be dropped.
func (b *circuitBreaker) dropProbability(now time.Duration) float64 {
	return dropProbability(b.total.Sum(now), b.accepts.Sum(now), b.protectedCalls)
}

// mayNotProbe reports whether the fleet leaves probing to other servers: while no call is accepted, none is
// made.
func (b *circuitBreaker) mayNotProbe() bool { return b.protectedCalls < 0 }

func dropProbability(total, accepts, protectedCalls float64) float64 {
	return max(0, (total-protectedCalls-breakerK*accepts)/(total+1))
}
