package server

import "time"

// clock is the clock of the loop and the controller. It follows the Unix clock, but never goes back: after the system clock
// was set back, it advances with the monotonic clock until the Unix clock has caught up. The loop owns it.
type clock struct {
	read func() time.Time // reads the system clock
	last time.Time        // last reading
	now  time.Duration    // time as of the last call of advance
	skew time.Duration    // how far now is ahead of the Unix clock
}

// advance reads the system clock, and returns the new time.
func (c *clock) advance() time.Duration {
	reading := c.read()
	unix := time.Duration(reading.UnixNano())
	if !c.last.IsZero() && unix < c.now {
		c.now += max(reading.Sub(c.last), 0)
	}
	c.now = max(c.now, unix)
	c.skew = c.now - unix
	c.last = reading
	return c.now
}

// fromUnix converts a time on the Unix clock to this clock.
func (c *clock) fromUnix(unix time.Duration) time.Duration { return unix + c.skew }

// unix returns the time as of the last call of advance, on the Unix clock.
func (c *clock) unix() time.Duration { return c.now - c.skew }
