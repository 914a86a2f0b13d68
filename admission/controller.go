package admission

import "time"

// The order in which the parts of the controller decide.
const (
	sweepInterval    = 100 * time.Millisecond // between two periodic decisions; ours
	maxSkippedSweeps = 10                     // while idle; gauges are valid for 1 s; ours
)

// Step processes the events of one batch, all at now, and appends the actions that answer them. A batch may
// be empty; the first one starts the timers.
func (c *Controller) Step(now time.Duration, events []Event, actions []Action) []Action {
	c.actions = actions
	c.advanceTime(now)
	if !c.initialized {
		c.initialized = true
		c.emit(Action{Kind: ActionHealth, Health: c.health.answer()})
		if credit, ok := c.advertiser.atStart(); ok {
			c.emit(Action{Kind: ActionAdvertise, Value: credit})
		}
	}
	c.catchUpSweeps()
	for i := range events {
		c.handleEvent(&events[i])
	}
	c.expireDeadlines()
	if c.now >= c.sweepAt {
		c.sweepAt = c.now + sweepInterval
		c.sweep()
	}
	c.dispatch()
	c.scheduleTimer()
	actions, c.actions = c.actions, nil
	return actions
}

// sweep is the periodic part of the decisions.
func (c *Controller) sweep() {
	c.expireQueued() // even if no core is free
	c.quotas.weigh(c.now)
	c.admissionRate.adjust(c.anyClassLate() && underCPUPressure(c.gauges, c.settings.Cores))
	c.runs.adjust(c.gauges.CPUDemand, c.queuedCount > 0)
	c.adjustCallLimit()
	c.adjustIdleTimeout()
	c.adjustHealth()
	c.reportConditions()
}

// isIdle reports whether nothing is in flight and nothing recovers, so that a sweep would change nothing.
// Skipped sweeps are made up for when something happens, or after maxSkippedSweeps.
func (c *Controller) isIdle() bool {
	callsRecovered := c.callLimitRatio >= maxCallLimitRatio || !c.callTime.Known()
	recovered := callsRecovered && c.admissionRate.recovered() && !c.health.unhealthy
	return recovered && len(c.requests) == 0 && !c.drain.started && c.abandonedCalls == 0 &&
		c.gauges.CPUDemand >= 0 && c.gauges.CPUDemand < 1
}

// expireDeadlines acts on all deadlines that have passed.
func (c *Controller) expireDeadlines() {
	for c.deadlines.Len() > 0 {
		next, at, _ := c.deadlines.Peek()
		obsolete := c.obsolete(next)
		if !obsolete && at > c.now {
			return
		}
		c.deadlines.Pop()
		if obsolete {
			continue
		}
		switch next.kind {
		case deadlineAnswer:
			if next.request.state <= following {
				c.reject(next.request, ReasonTooLate)
			} else {
				c.fail(next.request)
			}
		case deadlineCallRetry:
			c.retryCall(next.request)
		case deadlineAbandonedCall:
			c.abandonedCalls--
		case deadlineKey:
			c.expireKey(next.id)
		}
	}
}
