package overload

import (
	"math"
	"slices"
	"time"
)

const (
	timeoutBucketWidth          = 10 * time.Millisecond // a first attempt may be off by one bucket
	commonTimeoutRatio          = 0.04                  // of the attempts of a class, from which a timeout is common
	minCommonTimeoutAttempts    = 6.0                   // and attempts, from which it is
	minClassAttempts            = 25.0                  // of a class, before any timeout is common
	attemptCountHalvingInterval = 10 * time.Second
	minBucketCount              = 0.25 // a bucket with less is dropped
	maxTimeoutBuckets           = 1024 // of a class
)

// timeoutHistogram counts the attempts of a class by the time that their clients still wait.
type timeoutHistogram struct {
	counts          map[int]float64 // by bucket, decayed
	total           float64
	nextDecay       time.Duration
	nextUpdateTotal float64 // total from which common buckets are looked for again
	commonBuckets   []int   // in ascending order
}

func newTimeoutHistogram(now time.Duration) *timeoutHistogram {
	return &timeoutHistogram{
		counts:          map[int]float64{},
		nextDecay:       now + attemptCountHalvingInterval,
		nextUpdateTotal: minClassAttempts,
	}
}

// timeoutBucket returns the bucket of a timeout.
func timeoutBucket(timeout time.Duration) int { return int(timeout / timeoutBucketWidth) }

// count counts an attempt, unless there is no room for another bucket.
func (h *timeoutHistogram) count(timeout time.Duration) {
	bucket := timeoutBucket(timeout)
	if _, ok := h.counts[bucket]; ok || len(h.counts) < maxTimeoutBuckets {
		h.counts[bucket]++
		h.total++
	}
}

// age returns how much a timeout falls short of the next common one; 0 if it is within a bucket of a common one, or
// longer than all.
func (h *timeoutHistogram) age(timeout time.Duration) time.Duration {
	bucket := timeoutBucket(timeout)
	for _, common := range h.commonBuckets {
		switch {
		case bucket > common+1: // longer than this one
		case bucket >= common-1:
			return 0
		default:
			return time.Duration(common)*timeoutBucketWidth - timeout
		}
	}
	return 0
}

// shouldUpdate reports whether the common timeouts are to be found anew.
func (h *timeoutHistogram) shouldUpdate(now time.Duration) bool {
	return now >= h.nextDecay || h.total >= h.nextUpdateTotal
}

// update finds the common timeouts, and halves the counts when it is time. The next update is due when the total has
// doubled, or else at the next decay.
func (h *timeoutHistogram) update(now time.Duration) {
	h.nextUpdateTotal = 2 * h.total
	h.findCommonBuckets()
	if now >= h.nextDecay {
		h.decay()
		h.nextDecay = now + attemptCountHalvingInterval
		h.nextUpdateTotal = math.Inf(1)
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
