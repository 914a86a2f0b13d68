package admission

import (
	"time"

	"falldeal/admission/internal/rolling"
)

const (
	retryStormRatio = 0.4 // part of arrivals that are retries, or rejected, in a retry storm
	readDelayGain   = 0.1 // weight of a new request in the mean read delay
	readDelayDecay  = 0.98
)

// arrivalRate is the recent rate of requests, and of retries among them.
type arrivalRate struct {
	counts rolling.DecayingPair // First: requests; Second: retries, or rejections that stand for them
}

func newArrivalRate() arrivalRate {
	return arrivalRate{counts: rolling.NewDecayingPair(offeredTimeConstant, 0, 0)}
}

// add counts a request that was read.
func (a *arrivalRate) add(now time.Duration, retry bool) {
	retries := 0.0
	if retry {
		retries = 1
	}
	a.counts.Add(now, 1, retries)
}

// addRejection counts a rejection for the retry that it causes, where retries are not marked.
func (a *arrivalRate) addRejection(now time.Duration) { a.counts.Add(now, 0, 1) }

// retryStorm reports whether so many arrivals are retries that the servers must all be as full.
func (a *arrivalRate) retryStorm() bool { return a.counts.Second > retryStormRatio*a.counts.First }

// meanClientInterval is the mean time between two requests of one of so many clients to this server.
func (a *arrivalRate) meanClientInterval(clients int) time.Duration {
	return scale(offeredTimeConstant, float64(clients)/max(a.counts.First, 1))
}

// readDelay is the mean time for which requests have waited to be read. It falls with each sweep, so that it
// is forgotten where nothing arrives.
type readDelay struct {
	mean rolling.Average // seconds
}

// observe adds the delay of a request that was read to the mean.
func (r *readDelay) observe(waited time.Duration) {
	r.mean.Add(max(waited, 0).Seconds(), readDelayGain)
}

// decay lowers the mean, once per sweep.
func (r *readDelay) decay() { r.mean.Scale(readDelayDecay) }

// exceeds reports whether the mean is above a part of an objective.
func (r *readDelay) exceeds(ratio float64, objective time.Duration) bool {
	return r.mean.Value() > ratio*objective.Seconds()
}
