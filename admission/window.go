package admission

import (
	"container/heap"
	"math"
	"slices"
	"time"
)

// ring is a rolling window of two sums over equal buckets of time.
type ring struct {
	width time.Duration
	slots [][2]float64
	sum   [2]float64
	last  int64
}

func newRing(span time.Duration, buckets int) *ring {
	return &ring{width: max(span/time.Duration(buckets), 1), slots: make([][2]float64, buckets)}
}

// advance drops the buckets that have left the window at now.
func (r *ring) advance(now time.Duration) {
	n := int64(now / r.width)
	steps := n - r.last
	if steps <= 0 {
		return
	}
	r.last = n
	size := int64(len(r.slots))
	if steps >= size {
		clear(r.slots)
		r.sum = [2]float64{}
		return
	}
	for i := n - steps + 1; i <= n; i++ {
		s := &r.slots[i%size]
		r.sum[0] -= s[0]
		r.sum[1] -= s[1]
		*s = [2]float64{}
	}
}

func (r *ring) add(now time.Duration, a, b float64) {
	r.advance(now)
	s := &r.slots[r.last%int64(len(r.slots))]
	s[0] += a
	s[1] += b
	r.sum[0] += a
	r.sum[1] += b
}

// totals returns both sums at now; rounding never makes one negative.
func (r *ring) totals(now time.Duration) (float64, float64) {
	r.advance(now)
	return max(r.sum[0], 0), max(r.sum[1], 0)
}

// decay is a pair of sums that fade with a time constant.
type decay struct {
	tau  time.Duration
	a, b float64
	at   time.Duration
}

func (d *decay) add(now time.Duration, a, b float64) {
	d.fade(now)
	d.a += a
	d.b += b
}

func (d *decay) fade(now time.Duration) {
	if now > d.at {
		f := math.Exp(-float64(now-d.at) / float64(d.tau))
		d.a *= f
		d.b *= f
		d.at = now
	}
}

// mean is a moving average that takes its first value whole.
type mean struct {
	v   float64
	set bool
}

func (m *mean) add(x, gain float64) {
	if !m.set {
		m.v, m.set = x, true
		return
	}
	m.v += gain * (x - m.v)
}

func (m *mean) or(x float64) float64 {
	if m.set {
		return m.v
	}
	return x
}

// fit is a straight line through recent points, the older ones fading. Its slope is held between 0 and
// that of the line through the origin.
type fit struct{ x, y, xx, xy mean }

func (f *fit) add(x, y, gain float64) {
	f.x.add(x, gain)
	f.y.add(y, gain)
	f.xx.add(x*x, gain)
	f.xy.add(x*y, gain)
}

func (f *fit) at(x float64) float64 {
	slope := 0.0
	if spread := f.xx.v - f.x.v*f.x.v; spread > 1e-9 {
		slope = min(max((f.xy.v-f.x.v*f.y.v)/spread, 0), f.y.v/max(f.x.v, 1e-9))
	}
	return f.y.v + slope*(x-f.x.v)
}

// item is an entry of a queue: a time, an order of entry, and what it is about.
type item[T any] struct {
	at  time.Duration
	seq uint64
	val T
}

type items[T any] []item[T]

func (s items[T]) Len() int { return len(s) }
func (s items[T]) Less(i, j int) bool {
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].seq < s[j].seq
}
func (s items[T]) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *items[T]) Push(x any)   { *s = append(*s, x.(item[T])) }
func (s *items[T]) Pop() any {
	old := *s
	n := len(old) - 1
	x := old[n]
	old[n] = item[T]{}
	*s = old[:n]
	return x
}

// queue yields values by time, equal times in order of entry. Values that no longer matter are
// left in it and passed over by whoever takes them out.
type queue[T any] struct {
	list items[T]
	seq  uint64
}

func (q *queue[T]) push(at time.Duration, v T) {
	q.seq++
	heap.Push(&q.list, item[T]{at, q.seq, v})
}

func (q *queue[T]) empty() bool           { return len(q.list) == 0 }
func (q *queue[T]) head() (T, bool)       { return q.peek(len(q.list) > 0) }
func (q *queue[T]) headAt() time.Duration { return q.list[0].at }
func (q *queue[T]) pop() T                { return heap.Pop(&q.list).(item[T]).val }

// drop takes out all values that out is true for, which is asked in no certain order.
func (q *queue[T]) drop(out func(T) bool) {
	n := len(q.list)
	q.list = slices.DeleteFunc(q.list, func(i item[T]) bool { return out(i.val) })
	if len(q.list) < n {
		heap.Init(&q.list)
	}
}

func (q *queue[T]) peek(ok bool) (v T, _ bool) {
	if ok {
		v = q.list[0].val
	}
	return v, ok
}
