package admission

// Timers: when the owner is to call again.

// obsolete reports whether nothing is to be done about d any more.
func (c *Controller) obsolete(d deadline) bool {
	switch d.kind {
	case deadlineAnswer:
		return d.request.state == released || d.request.answered
	case deadlineCallRetry:
		return d.request.state != awaitingCall || d.request.answered
	case deadlineAbandonedCall, deadlineKey:
	}
	return false
}

// catchUpSweeps makes the sweeps that were skipped while idle, before anything new is looked at: each finds
// what it would have found at its time.
func (c *Controller) catchUpSweeps() {
	c.sweepAt = max(c.sweepAt, c.now-maxSkippedSweeps*sweepInterval) // the machine may have been suspended
	for ; c.idle && c.sweepAt < c.now; c.sweepAt += sweepInterval {
		c.sweep()
	}
	c.idle = false
}

// scheduleTimer asks for the next timer: at the next sweep, or at an earlier deadline.
func (c *Controller) scheduleTimer() {
	next := c.sweepAt
	if c.idle = c.isIdle(); c.idle {
		next += (maxSkippedSweeps - 1) * sweepInterval
	}
	if _, at, ok := c.deadlines.Peek(); ok {
		next = min(next, at)
	}
	if c.timerAt <= c.now || next < c.timerAt {
		c.timerAt = max(next, c.now+1)
		c.emit(Action{Kind: ActionWake, At: c.timerAt})
	}
}
