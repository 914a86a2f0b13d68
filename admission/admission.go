package admission

// retryObjectiveRatio is the part of its latency objective that a request marked as a retry is taken to have
// left.
const retryObjectiveRatio = 0.4

// decision is whether a request that was read is admitted, and if not, why.
type decision struct {
	rejected bool
	cause    Reason // if rejected
}

var admitted = decision{}

func rejectedFor(cause Reason) decision { return decision{rejected: true, cause: cause} }

// receive takes in a request that was read. One that is known is ignored.
func (c *Controller) receive(id RequestID, arrival *Arrival) {
	if c.requests[id] != nil {
		return
	}
	if arrival.Class < 0 || arrival.Class >= len(c.settings.Classes) {
		c.actions.emit(Action{Kind: ActionReject, ID: id})
		return
	}
	request := newRequest(c.now, id, arrival, &c.settings.Classes[arrival.Class])
	request.tenant = c.values.quotas.known(request.tenant)
	request.work = c.estimator.recordHint(request.class, arrival.CostHint)
	c.requests[id] = request
	c.memory.take(request.memoryKB)
	if !request.retry {
		c.values.quotas.count(c.now, request.tenant)
	}
	c.advisor.arrivals.add(c.now, request.retry)
	c.advisor.readDelay.observe(arrival.Waited)
	c.timers.add(c.drain.answerDeadline(request), deadline{kind: deadlineAnswer, request: request})
	if arrival.RetryOf != 0 && c.joinAttempt(request, arrival.RetryOf) {
		return
	}
	c.admit(request)
}

// admit queues a request, or rejects it.
func (c *Controller) admit(request *request) {
	if decision := c.decide(request); decision.rejected {
		c.reject(request, decision.cause)
		return
	}
	c.queue.push(request)
}

// decide decides on a request that was just read: first by the limits that protect the server, then, while
// all cores are busy, by the fleet's rank and the admission rate, and last by whether it can be answered
// within its objective. Queued requests of less value may be rejected to make that possible.
func (c *Controller) decide(request *request) decision {
	if decision := c.decideByLimits(request); decision.rejected {
		return decision
	}
	coresBusy := c.runs.allCoresBusy()
	switch {
	case coresBusy && request.fleetRank == RankBelowThreshold:
		return rejectedFor(ReasonBelowThreshold)
	case coresBusy && !c.admissionRate.admits():
		return rejectedFor(ReasonCPU)
	case c.settings.Classes[request.class].mustCall() && c.calls.breaker.mayNotProbe():
		return rejectedFor(ReasonDependency) // its call would not be made
	}
	return c.decideByObjective(request)
}

// decideByLimits rejects a request that a drain leaves no time for, or for which there is no memory. A
// request that is idempotent by key is remembered from now on.
func (c *Controller) decideByLimits(request *request) decision {
	keyed := c.settings.Classes[request.class].Idempotency == IdempotentByKey
	switch {
	case c.drain.started && !c.drain.acceptsRun(request.arrivedAt, c.estimator.finishTime(c.now, request)):
		return rejectedFor(ReasonDraining)
	case c.memory.exceeded():
		return rejectedFor(ReasonMemory)
	case keyed && !c.keys.reserve(c.now, request):
		return rejectedFor(ReasonMemory)
	}
	return admitted
}

// decideByObjective admits a request that can be answered within its objective, if need be in the place of
// queued requests that are worth less. One that can't is admitted all the same while a recovery would go
// unnoticed without it.
func (c *Controller) decideByObjective(request *request) decision {
	for c.estimator.finishTime(c.now, request) > request.objective {
		scarce := c.estimator.bottleneck(c.now, request)
		victim := c.values.findVictim(&c.queue, request, scarce)
		if victim != nil {
			c.reject(victim, scarce.rejectionReason())
			continue
		}
		if c.scheduler.recoveryWillShow(scarce) {
			return rejectedFor(scarce.rejectionReason())
		}
		return admitted
	}
	return admitted
}

// reject answers a request that never ran.
func (c *Controller) reject(request *request, cause Reason) {
	queueTime := c.queue.work / c.estimator.serviceRate()
	rejection := c.advisor.reject(c.now, request, cause, queueTime)
	c.actions.emit(Action{Kind: ActionReject, ID: request.id, Rejection: rejection})
	c.release(request)
}
