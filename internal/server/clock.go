package server

import "time"

// clock gives the time that the controller sees: the Unix clock, except that it never goes back.
// Should the system's clock be set back, it runs on at the pace of the monotonic one.
type clock struct {
	read func() time.Time
	last time.Time
	now  time.Duration
	skew time.Duration // now is this far ahead of the Unix clock
}

func (c *clock) advance() time.Duration {
	reading := c.read()
	unix := time.Duration(reading.UnixNano())
	if !c.last.IsZero() && unix < c.now {
		c.now += max(reading.Sub(c.last), 0)
	}
	c.now = max(c.now, unix)
	c.skew, c.last = c.now-unix, reading
	return c.now
}

// fromUnix turns a time on the Unix clock into one on this clock.
func (c *clock) fromUnix(unix time.Duration) time.Duration { return unix + c.skew }
