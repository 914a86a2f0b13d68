package overload

import (
	"math"
	"time"
)

// No try is marked as a repeat, but each tells how long its caller still waits. A caller that waits for a request so long
// over all tries tells less with each: what is missing to what it tells at first is the age of the request. Callers wait
// for a handful of times that are configured somewhere, so that first tries come with the same few waits again and
// again, and later ones with any: a wait that is seen often is that of a first try, and what falls short of the next such
// is at least that old. Where waits are all alike, or all different, nothing is learned, as today.
const (
	timeoutBucketWidth       = 10 * time.Millisecond // width of a bucket of waits; a first try may be off by one
	commonTimeoutRatio       = 0.04                  // of the tries of a class, that makes a wait one of first tries
	minCommonTimeoutAttempts = 6.0                   // and tries that do so at least
	minClassAttempts         = 25.0                  // tries of a class before anything is said
	attemptCountHalfLife     = 10 * time.Second      // after which what was counted counts half
	minBucketCount           = 0.25                  // a bucket that counts less is dropped
	maxTimeoutBuckets        = 1024                  // buckets of a class
	maxEstimatedClasses      = 64                    // classes
)

// timeoutHistogram counts the tries of a class by how long their callers wait.
type timeoutHistogram struct {
	counts          map[int]float64
	total           float64
	nextDecay       time.Duration // when to halve next
	nextUpdateCount float64       // count at which to look for first tries next
	commonBuckets   []int         // buckets of first tries, in order
}

// AgeEstimator knows how long callers wait for requests, by class. It belongs to one goroutine.
type AgeEstimator struct{ classes map[string]*timeoutHistogram }

// NewAgeEstimator knows nothing.
func NewAgeEstimator() *AgeEstimator { return &AgeEstimator{map[string]*timeoutHistogram{}} }

// Age takes in how long a caller still waits, and returns how long ago it sent the first try of that request, at least;
// 0 for a first try, and where nothing shows.
func (p *AgeEstimator) Age(now time.Duration, class string, timeout time.Duration) time.Duration {
	histogram := p.classes[class]
	if histogram == nil {
		if len(p.classes) >= maxEstimatedClasses {
			return 0
		}
		histogram = &timeoutHistogram{counts: map[int]float64{}, nextDecay: now + attemptCountHalfLife, nextUpdateCount: minClassAttempts}
		p.classes[class] = histogram
	}
	bucket := int(timeout / timeoutBucketWidth)
	if _, ok := histogram.counts[bucket]; ok || len(histogram.counts) < maxTimeoutBuckets {
		histogram.counts[bucket]++
		histogram.total++
	}
	if now >= histogram.nextDecay || histogram.total >= histogram.nextUpdateCount {
		histogram.nextUpdateCount = 2 * histogram.total
		histogram.update(now)
	}
	for _, commonBucket := range histogram.commonBuckets {
		if bucket <= commonBucket+1 {
			if bucket >= commonBucket-1 {
				return 0
			}
			return time.Duration(commonBucket)*timeoutBucketWidth - timeout
		}
	}
	return 0
}

// update finds which waits are those of first tries, and has older ones count less.
func (w *timeoutHistogram) update(now time.Duration) {
	w.commonBuckets = w.commonBuckets[:0]
	maxBucket := 0
	for bucket := range w.counts {
		maxBucket = max(maxBucket, bucket)
	}
	for bucket := 0; bucket <= maxBucket && w.total >= minClassAttempts; bucket++ {
		if w.counts[bucket] > 0 && w.counts[bucket-1]+w.counts[bucket]+w.counts[bucket+1] >= max(commonTimeoutRatio*w.total, minCommonTimeoutAttempts) && w.counts[bucket] >= max(w.counts[bucket-1], w.counts[bucket+1]) {
			w.commonBuckets = append(w.commonBuckets, bucket)
		}
	}
	if now < w.nextDecay {
		return
	}
	w.nextDecay, w.total, w.nextUpdateCount = now+attemptCountHalfLife, 0, math.Inf(1)
	for bucket, count := range w.counts {
		if count /= 2; count < minBucketCount {
			delete(w.counts, bucket)
			continue
		}
		w.counts[bucket] = count
		w.total += count
	}
}
