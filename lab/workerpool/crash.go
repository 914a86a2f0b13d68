package workerpool

import "time"

// CrashModel decides when a store crashes: with more calls in flight than it survives, for longer than it tolerates.
// It is then down for a while. It is not safe for concurrent use.
type CrashModel struct {
	MaxInFlight int           // calls that the store survives for any time; 0 = any number
	Tolerance   time.Duration // for which it survives more
	Downtime    time.Duration

	exceeded   bool // more than MaxInFlight at the last observation
	exceededAt time.Duration
	downUntil  time.Duration
}

// Observe records the number of calls in flight, and reports whether the store crashes now.
func (c *CrashModel) Observe(now time.Duration, inFlight int) bool {
	if c.MaxInFlight == 0 || inFlight <= c.MaxInFlight {
		c.exceeded = false
		return false
	}
	if !c.exceeded {
		c.exceeded = true
		c.exceededAt = now
	}
	if now-c.exceededAt < c.Tolerance {
		return false
	}
	c.exceeded = false
	c.downUntil = now + c.Downtime
	return true
}

// IsDown reports whether the store is down after a crash.
func (c *CrashModel) IsDown(now time.Duration) bool { return now < c.downUntil }
