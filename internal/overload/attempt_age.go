package overload

import "time"

// maxEstimatedClasses bounds the number of classes with a histogram of timeouts.
const maxEstimatedClasses = 64

// AgeEstimator estimates the age of requests from the timeouts of their attempts. It learns the timeouts of first attempts
// for each class.
//
// No attempt is marked as a retry, but each states its timeout: how long its client still waits. A client that limits the
// time over all attempts states less with each attempt. The difference from the first attempt is the age of the request.
//
//   - First attempts have a few configured timeouts, which recur; retries have any. An attempt with a common timeout is
//     therefore classified as a first attempt.
//   - An attempt with another timeout is classified as a retry if a longer timeout is common. The age of its request is at
//     least the difference to the next longer common timeout.
//   - If the timeouts of a class are all the same or all different, no attempt is classified as a retry.
//
// It belongs to one goroutine.
type AgeEstimator struct{ classes map[string]*timeoutHistogram }

// NewAgeEstimator returns an estimator that has not learned any timeouts.
func NewAgeEstimator() *AgeEstimator { return &AgeEstimator{map[string]*timeoutHistogram{}} }

// RecordAttempt counts an attempt with the given remaining timeout. It returns 0 unless it classifies the attempt as a
// retry; then it returns the age of the request, the time since its first attempt was sent. It assumes that the first
// attempt had the next longer common timeout: the request is older if that had a longer one. The age may be too high by
// timeoutBucketWidth.
func (e *AgeEstimator) RecordAttempt(now time.Duration, class string, timeout time.Duration) (age time.Duration) {
	histogram := e.histogram(now, class)
	if histogram == nil {
		return 0
	}
	histogram.count(timeout)
	if histogram.shouldUpdate(now) {
		histogram.update(now)
	}
	return histogram.age(timeout)
}

// histogram returns the histogram of a class. It returns nil for a new class if maxEstimatedClasses classes have one.
func (e *AgeEstimator) histogram(now time.Duration, class string) *timeoutHistogram {
	if histogram := e.classes[class]; histogram != nil {
		return histogram
	}
	if len(e.classes) >= maxEstimatedClasses {
		return nil
	}
	histogram := newTimeoutHistogram(now)
	e.classes[class] = histogram
	return histogram
}
