// Package workerpool models the resources behind an image server: the cores of a render farm agent, and the slots of a
// store. It does not read a clock: callers pass the time and get back the items that have completed.
//
// All items in flight get an equal share of the pool (processor sharing). The throughput depends on:
//
//   - the number of items in flight for each worker: past a knee, each further item costs speed;
//   - the age of the pool: after a start, the speed rises during a warm-up;
//   - a slowdown that callers set.
//
// The model leaves out memory, disks and unequal sharing between items. The throughput of a real agent does not fall
// linearly past its knee.
package workerpool

import (
	"math"
	"slices"
	"time"
)

const (
	// maxStep is the longest time over which the speed is taken as constant, although it changes during a warm-up.
	maxStep = 50 * time.Millisecond
	// minWork is the minimum work of an item, in seconds. It is above completedBelow, so that no item counts as complete before
	// work on it has been done.
	minWork = 1e-6
	// completedBelow is the remaining work, in seconds, at or below which an item is complete. It absorbs rounding errors.
	completedBelow = 1e-9
	// minSlowdown is the minimum slowdown factor, so that the speed stays finite.
	minSlowdown = 1e-3
	// maxWait is the maximum computed time until a completion, in seconds, so that it fits in a time.Duration.
	maxWait = 1e6
)

// Curve describes the throughput of a pool by its load and its age. Ratios are plain numbers: 1 is 100%.
type Curve struct {
	Workers int     // number of cores or slots
	Speed   float64 // seconds of work that a worker does per second; slower machines have a lower speed
	Knee    float64 // items in flight per worker up to which the pool has full speed

	SlowdownPerExcess float64 // ratio of Speed that is lost for each item per worker above Knee
	MinSpeedRatio     float64 // minimum ratio of Speed under load; a warm-up reduces the speed further

	WarmupStartRatio float64       // ratio of Speed right after a start; used if WarmupTime is not 0
	WarmupTime       time.Duration // during which the speed rises linearly from WarmupStartRatio to full; 0: no warm-up
}

// speedRatio returns the ratio of Speed at which the workers work with n items in flight, at an age of the pool.
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

// Pool is a pool of workers whose throughput follows a Curve. Times are durations on the caller's clock and must not decrease
// from call to call. A Pool is not safe for concurrent use.
type Pool struct {
	curve       Curve
	startedAt   time.Duration      // last start or restart, from which the warm-up counts
	slowdown    float64            // factor by which the speed is divided
	now         time.Duration      // time up to which the work is accounted for
	remaining   map[string]float64 // remaining work of the items in flight, in seconds, by item ID
	workDone    float64            // work done since the creation, in seconds
	maxInFlight int                // largest number of items in flight so far
}

// NewPool returns an empty pool that starts at now. If its curve has a warm-up, that begins at now.
func NewPool(curve Curve, now time.Duration) *Pool {
	return &Pool{curve: curve, startedAt: now, now: now, slowdown: 1, remaining: map[string]float64{}}
}

// SetSlowdown sets the factor by which the speed of the curve is divided from now on. Factors below 0.001 count as 0.001.
// Callers must call Advance with the same time first: SetSlowdown advances the pool too, but discards the items that complete.
func (p *Pool) SetSlowdown(now time.Duration, factor float64) {
	p.Advance(now)
	p.slowdown = max(factor, minSlowdown)
}

// Restart begins the warm-up again. Items in flight stay. Callers must call Advance with the same time first: Restart advances
// the pool too, but discards the items that complete.
func (p *Pool) Restart(now time.Duration) {
	p.Advance(now)
	p.startedAt = now
}

// InFlight returns the number of items in flight.
func (p *Pool) InFlight() int { return len(p.remaining) }

// MaxInFlight returns the largest number of items in flight so far.
func (p *Pool) MaxInFlight() int { return p.maxInFlight }

// WorkDone returns the work done since the creation of the pool, as time on a worker of speed 1.
func (p *Pool) WorkDone() time.Duration { return seconds(p.workDone) }

// Utilization returns the ratio of the workers in use, from 0 to 1.
func (p *Pool) Utilization() float64 {
	return min(float64(len(p.remaining))/float64(p.curve.Workers), 1)
}

// Rate returns the throughput of the pool at now with n items in flight, in seconds of work per second.
func (p *Pool) Rate(now time.Duration, n int) float64 {
	if n == 0 {
		return 0
	}
	ratio := p.curve.speedRatio(n, now-p.startedAt)
	return float64(min(n, p.curve.Workers)) * p.curve.Speed * ratio / p.slowdown
}

// Add starts an item of work. The id must not be in flight. Callers must call Advance with the present time first; otherwise
// the item gets a share of the work since the last call.
func (p *Pool) Add(id string, work time.Duration) {
	p.remaining[id] = max(work.Seconds(), minWork)
	p.maxInFlight = max(p.maxInFlight, len(p.remaining))
}

// Cancel removes an item that has not completed.
func (p *Pool) Cancel(id string) { delete(p.remaining, id) }

// Advance accounts for the work until now. It returns the IDs of the items that have completed, in order of completion. Items
// that complete in the same step are sorted by ID.
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

// removeCompleted removes the completed items and returns their IDs in ascending order.
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

// untilNextCompletion returns the time until the next completion if each item gets perItem seconds of work per second.
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

// NextCompletion returns the time at which Advance should be called next, at most maxStep after its last call. No item completes
// earlier, and possibly none at that time. The time holds until the next call that changes the pool. Ok is false if no item is
// in flight.
func (p *Pool) NextCompletion() (at time.Duration, ok bool) {
	n := len(p.remaining)
	if n == 0 {
		return 0, false
	}
	next := p.untilNextCompletion(p.Rate(p.now, n) / float64(n))
	return p.now + min(next+time.Microsecond, maxStep), true
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
