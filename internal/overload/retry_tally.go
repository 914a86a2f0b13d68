package overload

import "time"

const (
	requestTrackingTime    = 8 * time.Second // time after a request's first counted attempt in which more are assigned to it
	maxTrackedRequests     = 4096
	retryRatioTimeConstant = 5 * time.Second // time constant of the tally and of the attempt rate
	minCountedRequests     = 4.0             // decayed count of requests below which the ratio is reported as 0
)

// retryTally counts requests and their attempts. Both counts decay exponentially.
type retryTally struct {
	tracked  expirySet // requests of which an attempt was counted lately
	requests float64   // decayed count of requests
	attempts float64   // decayed count of attempts, first attempts included
}

// add counts an attempt of a request. It ignores the attempt if the request is new and maxTrackedRequests are tracked.
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

// decay multiplies the counts by factor.
func (t *retryTally) decay(factor float64) {
	t.requests *= factor
	t.attempts *= factor
}

// retryRatio returns the ratio of the attempts that are retries, 0 to 1. It returns 0 if fewer than minCountedRequests
// requests were counted.
func (t *retryTally) retryRatio() float64 {
	if t.requests < minCountedRequests {
		return 0
	}
	return max(1-t.requests/t.attempts, 0)
}
