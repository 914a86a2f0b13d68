package admission

import (
	"time"

	"falldeal/admission/internal/rolling"
)

const (
	breakerK       = 1.5             // factor on accepted calls in the formula of circuitBreaker
	breakerWindow  = 5 * time.Second // calls that ended longer ago are not counted
	breakerBuckets = 20              // of the rolling windows

	// BreakerProtectedCalls is the default number of protected calls of the circuit breaker, see
	// Controller.SetProtectedCalls.
	BreakerProtectedCalls = 5.0
)

// circuitBreaker drops calls to a failing dependency to reduce its load. It is the client-side adaptive
// throttling of Google's SRE book, with a number of protected calls subtracted. Let total be the number of
// calls that ended within a rolling window, and accepts the number of those that succeeded. The next call is
// dropped with the probability
//
//	max(0, (total - protectedCalls - K*accepts) / (total + 1))
//
// With K = 1.5, calls are dropped once more than a third of a large number of calls fails. While all calls
// fail, nearly all are dropped. If protectedCalls is 0 or more, no call is dropped while the window holds at
// most that many calls. These values are used:
//
//	 5  the default
//	 1  this server probes: after two failures in the window, the next call is dropped with probability 1/3
//	 0  after one failure in the window, the next call is dropped with probability 1/2
//	-1  other servers probe: the probability reaches 1 only when the window holds no accepted call,
//	    which includes an empty window
type circuitBreaker struct {
	total          *rolling.Window // number of calls that ended
	accepts        *rolling.Window // number of calls that succeeded
	protectedCalls float64         // see the formula; below 0: other servers of the fleet probe
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

// dropProbability returns the probability, from 0 to 1, with which a call at now is dropped.
func (b *circuitBreaker) dropProbability(now time.Duration) float64 {
	return dropProbability(b.total.Sum(now), b.accepts.Sum(now), b.protectedCalls)
}

// mayNotProbe reports whether only other servers of the fleet probe, so that requests that must call are
// rejected.
func (b *circuitBreaker) mayNotProbe() bool { return b.protectedCalls < 0 }

func dropProbability(total, accepts, protectedCalls float64) float64 {
	return max(0, (total-protectedCalls-breakerK*accepts)/(total+1))
}
