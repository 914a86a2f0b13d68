package overload

import (
	"math"
	"time"
)

const demandTimeConstant = 2 * time.Second // of the mean of demand

// localDemand is the demand at this server: decaying sums of what arrives.
type localDemand struct {
	work         Demand  // seconds of work, without known retries
	attempts     float64 // requests
	knownRetries float64 // part of attempts
	decayedAt    time.Duration
	started      bool
}

// add counts a request. The work of a known retry was counted with its first attempt.
func (d *localDemand) add(priority, work float64, knownRetry bool) {
	d.attempts++
	if knownRetry {
		d.knownRetries++
	} else {
		d.work[int(priority)] += work
	}
}

// decay ages what was counted.
func (d *localDemand) decay(now time.Duration) {
	if d.started {
		factor := decayFactor(now-d.decayedAt, demandTimeConstant)
		d.work.scale(factor)
		d.attempts *= factor
		d.knownRetries *= factor
	}
	d.started = true
	d.decayedAt = now
}

// decayFactor returns what is left of a decaying sum.
func decayFactor(elapsed, timeConstant time.Duration) float64 {
	return math.Exp(-float64(elapsed) / float64(timeConstant))
}

// rate returns the demand in seconds of work a second.
func (d *localDemand) rate() (demand Demand) {
	for bin, work := range d.work {
		demand[bin] = work / demandTimeConstant.Seconds()
	}
	return demand
}

// knownRetryRatio returns the part of the requests that are known to be retries.
func (d *localDemand) knownRetryRatio() float64 { return d.knownRetries / max(d.attempts, 1) }
