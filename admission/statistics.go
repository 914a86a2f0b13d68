package admission

import (
	"math"
	"time"
)

// rollingWindow is a pair of sums over the recent past, kept in equal buckets of time.
type rollingWindow struct {
	width      time.Duration // of a bucket
	buckets    [][2]float64
	sums       [2]float64
	lastBucket int64 // number of the newest bucket since time 0
}

func newRollingWindow(span time.Duration, buckets int) *rollingWindow {
	width := max(span/time.Duration(buckets), 1)
	return &rollingWindow{width: width, buckets: make([][2]float64, buckets)}
}

// advance drops the buckets that have left the window at now.
func (r *rollingWindow) advance(now time.Duration) {
	newest := int64(now / r.width)
	steps := newest - r.lastBucket
	if steps <= 0 {
		return
	}
	r.lastBucket = newest
	size := int64(len(r.buckets))
	if steps >= size {
		clear(r.buckets)
		r.sums = [2]float64{}
		return
	}
	for number := newest - steps + 1; number <= newest; number++ {
		bucket := &r.buckets[number%size]
		r.sums[0] -= bucket[0]
		r.sums[1] -= bucket[1]
		*bucket = [2]float64{}
	}
}

func (r *rollingWindow) add(now time.Duration, first, second float64) {
	r.advance(now)
	bucket := &r.buckets[r.lastBucket%int64(len(r.buckets))]
	bucket[0] += first
	bucket[1] += second
	r.sums[0] += first
	r.sums[1] += second
}

// totalsAt returns both sums at now. Rounding never makes one negative.
func (r *rollingWindow) totalsAt(now time.Duration) (first, second float64) {
	r.advance(now)
	return max(r.sums[0], 0), max(r.sums[1], 0)
}

// decayingPair is a pair of sums that decay exponentially.
type decayingPair struct {
	timeConstant       time.Duration
	primary, secondary float64
	updatedAt          time.Duration
}

func (d *decayingPair) add(now time.Duration, primary, secondary float64) {
	d.decayTo(now)
	d.primary += primary
	d.secondary += secondary
}

func (d *decayingPair) decayTo(now time.Duration) {
	if now > d.updatedAt {
		factor := math.Exp(-float64(now-d.updatedAt) / float64(d.timeConstant))
		d.primary *= factor
		d.secondary *= factor
		d.updatedAt = now
	}
}

// movingAverage is an exponential moving average that takes its first value whole.
type movingAverage struct {
	value float64
	set   bool
}

func (m *movingAverage) add(value, gain float64) {
	if !m.set {
		m.value, m.set = value, true
		return
	}
	m.value += gain * (value - m.value)
}

// or returns the average, or a default while there is none.
func (m *movingAverage) or(value float64) float64 {
	if m.set {
		return m.value
	}
	return value
}

// linearFit is a straight line through recent points, older ones weighing less. Its slope is kept between 0 and
// that of the line through the origin.
type linearFit struct{ x, y, xx, xy movingAverage }

func (f *linearFit) add(x, y, gain float64) {
	f.x.add(x, gain)
	f.y.add(y, gain)
	f.xx.add(x*x, gain)
	f.xy.add(x*y, gain)
}

func (f *linearFit) valueAt(x float64) float64 {
	slope := 0.0
	if variance := f.xx.value - f.x.value*f.x.value; variance > 1e-9 {
		slope = min(max((f.xy.value-f.x.value*f.y.value)/variance, 0), f.y.value/max(f.x.value, 1e-9))
	}
	return f.y.value + slope*(x-f.x.value)
}

// seconds turns a figure into a duration, without an overflow for very large ones.
func seconds(value float64) time.Duration {
	return time.Duration(min(value, 1e6) * float64(time.Second))
}

func scale(duration time.Duration, factor float64) time.Duration {
	return time.Duration(float64(duration) * factor)
}
