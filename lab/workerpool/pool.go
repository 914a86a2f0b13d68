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
	curve  Curve
	born   time.Duration
	slow   float64
	at     time.Duration
	work   map[string]float64 // what is left of it, in seconds
	doneBy float64            // work that was done, in seconds
	most   int
}

// step bounds how long a changing speed is taken for constant.
const step = 50 * time.Millisecond

// NewPool returns a pool that starts at now.
func NewPool(c Curve, now time.Duration) *Pool {
	return &Pool{curve: c, born: now, at: now, slow: 1, work: map[string]float64{}}
}

// SetSlowdown has the pool be so many times slower than its curve says.
func (p *Pool) SetSlowdown(now time.Duration, times float64) {
	p.Advance(now)
	p.slow = max(times, 1e-3)
}

// Restart has the pool be as cold as it was at its start.
func (p *Pool) Restart(now time.Duration) {
	p.Advance(now)
	p.born = now
}

// InFlight is how much is being worked at, and Most the most that ever was.
func (p *Pool) InFlight() int    { return len(p.work) }
func (p *Pool) MaxInFlight() int { return p.most }

// WorkDone is how much work was done so far.
func (p *Pool) WorkDone() time.Duration { return time.Duration(p.doneBy * float64(time.Second)) }

// Rate is the work that a second gets done, in seconds, with n in hand.
func (p *Pool) Rate(now time.Duration, n int) float64 {
	if n == 0 {
		return 0
	}
	c := &p.curve
	share := 1.0
	if over := float64(n)/float64(c.Workers) - c.Knee; over > 0 {
		share = max(1-c.SlowdownPerExcess*over, c.MinSpeedRatio)
	}
	if age := now - p.born; c.WarmupTime > 0 && age < c.WarmupTime {
		share *= c.ColdSpeedRatio + (1-c.ColdSpeedRatio)*float64(age)/float64(c.WarmupTime)
	}
	return float64(min(n, c.Workers)) * c.Speed * share / p.slow
}

// Add begins work. Advance was called with the same time before.
func (p *Pool) Add(id string, work time.Duration) {
	p.work[id] = max(work.Seconds(), 1e-6)
	p.most = max(p.most, len(p.work))
}

// Cancel gives work up.
func (p *Pool) Cancel(id string) { delete(p.work, id) }

// Advance brings the pool to now, and returns what has ended, in the order of its end.
func (p *Pool) Advance(now time.Duration) (ended []string) {
	for p.at < now {
		if len(p.work) == 0 {
			p.at = now
			break
		}
		n := len(p.work)
		each := p.Rate(p.at, n) / float64(n)
		d := min(now-p.at, step)
		if first := p.first(each); first < d {
			d = max(first, time.Nanosecond)
		}
		p.at += d
		for id, left := range p.work {
			p.work[id] = left - each*d.Seconds()
		}
		p.doneBy += each * d.Seconds() * float64(n)
		ended = append(ended, p.over()...)
	}
	return ended
}

// over removes what has come to its end.
func (p *Pool) over() (ended []string) {
	for id, left := range p.work {
		if left <= 1e-9 {
			ended = append(ended, id)
			delete(p.work, id)
		}
	}
	slices.SortFunc(ended, cmp.Compare)
	return ended
}

// first is how long the next end is off at a rate for each.
func (p *Pool) first(each float64) time.Duration {
	if each <= 0 {
		return math.MaxInt64
	}
	least := math.Inf(1)
	for _, left := range p.work {
		least = min(least, left)
	}
	return time.Duration(min(least/each, 1e6) * float64(time.Second))
}

// NextCompletion is when Advance should be called again.
func (p *Pool) NextCompletion() (time.Duration, bool) {
	if n := len(p.work); n > 0 {
		return p.at + min(p.first(p.Rate(p.at, n)/float64(n))+time.Microsecond, step), true
	}
	return 0, false
}

// Utilization is the share of the places that is in use, and OnPlaces how many are in hand for each.
func (p *Pool) Utilization() float64 { return min(float64(len(p.work))/float64(p.curve.Workers), 1) }

// CrashModel is a store's fall: too many in hand for too long, and it is down for a while.
type CrashModel struct {
	MaxInFlight int           // in hand that it survives; 0 = any
	Tolerance   time.Duration // for which it survives more
	Downtime    time.Duration

	overAt time.Duration
	over   bool
	until  time.Duration
}

// Observe notes how many are in hand, and reports whether the store falls now.
func (f *CrashModel) Observe(now time.Duration, inHand int) bool {
	if f.MaxInFlight == 0 || inHand <= f.MaxInFlight {
		f.over = false
		return false
	}
	if !f.over {
		f.over, f.overAt = true, now
	}
	if now-f.overAt < f.Tolerance {
		return false
	}
	f.over, f.until = false, now+f.Downtime
	return true
}

// IsDown reports whether it is down.
func (f *CrashModel) IsDown(now time.Duration) bool { return now < f.until }
