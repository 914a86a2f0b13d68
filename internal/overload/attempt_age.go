package overload

import "time"

// maxEstimatedClasses bounds the classes whose timeouts are learned.
const maxEstimatedClasses = 64

// AgeEstimator estimates the age of requests from their clients' timeouts, by class.
//
// No attempt is marked as a retry, but each states how long its client still waits. A client that limits the time over
// all attempts states less with each one, and the difference to the first is the age of the request. Timeouts are
// configured somewhere, so first attempts come with the same few timeouts over and over and later ones with any. A
// timeout that is common is therefore that of a first attempt; an attempt that falls short of the next common one is at
// least that old. If timeouts are all the same or all different, nothing is learned.
//
// It belongs to one goroutine.
type AgeEstimator struct{ classes map[string]*timeoutHistogram }

// NewAgeEstimator returns an estimator that has learned nothing.
func NewAgeEstimator() *AgeEstimator { return &AgeEstimator{map[string]*timeoutHistogram{}} }

// Age counts an attempt whose client still waits for the given time. It returns how long ago the first attempt of the
// request was sent, at least; 0 for a first attempt and if nothing is known.
func (e *AgeEstimator) Age(now time.Duration, class string, timeout time.Duration) time.Duration {
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

// histogram returns the histogram of a class; nil if there is no room for another one.
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
