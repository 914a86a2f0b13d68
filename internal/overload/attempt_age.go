package overload

import (
	"math"
	"slices"
	"time"
)

// No attempt is marked as a retry, but each states how long its client still waits. A client that limits the time over
// all attempts states less with each one, and the difference to the first is the age of the request. Timeouts are
// configured somewhere, so first attempts come with the same few timeouts over and over and later ones with any. A
// timeout that is common is therefore that of a first attempt; an attempt that falls short of the next common one is at
// least that old. If timeouts are all the same or all different, nothing is learned.
const (
	timeoutBucketWidth       = 10 * time.Millisecond // a first attempt may be off by one bucket
	commonTimeoutRatio       = 0.04                  // of the attempts of a class, from which a timeout is common
	minCommonTimeoutAttempts = 6.0                   // and attempts, from which it is
	minClassAttempts         = 25.0                  // of a class, before any timeout is common
	attemptCountHalfLife     = 10 * time.Second
	minBucketCount           = 0.25 // a bucket with less is dropped
	maxTimeoutBuckets        = 1024 // of a class
	maxEstimatedClasses      = 64
)

// timeoutHistogram counts the attempts of a class by the time that their clients still wait.
type timeoutHistogram struct {
	counts          map[int]float64 // by bucket, decayed
	total           float64
	nextDecay       time.Duration
	nextUpdateTotal float64 // total from which common buckets are looked for again
	commonBuckets   []int   // in ascending order
}

// AgeEstimator estimates the age of requests from their clients' timeouts, by class. It belongs to one goroutine.
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
	bucket := int(timeout / timeoutBucketWidth)
	histogram.count(bucket)
	if now >= histogram.nextDecay || histogram.total >= histogram.nextUpdateTotal {
		histogram.update(now)
	}
	for _, common := range histogram.commonBuckets {
		switch {
		case bucket > common+1:
		case bucket >= common-1:
			return 0
		default:
			return time.Duration(common)*timeoutBucketWidth - timeout
		}
	}
	return 0
}

// histogram returns the histogram of a class; nil if there is no room for another one.
func (e *AgeEstimator) histogram(now time.Duration, class string) *timeoutHistogram {
	if histogram := e.classes[class]; histogram != nil {
		return histogram
	}
	if len(e.classes) >= maxEstimatedClasses {
		return nil
	}
	histogram := &timeoutHistogram{
		counts:          map[int]float64{},
		nextDecay:       now + attemptCountHalfLife,
		nextUpdateTotal: minClassAttempts,
	}
	e.classes[class] = histogram
	return histogram
}

// count counts an attempt, unless there is no room for another bucket.
func (h *timeoutHistogram) count(bucket int) {
	if _, ok := h.counts[bucket]; ok || len(h.counts) < maxTimeoutBuckets {
		h.counts[bucket]++
		h.total++
	}
}

// update finds the common timeouts, and halves the counts when it is time. The next update is due when the total has
// doubled, or else at the next decay.
func (h *timeoutHistogram) update(now time.Duration) {
	h.nextUpdateTotal = 2 * h.total
	h.findCommonBuckets()
	if now >= h.nextDecay {
		h.decay()
		h.nextDecay, h.nextUpdateTotal = now+attemptCountHalfLife, math.Inf(1)
	}
}

func (h *timeoutHistogram) findCommonBuckets() {
	h.commonBuckets = h.commonBuckets[:0]
	if h.total < minClassAttempts {
		return
	}
	for bucket := range h.counts {
		if bucket >= 0 && h.isCommon(bucket) {
			h.commonBuckets = append(h.commonBuckets, bucket)
		}
	}
	slices.Sort(h.commonBuckets)
}

// isCommon reports whether a bucket and its neighbours have enough attempts, and none of the two has more than it.
func (h *timeoutHistogram) isCommon(bucket int) bool {
	below, count, above := h.counts[bucket-1], h.counts[bucket], h.counts[bucket+1]
	return below+count+above >= max(commonTimeoutRatio*h.total, minCommonTimeoutAttempts) && count >= max(below, above)
}

// decay halves the counts and drops buckets that have next to none.
func (h *timeoutHistogram) decay() {
	h.total = 0
	for bucket, count := range h.counts {
		count /= 2
		if count < minBucketCount {
			delete(h.counts, bucket)
			continue
		}
		h.counts[bucket] = count
		h.total += count
	}
}
