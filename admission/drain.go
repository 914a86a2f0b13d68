package admission

import (
	"maps"
	"slices"
	"time"
)

// Drain: a server that is told to stop answers all that it has read before its process ends.
const (
	answerMargin = 20 * time.Millisecond // an answer is sent this long before its deadline; ours
	stopMargin   = 80 * time.Millisecond // the last answers are sent this long before the process ends; ours
)

// startDrain moves the deadlines of all answers before the end of the process, and has clients sent elsewhere
// unless another process of this server goes on.
func (c *Controller) startDrain(event *Event) {
	if c.draining {
		return
	}
	c.draining, c.drainStartedAt, c.stopAt = true, c.now-event.Drain.Waited, event.Drain.StopAt
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		req := c.requests[id]
		c.deadlines.Push(c.answerDeadline(req), deadline{deadlineAnswer, req, id})
	}
	c.emit(Action{Kind: ActionLog, Condition: ConditionChange{ConditionDrain, true}})
	if event.Drain.Replaced {
		return
	}
	c.emit(Action{Kind: ActionHealth, Health: HealthAnswer{Healthy: false, Cached: true}})
	switch c.settings.Advert {
	case AdvertOff:
	case AdvertLevel:
		c.emit(Action{Kind: ActionAdvertise, Value: 1}) // no request ranks above it
	case AdvertCredit, AdvertWeight:
		c.emit(Action{Kind: ActionAdvertise, Value: 0})
	}
}

// answerDeadline is when req must be answered: a little before its deadline and before this process ends.
func (c *Controller) answerDeadline(req *request) time.Duration {
	at := req.deadline - answerMargin
	if c.draining {
		at = min(at, c.stopAt-stopMargin)
	}
	return at
}

func (c *Controller) arrivedTooLateToRun(req *request) bool {
	return req.arrivedAt > c.drainStartedAt+c.settings.DrainGrace
}

func (c *Controller) endsBeforeStop(at time.Duration) bool { return at <= c.stopAt-stopMargin }
