package rolling

import "time"

// Window is a sum over the recent past, kept in buckets of equal width. When a new bucket begins, the oldest
// one is dropped with all its values. A value therefore counts for the span of the window or up to one bucket
// width less.
type Window struct {
	width      time.Duration // of a bucket
	buckets    []float64     // ring buffer of bucket sums: bucket number n is at index n % len(buckets)
	sum        float64       // of all buckets
	lastBucket int64         // number of the newest bucket, counted from time 0
}

// NewWindow returns an empty window that ends at now.
func NewWindow(now, span time.Duration, buckets int) *Window {
	width := max(span/time.Duration(buckets), 1)
	window := &Window{width: width, buckets: make([]float64, buckets)}
	window.advance(now)
	return window
}

// Add adds value to the newest bucket at now.
func (w *Window) Add(now time.Duration, value float64) {
	w.advance(now)
	w.buckets[w.lastBucket%int64(len(w.buckets))] += value
	w.sum += value
}

// Sum returns the sum of the window that ends at now. It is never negative, despite rounding.
func (w *Window) Sum(now time.Duration) float64 {
	w.advance(now)
	return max(w.sum, 0)
}

// advance drops the buckets that are outside the window at now.
func (w *Window) advance(now time.Duration) {
	newest := int64(now / w.width)
	steps := newest - w.lastBucket
	if steps <= 0 {
		return
	}
	w.lastBucket = newest
	size := int64(len(w.buckets))
	if steps >= size {
		clear(w.buckets)
		w.sum = 0
		return
	}
	for number := newest - steps + 1; number <= newest; number++ {
		w.sum -= w.buckets[number%size]
		w.buckets[number%size] = 0
	}
}
