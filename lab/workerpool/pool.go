// Package workerpool is a small model of what serves requests below an image server: the cores of a render farm agent, and
// the slots of a store. It is pure: times come in, ends go out.
//
// Work in hand shares the pool evenly. What it leaves out: memory, disks, unequal sharing between runs, and that the
// reading of a request takes of the same cores; a real agent's curve past its knee is not a straight line.
package workerpool

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Curve says how much a pool gets done.
type Curve struct {
	Workers           int     // cores, or slots
	Speed             float64 // work done by a place in a second, in seconds of work; two kinds of machine differ by it
	Knee              float64 // up to that many in hand for each place nothing is lost
	SlowdownPerExcess float64 // share that is lost for each further one a place
	MinSpeedRatio     float64 // share that is left at least

	ColdSpeedRatio float64       // of its speed at the start
	WarmupTime     time.Duration // until it is at its full speed
}

// Pool is a pool at work. It belongs to one goroutine, or to whoever holds a lock.
type Pool struct {
	curve       Curve
	startedAt   time.Duration
	slowdown    float64
	now         time.Duration
	remaining   map[string]float64 // what is left of it, in seconds
	workDone    float64            // work that was done, in seconds
	maxInFlight int
}

// maxStep bounds how long a changing speed is taken for constant.
const maxStep = 50 * time.Millisecond

// NewPool returns a pool that starts at now.
func NewPool(curve Curve, now time.Duration) *Pool {
	return &Pool{curve: curve, startedAt: now, now: now, slowdown: 1, remaining: map[string]float64{}}
}

// SetSlowdown has the pool be so many times slower than its curve says.
func (p *Pool) SetSlowdown(now time.Duration, factor float64) {
	p.Advance(now)
	p.slowdown = max(factor, 1e-3)
}

// Restart has the pool be as cold as it was at its start.
func (p *Pool) Restart(now time.Duration) {
	p.Advance(now)
	p.startedAt = now
}

// InFlight is how much is being worked at, and Most the most that ever was.
func (p *Pool) InFlight() int    { return len(p.remaining) }
func (p *Pool) MaxInFlight() int { return p.maxInFlight }

// WorkDone is how much work was done so far.
func (p *Pool) WorkDone() time.Duration { return time.Duration(p.workDone * float64(time.Second)) }

// Rate is the work that a second gets done, in seconds, with n in hand.
func (p *Pool) Rate(now time.Duration, n int) float64 {
	if n == 0 {
		return 0
	}
	curve := &p.curve
	ratio := 1.0
	if excess := float64(n)/float64(curve.Workers) - curve.Knee; excess > 0 {
		ratio = max(1-curve.SlowdownPerExcess*excess, curve.MinSpeedRatio)
	}
	if age := now - p.startedAt; curve.WarmupTime > 0 && age < curve.WarmupTime {
		ratio *= curve.ColdSpeedRatio + (1-curve.ColdSpeedRatio)*float64(age)/float64(curve.WarmupTime)
	}
	return float64(min(n, curve.Workers)) * curve.Speed * ratio / p.slowdown
}

// Add begins work. Advance was called with the same time before.
func (p *Pool) Add(id string, work time.Duration) {
	p.remaining[id] = max(work.Seconds(), 1e-6)
	p.maxInFlight = max(p.maxInFlight, len(p.remaining))
}

// Cancel gives work up.
func (p *Pool) Cancel(id string) { delete(p.remaining, id) }

// Advance brings the pool to now, and returns what has ended, in the order of its end.
func (p *Pool) Advance(now time.Duration) (completed []string) {
	for p.now < now {
		if len(p.remaining) == 0 {
			p.now = now
			break
		}
		n := len(p.remaining)
		perItem := p.Rate(p.now, n) / float64(n)
		elapsed := min(now-p.now, maxStep)
		if first := p.untilNextCompletion(perItem); first < elapsed {
			elapsed = max(first, time.Nanosecond)
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

// removeCompleted removes what has come to its end.
func (p *Pool) removeCompleted() (completed []string) {
	for id, left := range p.remaining {
		if left <= 1e-9 {
			completed = append(completed, id)
			delete(p.remaining, id)
		}
	}
	slices.SortFunc(completed, cmp.Compare)
	return completed
}

// untilNextCompletion is how long the next end is off at a rate for each.
func (p *Pool) untilNextCompletion(perItem float64) time.Duration {
	if perItem <= 0 {
		return math.MaxInt64
	}
	shortest := math.Inf(1)
	for _, left := range p.remaining {
		shortest = min(shortest, left)
	}
	return time.Duration(min(shortest/perItem, 1e6) * float64(time.Second))
}

// NextCompletion is when Advance should be called again.
func (p *Pool) NextCompletion() (time.Duration, bool) {
	if n := len(p.remaining); n > 0 {
		return p.now + min(p.untilNextCompletion(p.Rate(p.now, n)/float64(n))+time.Microsecond, maxStep), true
	}
	return 0, false
}

// Utilization is the share of the places that is in use, and OnPlaces how many are in hand for each.
func (p *Pool) Utilization() float64 {
	return min(float64(len(p.remaining))/float64(p.curve.Workers), 1)
}

// CrashModel is a store's fall: too many in hand for too long, and it is down for a while.
type CrashModel struct {
	MaxInFlight int           // in hand that it survives; 0 = any
	Tolerance   time.Duration // for which it survives more
	Downtime    time.Duration

	exceededAt time.Duration
	exceeded   bool
	downUntil  time.Duration
}

// Observe notes how many are in hand, and reports whether the store falls now.
func (f *CrashModel) Observe(now time.Duration, inHand int) bool {
	if f.MaxInFlight == 0 || inHand <= f.MaxInFlight {
		f.exceeded = false
		return false
	}
	if !f.exceeded {
		f.exceeded, f.exceededAt = true, now
	}
	if now-f.exceededAt < f.Tolerance {
		return false
	}
	f.exceeded, f.downUntil = false, now+f.Downtime
	return true
}

// IsDown reports whether it is down.
func (f *CrashModel) IsDown(now time.Duration) bool { return now < f.downUntil }
