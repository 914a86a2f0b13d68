package admission

import (
	"time"

	"falldeal/admission/internal/rolling"
)

const (
	breakerK       = 1.5 // accepted calls are multiplied by this before they are weighed against all calls
	breakerWindow  = 5 * time.Second
	breakerBuckets = 20

	// BreakerProtectedCalls is the number of protected calls of a circuit breaker on which
	// Controller.SetProtectedCalls was not called.
	BreakerProtectedCalls = 5.0
)

// circuitBreaker drops calls to a dependency that fails, to spare it load. It is the client-side adaptive
// throttling of Google's SRE book, with a number of protected calls subtracted. With total calls that ended
// within a rolling window, and accepts of them that succeeded, the next call is dropped with the probability
//
//	max(0, (total - protectedCalls - K*accepts) / (total + 1))
//
// With K = 1.5, calls are dropped once more than a third of many calls fails. While all fail, nearly all
// are dropped. With protectedCalls of 0 or more, no call is dropped while at most so many calls are in the
// window. These numbers are in use:
//
//	 5  the default
//	 1  this server probes: after two failures in the window, the next call is dropped with probability 1/3
//	 0  after one failure in the window, the next call is dropped with probability 1/2
//	-1  other servers probe: calls are dropped with a probability that reaches 1 only once no accepted call
//	    is left in the window; it is 1 for an empty window, too
type circuitBreaker struct {
	total          *rolling.Window // number of calls that ended
	accepts        *rolling.Window // number of those that succeeded
	protectedCalls float64         // as in the formula above; below 0: other servers of the fleet probe
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

// mayNotProbe reports whether other servers of the fleet probe, so that requests that must call are rejected.
func (b *circuitBreaker) mayNotProbe() bool { return b.protectedCalls < 0 }

func dropProbability(total, accepts, protectedCalls float64) float64 {
	return max(0, (total-protectedCalls-breakerK*accepts)/(total+1))
}
