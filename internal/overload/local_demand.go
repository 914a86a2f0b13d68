package overload

import (
	"math"
	"time"
)

// demandTimeConstant is the time in which the weight of a counted attempt decays to 1/e.
const demandTimeConstant = 2 * time.Second

// localDemand measures the demand at this server by exponentially decaying sums over the attempts that arrive.
type localDemand struct {
	work         Demand        // sum of the work of all attempts but known retries, in seconds
	attempts     float64       // number of attempts, known retries included
	knownRetries float64       // number of attempts that are known to be retries
	decayedAt    time.Duration // time of the last decay
	started      bool          // decayedAt is set
}

// add counts an attempt. The work of a known retry is left out, as it was counted with the first attempt.
func (d *localDemand) add(priority, work float64, knownRetry bool) {
	d.attempts++
	if knownRetry {
		d.knownRetries++
	} else {
		d.work[int(priority)] += work
	}
}

// decay reduces the sums by the time since the last decay.
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

// decayFactor returns the ratio of a decaying sum that is left after the elapsed time.
func decayFactor(elapsed, timeConstant time.Duration) float64 {
	return math.Exp(-float64(elapsed) / float64(timeConstant))
}

// rate returns the demand in seconds of work per second.
func (d *localDemand) rate() (demand Demand) {
	for bin, work := range d.work {
		demand[bin] = work / demandTimeConstant.Seconds()
	}
	return demand
}

// knownRetryRatio returns the ratio of the attempts that are known to be retries, 0 to 1.
func (d *localDemand) knownRetryRatio() float64 { return d.knownRetries / max(d.attempts, 1) }
