package overload

import "time"

const (
	requestTrackingTime    = 8 * time.Second // for which the attempts of a request are counted together
	maxTrackedRequests     = 4096
	retryRatioTimeConstant = 5 * time.Second
	minCountedRequests     = 4.0 // decayed, below which no ratio is given
)

// retryTally counts requests and their attempts; both counts decay.
type retryTally struct {
	tracked  expirySet // requests whose further attempts are known as such
	requests float64
	attempts float64
}

// add counts an attempt of a request; a request that there is no room for is not counted.
func (t *retryTally) add(now time.Duration, fingerprint uint64) {
	if !t.tracked.has(fingerprint) {
		if t.tracked.size() >= maxTrackedRequests {
			return
		}
		t.tracked.put(fingerprint, now+requestTrackingTime)
		t.requests++
	}
	t.attempts++
}

// decay ages the counts by a factor.
func (t *retryTally) decay(factor float64) {
	t.requests *= factor
	t.attempts *= factor
}

// retryRatio returns the part of the attempts that are retries; 0 if too few requests were counted.
func (t *retryTally) retryRatio() float64 {
	if t.requests < minCountedRequests {
		return 0
	}
	return max(1-t.requests/t.attempts, 0)
}
