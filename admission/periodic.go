package admission

import (
	"maps"
	"slices"
)

// runPeriodic makes the periodic decisions. It is called every periodicInterval.
func (c *Controller) runPeriodic() {
	c.expireQueued() // also while no core is free
	c.values.quotas.updateValueFactors(c.now)
	c.admitProbability.adjust(c.estimator.cpuOverloaded(c.gauges))
	c.runs.adjust(c.gauges.CPUDemand, c.queue.count > 0)
	c.calls.limiter.adjust()
	if c.advisor.adjustIdleTimeout(c.now, c.gauges.Connections) {
		c.actions.emit(Action{Kind: ActionIdleTimeout, Duration: c.advisor.idleTimeout.current})
	}
	c.advisor.readDelay.decay()
	if c.health.adjust(c.now, c.advisor.readDelayExceeded(), c.drain.started) {
		c.actions.emit(Action{Kind: ActionHealth, Health: c.health.answer()})
	}
	c.reportConditions()
}

// isIdle reports whether nothing is in flight and no limit is recovering, so that the periodic decisions can
// wait until the next event (see timers).
func (c *Controller) isIdle() bool {
	recovered := c.calls.limiter.recovered() && c.admitProbability.recovered() && !c.health.unhealthy
	inFlight := len(c.requests) > 0 || c.calls.limiter.abandoned > 0
	coresIdle := c.gauges.CPUDemand >= 0 && c.gauges.CPUDemand < 1
	return recovered && !inFlight && !c.drain.started && coresIdle
}

// expireDeadlines handles all deadlines that have passed.
func (c *Controller) expireDeadlines() {
	for {
		expired, ok := c.timers.expired(c.now)
		if !ok {
			return
		}
		switch expired.kind {
		case deadlineAnswer:
			if expired.request.state <= following {
				c.reject(expired.request, ReasonTooLate)
			} else {
				c.fail(expired.request)
			}
		case deadlineCallRetry:
			c.calls.requeue(c.now, expired.request)
		case deadlineAbandonedCall:
			c.calls.untrackAbandoned()
		case deadlineKey:
			c.keys.expire(expired.id)
		}
	}
}

// startDrain starts a drain and moves the deadlines of all answers before the end of the process. Unless
// another process of this server replaces this one, the server is reported unhealthy and advertises a value
// that turns clients away. Further drain signals are ignored.
func (c *Controller) startDrain(signal DrainSignal) {
	if c.drain.started {
		return
	}
	c.drain.start(c.now, signal)
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		request := c.requests[id]
		c.timers.add(c.drain.answerDeadline(request), deadline{kind: deadlineAnswer, request: request})
	}
	draining := ConditionChange{Condition: ConditionDrain, Active: true}
	c.actions.emit(Action{Kind: ActionLog, Condition: draining})
	if signal.Replaced {
		return
	}
	c.actions.emit(Action{Kind: ActionHealth, Health: HealthAnswer{Healthy: false, Cached: true}})
	if value, ok := c.advisor.advertiser.atDrain(); ok {
		c.actions.emit(Action{Kind: ActionAdvertise, Value: value})
	}
}

// reportConditions emits a log action for each condition that began or ended.
func (c *Controller) reportConditions() {
	dropProbability := c.calls.breaker.dropProbability(c.now)
	for _, state := range [...]ConditionChange{
		{Condition: ConditionBreaker, Active: dropProbability > 0, Value: dropProbability},
		{Condition: ConditionCallLimit, Active: c.calls.limiter.atMinimum(), Value: c.calls.limiter.limit()},
		c.admitProbability.condition(),
		{Condition: ConditionMemory, Active: c.memory.exceeded(), Value: c.memory.usedKB},
		{Condition: ConditionHealth, Active: c.health.unhealthy, Value: c.advisor.readDelay.mean.Value()},
	} {
		if c.conditions.changed(c.now, state.Condition, state.Active) {
			c.actions.emit(Action{Kind: ActionLog, Condition: state})
		}
	}
}
