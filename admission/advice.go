package admission

import (
	"maps"
	"slices"
	"time"
)

// minRetryAfter is the shortest advice to stay away.
const minRetryAfter = 100 * time.Millisecond

// rejectionDelay is the advice that goes with a rejection. While reading is late it takes the CPU from all
// else, and advice that ends before a client would have come anyway has no effect: in a large fleet each
// comes seldom.
func (c *Controller) rejectionDelay(req *request, reason Reason, noRetry bool) time.Duration {
	delay := time.Duration(0)
	if !noRetry {
		delay = min(c.retryAfter(reason)+req.retryJitter, c.settings.MaxRetryAfter)
	}
	readingLate := c.readDelay.exceeds(lateReadDelayRatio, c.settings.shortestObjective())
	interval := c.arrivals.meanClientInterval(c.settings.Clients)
	if readingLate && interval > minRetryAfter {
		delay = max(delay, min(interval, c.settings.MaxRetryAfter))
	}
	return delay
}

func (c *Controller) retryAfter(reason Reason) time.Duration {
	if !c.settings.SendsRetryAfter && c.settings.MaxRetryAfter <= 0 {
		return 0
	}
	if reason == ReasonDraining {
		return c.settings.MaxRetryAfter
	}
	return min(max(seconds(c.queuedWork/c.ServiceRate()/2), minRetryAfter), c.settings.MaxRetryAfter)
}

// adjustIdleTimeout adjusts the time after which idle connections are closed.
func (c *Controller) adjustIdleTimeout() {
	clients := max(float64(c.settings.Clients), c.gauges.Connections)
	if c.idleTimeout.adjust(c.now, clients, &c.arrivals) {
		c.emit(Action{Kind: ActionIdleTimeout, Duration: c.idleTimeout.current})
	}
}

// adjustHealth decides anew how health checks are answered.
func (c *Controller) adjustHealth() {
	c.readDelay.decay()
	readsInVain := c.readDelay.exceeds(unhealthyReadDelayRatio, c.settings.shortestObjective())
	if c.health.adjust(c.now, readsInVain, c.drain.started) {
		c.emit(Action{Kind: ActionHealth, Health: c.health.answer()})
	}
}

// startDrain moves the deadlines of all answers before the end of the process, and has clients sent elsewhere
// unless another process of this server goes on.
func (c *Controller) startDrain(signal DrainSignal) {
	if c.drain.started {
		return
	}
	c.drain.start(c.now, signal)
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		req := c.requests[id]
		c.deadlines.Push(c.drain.answerDeadline(req), deadline{deadlineAnswer, req, id})
	}
	c.emit(Action{Kind: ActionLog, Condition: ConditionChange{Condition: ConditionDrain, Active: true}})
	if signal.Replaced {
		return
	}
	c.emit(Action{Kind: ActionHealth, Health: HealthAnswer{Healthy: false, Cached: true}})
	if value, ok := c.advertiser.atDrain(); ok {
		c.emit(Action{Kind: ActionAdvertise, Value: value})
	}
}

// reportConditions logs which conditions begin or end.
func (c *Controller) reportConditions() {
	active := [...]bool{
		ConditionBreaker:   c.breaker.dropProbability(c.now) > 0,
		ConditionCallLimit: c.callLimitRatio <= minCallLimitRatio,
		ConditionAdmission: c.admissionRate.reduced(),
		ConditionMemory:    c.memory.exceeded(),
		ConditionHealth:    c.health.unhealthy,
	}
	for index, isActive := range active {
		condition := Condition(index)
		if c.conditions.changed(c.now, condition, isActive) {
			change := ConditionChange{Condition: condition, Active: isActive}
			c.emit(Action{Kind: ActionLog, Condition: change})
		}
	}
}
