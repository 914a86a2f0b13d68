package overload

import "time"

// RetryBudget is the number of retries for each first attempt that a full fleet tolerates.
const RetryBudget = 0.1

const (
	overloadEnterRatio   = 1.0  // of demand to service rate, above which the fleet is full
	overloadExitRatio    = 0.9  // and down to which it stays so
	targetUtilization    = 0.96 // of the cores of a full fleet
	utilizationGain      = 2.0  // capacity that is added for each part of utilization short of the target
	minCapacityFactor    = 0.85 // of the service rate
	maxCapacityFactor    = 1.3  // of the service rate
	thresholdGain        = 0.5  // weight of a new threshold against the previous one
	thresholdDecayStep   = 1.5  // bins by which the threshold falls at each tick once the fleet has capacity again
	maxRetryWindow       = 4 * time.Second
	minFreeCapacityRatio = 0.05 // of the service rate, assumed to be free for retries at least
	minFirstAttemptRatio = 0.4  // of the demand, assumed to be first attempts at least
	minDivisor           = 1e-3 // keeps quotients finite
)

// SheddingState is what a member knows of the load of its fleet, and the shedding threshold that follows from it.
type SheddingState struct {
	Known               bool // there are recent updates, and this member is not partitioned from most others
	Full                bool
	Threshold           float64       // requests of lower priority are below the threshold; 0 = none are
	Offered             float64       // demand of the fleet, corrected for retries, in seconds of work a second
	ServiceRate         float64       // that the fleet completes, in seconds of work a second
	RetryRatio          float64       // retries for each first attempt in the fleet
	RetryBudgetExceeded bool          // RetryRatio exceeds RetryBudget while the fleet is full
	Window              time.Duration // over which rejected clients should spread their retries, to fit into free capacity
	Members             int           // whose updates count, this one included
	Stale               int           // members whose updates are too old
	Oldest              time.Duration // age of the oldest update that counts
}

// classify returns the verdict on a request of a priority.
func (s *SheddingState) classify(priority float64) Verdict {
	switch {
	case !s.Known:
		return VerdictUnknown
	case priority < s.Threshold:
		return VerdictBelowThreshold
	case s.Full && s.RetryBudgetExceeded:
		return VerdictFleetFull
	}
	return VerdictHasCapacity
}

// next returns the state that follows s for a load of the whole fleet. While the fleet is full the threshold moves a
// part of the way to its new value at each tick. Once the fleet has capacity again it falls in steps, as the clients
// that were rejected come back then.
func (s *SheddingState) next(total *Aggregate) SheddingState {
	next := SheddingState{
		Known:       true,
		Offered:     total.Demand.Total(),
		ServiceRate: total.ServiceRate,
		RetryRatio:  total.retriesPerFirstAttempt(),
		Members:     total.Members,
		Stale:       total.Stale,
		Oldest:      total.Oldest,
	}
	next.Window = next.retryWindow()
	next.Full = next.Offered > s.fullRatio()*total.ServiceRate
	if !next.Full {
		next.Threshold = max(s.Threshold-thresholdDecayStep, 0)
		return next
	}
	next.RetryBudgetExceeded = next.RetryRatio > RetryBudget
	next.Threshold = total.Demand.thresholdFor(total.ServiceRate * total.capacityFactor())
	if s.Full {
		next.Threshold = s.Threshold + thresholdGain*(next.Threshold-s.Threshold)
	}
	return next
}

// fullRatio returns the ratio of demand to service rate above which the fleet is full next.
func (s *SheddingState) fullRatio() float64 {
	if s.Full {
		return overloadExitRatio
	}
	return overloadEnterRatio
}

// retryWindow returns how long the free capacity needs for the work of the retries.
func (s *SheddingState) retryWindow() time.Duration {
	retryWork := s.Offered * s.RetryRatio * demandTimeConstant.Seconds()
	free := max(s.ServiceRate-s.Offered, minFreeCapacityRatio*s.ServiceRate)
	seconds := min(retryWork/max(free, minDivisor), maxRetryWindow.Seconds())
	return time.Duration(seconds * float64(time.Second))
}

// firstAttemptRatio returns the part of the demand that is due to first attempts, given the part of all attempts that
// are retries and the part that is known to be. Most retries are known and not counted as demand, but one that follows
// its rejection at once looks like a first attempt.
func firstAttemptRatio(retryRatio, knownRatio float64) float64 {
	ratio := (1 - retryRatio) / max(1-knownRatio, minDivisor)
	return min(max(ratio, minFirstAttemptRatio), 1)
}

// firstAttempts returns the attempts a second that are not retries.
func (a *Aggregate) firstAttempts() float64 { return a.Attempts - a.Retries }

// retriesPerFirstAttempt returns the number of retries for each first attempt; 0 without first attempts.
func (a *Aggregate) retriesPerFirstAttempt() float64 {
	if a.firstAttempts() <= 0 {
		return 0
	}
	return a.Retries / a.firstAttempts()
}

// capacityFactor returns by how much the admitted demand exceeds the service rate. It is more than 1 while cores idle
// although the fleet is full, since demand then includes retries that look like first attempts.
func (a *Aggregate) capacityFactor() float64 {
	busy := a.Busy()
	if busy < 0 {
		return 1
	}
	return min(max(1+utilizationGain*(targetUtilization-busy), minCapacityFactor), maxCapacityFactor)
}
