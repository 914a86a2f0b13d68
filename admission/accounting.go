package admission

import (
	"math"
	"time"
)

// Accounting: what changes when a request goes from one state to the next. Nothing is decided here.

func (c *Controller) emit(action Action) { c.actions = append(c.actions, action) }

// handleEvent passes an event to the part that deals with it.
func (c *Controller) handleEvent(event *Event) {
	switch event.Kind {
	case EventRequest:
		c.receive(event)
	case EventDone:
		c.runDone(event)
	case EventCancelled:
		if req := c.requests[event.ID]; req != nil && !req.answered {
			c.settle(req)
		}
	case EventCallNeeded:
		if req := c.requests[event.ID]; req != nil && req.state == running {
			c.runs.leaveCPU()
			c.awaitCall(req)
		}
	case EventCallDone:
		c.callDone(event)
	case EventDrain:
		c.startDrain(event.Drain)
	case EventDeregister, EventReregister:
		if c.health.setDeregistered(c.now, event.Kind == EventDeregister, c.drain.started) {
			c.emit(Action{Kind: ActionHealth, Health: c.health.answer()})
		}
	case EventTimer:
		c.gauges = event.Gauges
	}
}

// advanceTime brings the sums that grow with time up to now.
func (c *Controller) advanceTime(now time.Duration) {
	elapsed := now - c.now
	if elapsed <= 0 {
		return
	}
	coresUsed := float64(min(c.runs.onCPU, c.settings.Cores))
	c.busyTime += time.Duration(float64(elapsed) * coresUsed / float64(c.settings.Cores))
	c.speed.Add(c.busyTime, 0, elapsed.Seconds()*coresUsed)
	inFlight := float64(c.callsInFlight + c.abandonedCalls)
	c.addCallCredit(elapsed, inFlight)
	c.callSeconds.Add(now, elapsed.Seconds()*inFlight)
	c.now = now
}

// addCallCredit adds the call-seconds under the limit, or takes those over it. At most as much is saved as lasts
// for callCreditWindow with one call more than the limit; at most the limit's own window is owed.
func (c *Controller) addCallCredit(elapsed time.Duration, inFlight float64) {
	limit := c.callLimit()
	c.callCredit += elapsed.Seconds() * (limit - inFlight)
	next := math.Floor(limit) + 1
	most := limit * callCreditWindow.Seconds() * (next - limit) / next
	c.callCredit = max(min(c.callCredit, most), -limit*c.settings.CallsWindow.Seconds())
}

func (c *Controller) enqueue(req *request) {
	class := &c.classes[req.class]
	req.state = queued
	class.queue = append(class.queue, req)
	class.queuedCount++
	class.queuedWork += req.work
	c.queuedCount++
	c.queuedWork += req.work
}

// dequeue takes req out of the sums. Its place in the queue is dropped once it is at the front.
func (c *Controller) dequeue(req *request) {
	class := &c.classes[req.class]
	class.queuedCount--
	c.queuedCount--
	class.queuedWork = max(class.queuedWork-req.work, 0)
	c.queuedWork = max(c.queuedWork-req.work, 0)
}

func (c *Controller) follow(req, leader *request) {
	req.state, req.leader = following, leader
	leader.followers = append(leader.followers, req)
}

// release ends req and gives back what it took.
func (c *Controller) release(req *request) {
	switch req.state {
	case queued:
		c.dequeue(req)
	case running:
		c.runs.leaveCPU()
	case awaitingCall:
		c.awaitingCallCount--
	case calling:
		c.abandonCall(req)
	case received, following, joined, released: // took no more than the memory of a request
	}
	c.memory.giveBack(req.memoryKB)
	if req.state >= running {
		c.memory.giveBack(c.memory.runningExtraKB(req.memoryKB))
		c.runs.end(req.work)
	}
	req.state = released
	delete(c.requests, req.id)
	if req.remembered && !req.ran {
		c.forgetKey(req)
	}
	followers := req.followers
	req.followers = nil
	c.promoteFollower(followers)
}

// addKey remembers req.
func (c *Controller) addKey(req *request, duration time.Duration) {
	req.remembered = true
	c.memory.take(c.settings.KeyMemoryKB)
	c.keys[req.id] = &keyEntry{expiresAt: c.now + duration}
	c.deadlines.Push(c.now+duration, deadline{kind: deadlineKey, id: req.id})
	c.emit(Action{Kind: ActionRemember, ID: req.id, Duration: duration})
}

// forgetKey forgets req before its key expires.
func (c *Controller) forgetKey(req *request) {
	req.remembered = false
	if key := c.keys[req.id]; key != nil && key.expiresAt > c.now {
		c.memory.giveBack(c.settings.KeyMemoryKB)
		c.emit(Action{Kind: ActionForget, ID: req.id})
		delete(c.keys, req.id)
	}
}

// expireKey drops a key at the end of its time; the owner of the controller does so by itself.
func (c *Controller) expireKey(id RequestID) {
	if c.keys[id] != nil {
		c.memory.giveBack(c.settings.KeyMemoryKB)
		delete(c.keys, id)
	}
}

// awaitCall has req wait for a call.
func (c *Controller) awaitCall(req *request) {
	req.state, req.callNeededAt = awaitingCall, c.now
	c.awaitingCallCount++
	c.callQueue.Push(req.usefulUntil, req)
}

// retryCall has req wait again for the call that has failed.
func (c *Controller) retryCall(req *request) {
	c.awaitingCallCount--
	req.callTime += c.now - req.callNeededAt
	c.awaitCall(req)
}

// resume has the run of req go on after its call.
func (c *Controller) resume(req *request) {
	req.callTime += c.now - req.callNeededAt
	req.state = running
	c.runs.returnToCPU()
}

// trackAbandonedCall counts an abandoned call for as long as it may occupy the dependency.
func (c *Controller) trackAbandonedCall() {
	if c.settings.AbandonedCallTime > 0 {
		c.abandonedCalls++
		c.deadlines.Push(c.now+c.settings.AbandonedCallTime, deadline{kind: deadlineAbandonedCall})
	}
}
