package server

import "time"

// clock is the clock of the loop and the controller: the Unix clock, except that it never goes back. While the system's
// clock is set back, it advances with the monotonic one. The loop owns it.
type clock struct {
	read func() time.Time
	last time.Time     // last reading
	now  time.Duration // as of the last call of advance
	skew time.Duration // how far now is ahead of the Unix clock
}

// advance reads the clock.
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

// fromUnix turns a time on the Unix clock into one on this clock.
func (c *clock) fromUnix(unix time.Duration) time.Duration { return unix + c.skew }

// unix returns the present on the Unix clock.
func (c *clock) unix() time.Duration { return c.now - c.skew }
