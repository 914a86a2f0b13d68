package admission

import "time"

const (
	estimateGain      = 0.1             // weight of a new run in the estimates
	speedTimeConstant = 2 * time.Second // of fully used CPU time, over which speed is averaged
	minCoreSpeed      = 0.01            // least speed of a core, of a standard one
	defaultCallTime   = 0.05            // seconds that a call takes before one was measured
)

// dispatch starts calls that wait and then runs, as far as every limit allows.
func (c *Controller) dispatch() {
	c.startCalls()
	for c.runs.mayStart(c.now) {
		if c.expireQueued() {
			continue
		}
		req := c.nextQueued(float64(c.awaitingCallCount) >= max(1, waitersPerCall*c.callLimit()))
		switch {
		case req == nil:
			return
		case c.memory.wouldExceed(c.memory.runningExtraKB(req.memoryKB)):
			if c.runs.running > 0 {
				return
			}
			c.reject(req, ReasonMemory)
		case c.drain.started && !c.drain.acceptsEnd(c.now+c.serviceTime(req)):
			c.reject(req, ReasonDraining)
		default:
			c.startRun(req)
		}
	}
}

func (c *Controller) startRun(req *request) {
	c.dequeue(req)
	req.state, req.ran, req.startedAt = running, true, c.now
	c.memory.take(c.memory.runningExtraKB(req.memoryKB))
	c.runs.start(req.work)
	if key := c.keys[req.id]; key != nil {
		key.ran = true
	}
	c.emit(Action{Kind: ActionRun, ID: req.id})
	c.cacheResult(req)
	for _, follower := range req.followers {
		c.joinRun(follower)
	}
	req.followers = nil
}

func (c *Controller) runDone(event *Event) {
	req := c.requests[event.ID]
	if req == nil || req.state < joined {
		return
	}
	if event.Completion.Outcome == OutcomeOK && req.state == running {
		class := &c.classes[req.class]
		class.cpuTime.Add(req.work, (event.Completion.Took - req.callTime).Seconds(), estimateGain)
		class.callsPerRun.Add(float64(req.callAttempts), estimateGain)
		class.meanLatency.Add((c.now - req.arrivedAt - req.callTime).Seconds(), latencyGain)
		c.speed.Add(c.busyTime, req.work, 0)
	}
	if event.Completion.Outcome == OutcomeCancelled && !req.answered {
		c.emit(Action{Kind: ActionFail, ID: req.id})
	}
	noResult := event.Completion.Outcome == OutcomeCancelled || event.Completion.Outcome == OutcomeFailed
	if noResult && c.settings.Classes[req.class].Idempotency == Safe && req.remembered {
		c.forgetKey(req)
	}
	c.release(req)
}

// fail answers with an error. Running work is stopped where that is possible and loses nothing.
func (c *Controller) fail(req *request) {
	if req.answered {
		return
	}
	c.emit(Action{Kind: ActionFail, ID: req.id})
	c.settle(req)
}

// settle records that no answer is owed any more. The run of an idempotent request goes on: its result
// answers the retries.
func (c *Controller) settle(req *request) {
	req.answered = true
	if req.state < running {
		c.release(req)
		return
	}
	keyed := c.settings.Classes[req.class].Idempotency == IdempotentByKey
	if req.state == running && c.settings.Halt != HaltOff && !keyed {
		c.emit(Action{Kind: ActionStop, ID: req.id})
	}
}

// ServiceRate is the work that this server completes per second, in seconds of a standard core.
func (c *Controller) ServiceRate() float64 {
	return max(c.speed.First/max(c.speed.Second, 1e-3), minCoreSpeed) * float64(c.settings.Cores)
}

// estimateWork takes the hint of the work of req, or the mean of its class where there is none.
func (c *Controller) estimateWork(req *request, hint time.Duration) {
	class := &c.classes[req.class]
	if req.work = hint.Seconds(); req.work > 0 {
		class.meanWork.Add(req.work, estimateGain)
		return
	}
	req.work = class.meanWork.Or(defaultWorkRatio * c.settings.Classes[req.class].LatencyObjective.Seconds())
}

// serviceTime estimates how long req takes once it runs, calls included.
func (c *Controller) serviceTime(req *request) time.Duration {
	class := &c.classes[req.class]
	estimate := req.work * initialRunsPerCore * float64(c.settings.Cores) / c.ServiceRate()
	if class.cpuTime.Known() {
		estimate = class.cpuTime.At(req.work)
	}
	if c.needsCall(req) {
		estimate += class.callsPerRun.Or(1) * c.callTime.Or(defaultCallTime)
	}
	return seconds(estimate)
}

// cpuWait estimates how long req waits for a core: for half of the running work, and what is queued ahead.
func (c *Controller) cpuWait(req *request) time.Duration {
	if c.runs.underRunLimit() && c.queuedCount == 0 {
		return 0
	}
	ahead := 0.5 * c.runs.work
	objective := c.settings.Classes[req.class].LatencyObjective.Seconds()
	for i := range c.classes {
		ahead += c.classes[i].queuedWork * min(1, objective/c.settings.Classes[i].LatencyObjective.Seconds())
	}
	return seconds(ahead / c.ServiceRate())
}

// finishTime estimates when req would be answered if it were admitted now.
func (c *Controller) finishTime(req *request) time.Duration {
	wait := c.cpuWait(req)
	if c.needsCall(req) {
		wait = max(wait, c.callWait())
	}
	return c.now + wait + c.serviceTime(req)
}
