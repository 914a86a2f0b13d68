package overload

import "time"

// RetryBudget is the number of retries per first attempt up to which a full fleet lets rejected clients retry elsewhere.
const RetryBudget = 0.1

const (
	overloadEnterRatio   = 1.0  // the fleet becomes full above this ratio of demand to service rate
	overloadExitRatio    = 0.9  // a full fleet stays full above this ratio
	targetUtilization    = 0.96 // ratio of the cores that a full fleet is to keep in use
	utilizationGain      = 2.0  // increase of the capacity factor per unit of utilization below the target
	minCapacityFactor    = 0.85 // lower bound of the capacity factor
	maxCapacityFactor    = 1.3  // upper bound of the capacity factor
	thresholdGain        = 0.5  // weight of a new threshold against the previous one, in a fleet that stays full
	thresholdDecayStep   = 1.5  // bins by which the threshold falls at each tick once the fleet has capacity again
	maxRetryWindow       = 4 * time.Second
	minFreeCapacityRatio = 0.05 // smallest ratio of the service rate that is assumed to be free for retries
	minFirstAttemptRatio = 0.4  // smallest ratio of the demand that is assumed to be due to first attempts
	minDivisor           = 1e-3 // keeps quotients finite
)

// SheddingState is the load of the fleet as this member knows it, and the shedding threshold that follows from it.
type SheddingState struct {
	Known               bool          // recent loads of other members are known, and this member is not partitioned or alone
	Full                bool          // demand exceeds the service rate, with hysteresis
	Threshold           float64       // requests of a lower priority are to be shed; 0 = none
	TotalDemand         float64       // demand of the fleet, corrected for retries, in seconds of work per second
	ServiceRate         float64       // work that the fleet completes, in seconds of work per second
	RetryRatio          float64       // retries per first attempt in the fleet
	RetryBudgetExceeded bool          // the fleet is full and RetryRatio exceeds RetryBudget
	RetryWindow         time.Duration // time over which rejected clients are to spread their retries, 4 s at most
	Members             int           // number of members whose loads are counted, this one included
	Stale               int           // number of members whose loads are too old or not known
	OldestAge           time.Duration // age of the oldest load that is counted, see Aggregate.OldestAge
}

// classify returns the verdict on a request of the given priority.
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

// next returns the state that follows s, given the load of the whole fleet. In a fleet that stays full, the threshold moves
// by thresholdGain of the way to its new value at each tick. Once the fleet has capacity again, the threshold falls in
// steps of thresholdDecayStep, as the rejected clients retry then.
func (s *SheddingState) next(total *Aggregate) SheddingState {
	next := SheddingState{
		Known:       true,
		TotalDemand: total.Demand.Total(),
		ServiceRate: total.ServiceRate,
		RetryRatio:  total.retriesPerFirstAttempt(),
		Members:     total.Members,
		Stale:       total.Stale,
		OldestAge:   total.OldestAge,
	}
	next.RetryWindow = next.retryWindow()
	next.Full = next.TotalDemand > s.fullRatio()*total.ServiceRate
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

// fullRatio returns the ratio of demand to service rate above which the next state is full.
func (s *SheddingState) fullRatio() float64 {
	if s.Full {
		return overloadExitRatio
	}
	return overloadEnterRatio
}

// retryWindow returns how long the free capacity of the fleet needs for the work of the retries that arrive within
// demandTimeConstant, at most maxRetryWindow.
func (s *SheddingState) retryWindow() time.Duration {
	retryWork := s.TotalDemand * s.RetryRatio * demandTimeConstant.Seconds()
	free := max(s.ServiceRate-s.TotalDemand, minFreeCapacityRatio*s.ServiceRate)
	seconds := min(retryWork/max(free, minDivisor), maxRetryWindow.Seconds())
	return time.Duration(seconds * float64(time.Second))
}

// firstAttemptRatio returns the ratio of the counted demand that is due to first attempts. retryRatio is the ratio of all
// attempts that are retries, and knownRatio the ratio of attempts that are known retries. Known retries are not counted as
// demand. A retry that is not known is counted as a first attempt, for example one that another server rejected only
// milliseconds ago: AgeEstimator cannot distinguish so short an age from 0.
func firstAttemptRatio(retryRatio, knownRatio float64) float64 {
	ratio := (1 - retryRatio) / max(1-knownRatio, minDivisor)
	return min(max(ratio, minFirstAttemptRatio), 1)
}

// firstAttempts returns the attempts per second that are not retries.
func (a *Aggregate) firstAttempts() float64 { return a.Attempts - a.Retries }

// retriesPerFirstAttempt returns the number of retries per first attempt. It returns 0 if there are no first attempts.
func (a *Aggregate) retriesPerFirstAttempt() float64 {
	if a.firstAttempts() <= 0 {
		return 0
	}
	return a.Retries / a.firstAttempts()
}

// capacityFactor returns the demand to admit as a multiple of the service rate. It exceeds 1 while cores are idle although
// the fleet is full: then demand includes retries that were counted as first attempts. It is 1 if the utilization of no
// member is known.
func (a *Aggregate) capacityFactor() float64 {
	utilization := a.Utilization()
	if utilization < 0 {
		return 1
	}
	return min(max(1+utilizationGain*(targetUtilization-utilization), minCapacityFactor), maxCapacityFactor)
}
