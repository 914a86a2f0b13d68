// Package workerpool models what serves requests behind an image server: the cores of a render farm agent, and the
// slots of a store. It reads no clock: callers pass in the time and get back what has completed.
//
// Work in flight shares the pool evenly. The model leaves out memory, disks and unequal sharing between runs; a real
// agent's throughput past its knee does not fall along a straight line.
package workerpool

import (
	"math"
	"slices"
	"time"
)

const (
	// maxStep bounds the time for which a changing speed is taken as constant.
	maxStep = 50 * time.Millisecond
	// minWork is the least work of an item, in seconds, so that every item completes at a time of its own.
	minWork = 1e-6
	// completedBelow is the remaining work, in seconds, below which an item is complete.
	completedBelow = 1e-9
	// minSlowdown bounds SetSlowdown, so that the speed stays finite.
	minSlowdown = 1e-3
	// maxWait bounds the time until a completion, in seconds, so that it fits a time.Duration.
	maxWait = 1e6
)

// Curve says how much work a pool gets done, by its load and its age.
type Curve struct {
	Workers int     // cores or slots
	Speed   float64 // seconds of work that a worker does in a second; kinds of machines differ by it
	Knee    float64 // items in flight for each worker up to which the pool loses no speed

	SlowdownPerExcess float64 // ratio of the speed lost for each item per worker above Knee
	MinSpeedRatio     float64 // of Speed, however many are in flight

	WarmupStartRatio float64       // of Speed, right after the start
	WarmupTime       time.Duration // over which the speed rises from WarmupStartRatio to full
}

// speedRatio returns the ratio of Speed that is left with n items in flight, at an age of the pool.
func (c *Curve) speedRatio(n int, age time.Duration) float64 {
	ratio := 1.0
	if excess := float64(n)/float64(c.Workers) - c.Knee; excess > 0 {
		ratio = max(1-c.SlowdownPerExcess*excess, c.MinSpeedRatio)
	}
	if c.WarmupTime > 0 && age < c.WarmupTime {
		ratio *= c.WarmupStartRatio + (1-c.WarmupStartRatio)*float64(age)/float64(c.WarmupTime)
	}
	return ratio
}

// Pool does work along a Curve. It is not safe for concurrent use: it belongs to one goroutine, or to the holder of a
// lock. Times are durations on the caller's clock and must not decrease.
type Pool struct {
	curve       Curve
	startedAt   time.Duration
	slowdown    float64
	now         time.Duration
	remaining   map[string]float64 // seconds of work, by item
	workDone    float64            // seconds
	maxInFlight int
}

// NewPool returns an empty pool that starts at now, cold if its curve has a warm-up.
func NewPool(curve Curve, now time.Duration) *Pool {
	return &Pool{curve: curve, startedAt: now, now: now, slowdown: 1, remaining: map[string]float64{}}
}

// SetSlowdown divides the speed by factor from now on; 1 is the speed of the curve.
func (p *Pool) SetSlowdown(now time.Duration, factor float64) {
	p.Advance(now)
	p.slowdown = max(factor, minSlowdown)
}

// Restart makes the pool as cold as it was at its start. Work in flight stays.
func (p *Pool) Restart(now time.Duration) {
	p.Advance(now)
	p.startedAt = now
}

// InFlight returns the number of items that are worked at.
func (p *Pool) InFlight() int { return len(p.remaining) }

// MaxInFlight returns the largest number of items that were ever worked at together.
func (p *Pool) MaxInFlight() int { return p.maxInFlight }

// WorkDone returns the work that was done since the start, in time on a worker of speed 1.
func (p *Pool) WorkDone() time.Duration { return seconds(p.workDone) }

// Utilization returns the ratio of the workers that are in use, from 0 to 1.
func (p *Pool) Utilization() float64 {
	return min(float64(len(p.remaining))/float64(p.curve.Workers), 1)
}

// Rate returns how many seconds of work the pool does in a second with n items in flight.
func (p *Pool) Rate(now time.Duration, n int) float64 {
	if n == 0 {
		return 0
	}
	ratio := p.curve.speedRatio(n, now-p.startedAt)
	return float64(min(n, p.curve.Workers)) * p.curve.Speed * ratio / p.slowdown
}

// Add starts an item of work. Its id must not be in flight, and Advance must have been called with the present time.
func (p *Pool) Add(id string, work time.Duration) {
	p.remaining[id] = max(work.Seconds(), minWork)
	p.maxInFlight = max(p.maxInFlight, len(p.remaining))
}

// Cancel removes an item without completing it.
func (p *Pool) Cancel(id string) { delete(p.remaining, id) }

// Advance brings the pool to now. It returns the items that have completed, in the order of their completion and by
// id within one step.
func (p *Pool) Advance(now time.Duration) (completed []string) {
	for p.now < now {
		n := len(p.remaining)
		if n == 0 {
			p.now = now
			break
		}
		perItem := p.Rate(p.now, n) / float64(n)
		elapsed := min(now-p.now, maxStep)
		if next := p.untilNextCompletion(perItem); next < elapsed {
			elapsed = max(next, time.Nanosecond)
		}
		p.now += elapsed
		for id, left := range p.remaining {
			p.remaining[id] = left - perItem*elapsed.Seconds()
		}
		p.workDone += perItem * elapsed.Seconds() * float64(n)
		completed = append(completed, p.removeCompleted()...)
	}
	return completed
}

func (p *Pool) removeCompleted() (completed []string) {
	for id, left := range p.remaining {
		if left <= completedBelow {
			completed = append(completed, id)
			delete(p.remaining, id)
		}
	}
	slices.Sort(completed)
	return completed
}

// untilNextCompletion returns how long the next completion is away while each item gets perItem seconds of work a second.
func (p *Pool) untilNextCompletion(perItem float64) time.Duration {
	if perItem <= 0 {
		return math.MaxInt64
	}
	shortest := math.Inf(1)
	for _, left := range p.remaining {
		shortest = min(shortest, left)
	}
	return seconds(min(shortest/perItem, maxWait))
}

// NextCompletion returns when Advance should be called again; ok is false with nothing in flight. It may be earlier than a
// completion, where the speed changes meanwhile.
func (p *Pool) NextCompletion() (at time.Duration, ok bool) {
	n := len(p.remaining)
	if n == 0 {
		return 0, false
	}
	next := p.untilNextCompletion(p.Rate(p.now, n) / float64(n))
	return p.now + min(next+time.Microsecond, maxStep), true
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
