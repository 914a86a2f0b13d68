package admission

import (
	"time"

	"falldeal/admission/internal/rolling"
)

const (
	retryStormRatio = 0.4  // fraction of retries in arrivals above which there is a retry storm
	readDelayGain   = 0.1  // weight of a new request in the mean read delay
	readDelayDecay  = 0.98 // factor on the mean read delay per periodic decision (100 ms)
)

// arrivalRate holds the recent rates of requests and of retries, with offeredTimeConstant.
type arrivalRate struct {
	counts rolling.DecayingPair // First: requests; Second: retries (see addRejection)
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

// addRejection counts a rejection as the retry that it causes. It is used where retries are not marked.
func (a *arrivalRate) addRejection(now time.Duration) { a.counts.Add(now, 0, 1) }

// retryStorm reports whether so many arrivals are retries that all servers must be full.
func (a *arrivalRate) retryStorm() bool { return a.counts.Second > retryStormRatio*a.counts.First }

// meanClientInterval returns the mean time between two requests of a client to this server, given the number
// of clients.
func (a *arrivalRate) meanClientInterval(clients int) time.Duration {
	return scale(offeredTimeConstant, float64(clients)/max(a.counts.First, 1))
}

// readDelay is the mean time that requests waited to be read. It decays at each periodic decision, so that it
// is forgotten when no requests arrive.
type readDelay struct {
	mean rolling.Average // in seconds
}

// observe adds the time that a request waited to be read. A negative time, due to differing clocks, counts as
// 0.
func (r *readDelay) observe(waited time.Duration) {
	r.mean.Add(max(waited, 0).Seconds(), readDelayGain)
}

// decay lowers the mean, once per periodic decision.
func (r *readDelay) decay() { r.mean.Scale(readDelayDecay) }

// exceeds reports whether the mean is above ratio times objective.
func (r *readDelay) exceeds(ratio float64, objective time.Duration) bool {
	return r.mean.Value() > ratio*objective.Seconds()
}
