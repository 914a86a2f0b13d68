package workerpool

import "time"

// CrashModel models the crash of an overloaded store: the store crashes after it has had more than MaxInFlight calls in
// flight for Tolerance, and is then down for Downtime. A CrashModel is not safe for concurrent use.
type CrashModel struct {
	MaxInFlight int           // calls in flight that the store survives for any time; 0: the store never crashes
	Tolerance   time.Duration // for which the store survives more than MaxInFlight calls in flight
	Downtime    time.Duration // from a crash until the store accepts calls again

	exceeded   bool          // there were more than MaxInFlight at the last observation
	exceededAt time.Duration // first observation of the present excess; valid if exceeded
	downUntil  time.Duration // end of the downtime of the last crash
}

// Observe takes the present number of calls in flight, and reports whether the store crashes now. It must be called after the
// start of each call to the store. A crash therefore happens at the first such start after Tolerance has passed.
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

// IsDown reports whether the store is down because of a crash.
func (c *CrashModel) IsDown(now time.Duration) bool { return now < c.downUntil }
