package admission

// retryObjectiveRatio is the fraction of the latency objective that an attempt marked as a retry is assumed
// to have left.
const retryObjectiveRatio = 0.4

// decision says whether a request is admitted, and the reason if it is rejected.
type decision struct {
	rejected bool
	cause    Reason // set if rejected
}

var admitted = decision{}

func rejectedFor(cause Reason) decision { return decision{rejected: true, cause: cause} }

// receive handles a request that was read. A request whose ID is already known is ignored.
func (c *Controller) receive(id RequestID, arrival *Arrival) {
	if c.requests[id] != nil {
		return
	}
	if arrival.Class < 0 || arrival.Class >= len(c.settings.Classes) {
		c.actions.emit(Action{Kind: ActionReject, ID: id})
		return
	}
	request := newRequest(c.now, id, arrival, &c.settings.Classes[arrival.Class])
	request.tenant = c.values.quotas.resolve(request.tenant)
	request.work = c.estimator.recordHint(request.class, arrival.CostHint)
	c.requests[id] = request
	c.memory.reserve(request.memoryKB)
	if !request.retry {
		c.values.quotas.count(c.now, request.tenant)
	}
	c.advisor.arrivals.add(c.now, request.retry)
	c.advisor.readDelay.observe(arrival.ReadDelay)
	c.timers.add(c.drain.answerDeadline(request), deadline{kind: deadlineAnswer, request: request})
	if arrival.RetryOf != 0 && c.shareRun(request, arrival.RetryOf) {
		return
	}
	c.admit(request)
}

// admit queues a request or rejects it.
func (c *Controller) admit(request *request) {
	if decision := c.decide(request); decision.rejected {
		c.reject(request, decision.cause)
		return
	}
	c.queue.push(request)
}

// decide decides whether a request is admitted. The limits that protect the server come first. Once they
// allow a request that is idempotent by key, its key is reserved. While all cores are busy, the rank of the
// request in the fleet and the admit probability are next. A request that must call the dependency is then
// rejected if only other servers probe the dependency. Last is whether the request can be answered within its
// objective; queued requests of less value may be rejected to make that possible.
func (c *Controller) decide(request *request) decision {
	if decision := c.checkLimits(request); decision.rejected {
		return decision
	}
	if !c.keys.reserve(c.now, request) {
		return rejectedFor(ReasonMemory)
	}
	coresBusy := c.runs.allCoresBusy()
	switch {
	case coresBusy && request.fleetRank == RankBelowThreshold:
		return rejectedFor(ReasonBelowThreshold)
	case coresBusy && !c.admitProbability.admits():
		return rejectedFor(ReasonCPU)
	case c.settings.Classes[request.class].mustCall() && c.calls.breaker.mayNotProbe():
		return rejectedFor(ReasonDependency)
	}
	return c.admitByObjective(request)
}

// checkLimits rejects a request that may not run any more in a drain, and any request while the memory limit
// is exceeded.
func (c *Controller) checkLimits(request *request) decision {
	switch {
	case c.drain.started && !c.drain.acceptsRun(request.arrivedAt, c.estimator.finishTime(c.now, request)):
		return rejectedFor(ReasonDraining)
	case c.memory.exceeded():
		return rejectedFor(ReasonMemory)
	}
	return admitted
}

// admitByObjective admits a request that can be answered within its objective. To make room for it, queued
// requests of less value are rejected one after the other. A request that would still be late is rejected,
// unless too few runs or calls are under way to notice a recovery. In that case it is admitted as a trial.
func (c *Controller) admitByObjective(request *request) decision {
	for c.estimator.finishTime(c.now, request) > request.objective {
		scarce := c.estimator.bottleneck(c.now, request)
		victim := c.values.findVictim(&c.queue, request, scarce)
		if victim != nil {
			c.reject(victim, scarce.rejectionReason())
			continue
		}
		if c.scheduler.recoveryObservable(scarce) {
			return rejectedFor(scarce.rejectionReason())
		}
		return admitted
	}
	return admitted
}

// reject answers a request that never ran with a rejection, and releases it.
func (c *Controller) reject(request *request, cause Reason) {
	queueTime := c.queue.work / c.estimator.serviceRate()
	rejection := c.advisor.reject(c.now, request, cause, queueTime)
	c.actions.emit(Action{Kind: ActionReject, ID: request.id, Rejection: rejection})
	c.release(request)
}
