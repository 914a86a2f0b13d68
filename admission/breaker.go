package admission

import (
	"time"

	"falldeal/admission/internal/rolling"
)

// The circuit breaker before calls to the dependency, as the design's source has it ("googleBreaker").
const (
	breakerK              = 1.5             // accepted calls that outweigh one failure; source
	BreakerProtectedCalls = 5.0             // calls per window that are never dropped; source
	breakerWindow         = 5 * time.Second // half the source's: faults last 5 to 20 s; ours
	breakerBuckets        = 20              // 250 ms each, as in the source
)

// dropRatio is the probability that the next call is dropped (source, "accept").
func dropRatio(total, accepts, protected float64) float64 {
	return max(0, (total-protected-breakerK*accepts)/(total+1))
}

func (c *Controller) dropProbability() float64 {
	return dropRatio(c.callsEnded.Sum(c.now), c.callsAccepted.Sum(c.now), c.protectedCalls)
}

// SetProtectedCalls sets how many calls per window are never dropped: BreakerProtectedCalls, unless the fleet
// coordinates its probes. Below 0 no call is made while none is accepted; above 0 the estimate of the call
// time is reset to the best one, so that a probe gets enough time.
func (c *Controller) SetProtectedCalls(calls float64) {
	if c.protectedCalls = calls; calls > 0 && c.callTime.Known() {
		c.callTime = rolling.AverageOf(c.bestCallTime)
	}
}

func (c *Controller) recordOutcome(outcome Outcome) {
	accepts := 0.0
	if outcome == OutcomeOK {
		accepts = 1
	}
	c.callsEnded.Add(c.now, 1)
	c.callsAccepted.Add(c.now, accepts)
}
