package overload

import (
	"math"
	"slices"
	"time"
)

const (
	timeoutBucketWidth          = 10 * time.Millisecond // a timeout within one bucket of a common one counts as common
	commonTimeoutRatio          = 0.04                  // a common timeout has at least 4% of the attempts of its class
	minCommonTimeoutAttempts    = 6.0                   // a common timeout also has at least 6 attempts
	minClassAttempts            = 25.0                  // a class with fewer attempts has no common timeout
	attemptCountHalvingInterval = 10 * time.Second
	minBucketCount              = 0.25 // a bucket with a lower count is dropped
	maxTimeoutBuckets           = 1024 // buckets of one class
)

// timeoutHistogram counts the attempts of a class by their remaining timeouts, and finds the common timeouts. The counts
// are halved every 10 s.
type timeoutHistogram struct {
	counts          map[int]float64 // decayed count of attempts by bucket
	total           float64         // sum of counts
	nextDecay       time.Duration   // when the counts are halved next
	nextUpdateTotal float64         // total from which the common buckets are found again before nextDecay
	commonBuckets   []int           // buckets of the common timeouts, in ascending order
}

func newTimeoutHistogram(now time.Duration) *timeoutHistogram {
	return &timeoutHistogram{
		counts:          map[int]float64{},
		nextDecay:       now + attemptCountHalvingInterval,
		nextUpdateTotal: minClassAttempts,
	}
}

// timeoutBucket returns the index of the bucket that a timeout falls into.
func timeoutBucket(timeout time.Duration) int { return int(timeout / timeoutBucketWidth) }

// count counts an attempt. It ignores the attempt if that would exceed maxTimeoutBuckets.
func (h *timeoutHistogram) count(timeout time.Duration) {
	bucket := timeoutBucket(timeout)
	if _, ok := h.counts[bucket]; ok || len(h.counts) < maxTimeoutBuckets {
		h.counts[bucket]++
		h.total++
	}
}

// age returns the difference from a timeout to the next longer common one. It returns 0 if the timeout is within one
// bucket of a common one or longer than all of them.
func (h *timeoutHistogram) age(timeout time.Duration) time.Duration {
	bucket := timeoutBucket(timeout)
	for _, common := range h.commonBuckets {
		switch {
		case bucket > common+1: // longer than this common timeout
		case bucket >= common-1:
			return 0
		default:
			return time.Duration(common)*timeoutBucketWidth - timeout
		}
	}
	return 0
}

// shouldUpdate reports whether the common timeouts are to be found again now.
func (h *timeoutHistogram) shouldUpdate(now time.Duration) bool {
	return now >= h.nextDecay || h.total >= h.nextUpdateTotal
}

// update finds the common timeouts, and halves the counts if nextDecay has come. Before the first halving, updates are
// also due each time the total has doubled, from minClassAttempts on. After it, they are due at each halving only.
func (h *timeoutHistogram) update(now time.Duration) {
	h.nextUpdateTotal = 2 * h.total
	h.findCommonBuckets()
	if now >= h.nextDecay {
		h.decay()
		h.nextDecay = now + attemptCountHalvingInterval
		h.nextUpdateTotal = math.Inf(1)
	}
}

// findCommonBuckets sets commonBuckets by the current counts.
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

// isCommon reports whether a bucket has a common timeout: it and its two neighbours together have enough attempts, and
// neither neighbour has more than the bucket.
func (h *timeoutHistogram) isCommon(bucket int) bool {
	below, count, above := h.counts[bucket-1], h.counts[bucket], h.counts[bucket+1]
	return below+count+above >= max(commonTimeoutRatio*h.total, minCommonTimeoutAttempts) && count >= max(below, above)
}

// decay halves the counts and drops the buckets that are then below minBucketCount.
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
