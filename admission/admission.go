package admission

const (
	retryObjectiveRatio    = 0.4  // part of its latency objective that a retry is taken to have left
	lateRejectionRatio     = 0.5  // part of its objective after which a request is not to be retried
	lateReadDelayRatio     = 0.08 // read delay, of the shortest objective, that is late
	latencyGain            = 0.1  // weight of a new run in the mean latency of its class
	defaultWorkRatio       = 0.1  // work of a request without a hint, as a part of its objective
	victimScanDepth        = 16   // requests examined from the back of a queue for the least valuable
	victimMargin           = 0.8  // a queued request yields to one worth more than 1/victimMargin of it
	minWorkForValueDensity = 1e-3 // seconds; a request with less work is valued as if it had this much
)

// receive takes in a request that was read.
func (c *Controller) receive(event *Event) {
	if c.requests[event.ID] != nil {
		return
	}
	if event.Arrival.Class < 0 || event.Arrival.Class >= len(c.classes) {
		c.emit(Action{Kind: ActionReject, ID: event.ID})
		return
	}
	req := c.newRequest(event)
	c.estimateWork(req, event.Arrival.CostHint)
	c.requests[req.id] = req
	c.memory.take(req.memoryKB)
	if !req.retry {
		c.quotas.count(c.now, req.tenant)
	}
	c.arrivals.add(c.now, req.retry)
	c.deadlines.Push(c.drain.answerDeadline(req), deadline{deadlineAnswer, req, req.id})
	c.readDelay.observe(event.Arrival.Waited)
	if event.Arrival.RetryOf != 0 && c.handleRetry(req, event.Arrival.RetryOf) {
		return
	}
	c.admit(req)
}

// newRequest sets the times by which a request is useful. The latency objective counts from its first
// attempt; how long ago that was is seldom known.
func (c *Controller) newRequest(event *Event) *request {
	arrival := &event.Arrival
	class := &c.settings.Classes[arrival.Class]
	req := &request{id: event.ID, class: arrival.Class, tenant: arrival.Tenant,
		memoryKB: max(arrival.MemoryKB, 0),
		retry:    arrival.Retry, fleetRank: arrival.FleetRank, retryJitter: arrival.RetryJitter}
	req.tenant = c.quotas.known(req.tenant)
	req.arrivedAt = c.now - max(arrival.Waited, 0)
	req.firstAttemptAt = req.arrivedAt - arrival.SinceFirstAttempt
	req.deadline = req.arrivedAt + class.Deadline
	if arrival.Deadline > 0 {
		req.deadline = arrival.Deadline
	}
	objective := class.LatencyObjective
	if req.retry {
		objective = scale(objective, retryObjectiveRatio)
	}
	req.objective = min(req.firstAttemptAt+objective, req.deadline)
	req.usefulUntil = req.objective
	if class.LateValueRatio > 0 {
		req.usefulUntil = req.deadline
	}
	return req
}

func (c *Controller) admit(req *request) {
	if reason, rejected := c.rejectReason(req); rejected {
		c.reject(req, reason)
		return
	}
	c.enqueue(req)
}

// rejectReason decides on a request that was just read: first the limits that protect the server, then the
// design's admit probability, then whether it can be answered within its objective. It may reject queued
// requests of less value to make that possible.
func (c *Controller) rejectReason(req *request) (Reason, bool) {
	class := &c.settings.Classes[req.class]
	busy := c.runs.allCoresBusy()
	switch {
	case c.drain.started && !c.drain.acceptsRun(req.arrivedAt, c.finishTime(req)):
		return ReasonDraining, true
	case c.memory.exceeded() || class.Idempotency == IdempotentByKey && !c.reserveKey(req):
		return ReasonMemory, true
	case busy && req.fleetRank == RankBelowThreshold:
		return ReasonBelowThreshold, true
	case busy && !c.admissionRate.admits():
		return ReasonCPU, true
	case c.breaker.mayNotProbe() && class.mustCall():
		return ReasonDependency, true // its call would not be made
	}
	for c.finishTime(req) > req.objective {
		reason := c.bottleneck(req)
		byCalls := reason == ReasonDependency
		victim := c.findVictim(req, byCalls)
		if victim == nil { // a run that waits for its call shows when calls recover; more would run in vain
			return reason, c.runs.enoughTrials() || byCalls && c.awaitingCallCount+c.callsInFlight > 0
		}
		c.reject(victim, reason)
	}
	return 0, false
}

// bottleneck is what a request that can't be on time waits for. Cores that are idle beside a queue show that
// it is calls, whatever the estimates say.
func (c *Controller) bottleneck(req *request) Reason {
	idleCores := c.runs.underRunLimit() && c.queuedCount > 0
	if c.needsCall(req) && (idleCores || c.callWait() > c.cpuWait(req)) {
		return ReasonDependency
	}
	return ReasonCPU
}

// anyClassLate reports whether runs of some class take longer than its latency objective.
func (c *Controller) anyClassLate() bool {
	for i := range c.classes {
		class := &c.settings.Classes[i]
		if !class.Removed && c.classes[i].meanLatency.Or(0) > class.LatencyObjective.Seconds() {
			return true
		}
	}
	return false
}

// findVictim returns a queued request that is worth clearly less than req, the newest first, or nil. With
// byCalls value counts by calls, and only classes that call are considered.
func (c *Controller) findVictim(req *request, byCalls bool) *request {
	var victim *request
	lowest := c.valueDensity(req, byCalls) * victimMargin
	for i := range c.classes {
		if byCalls && !c.settings.Classes[i].CallsDependency {
			continue
		}
		queue := c.classes[i].queue
		for n := len(queue) - 1; n >= max(0, len(queue)-victimScanDepth); n-- {
			candidate := queue[n]
			if candidate.state != queued {
				continue
			}
			if value := c.valueDensity(candidate, byCalls); value < lowest {
				victim, lowest = candidate, value
			}
		}
	}
	return victim
}

// valueDensity is the value of req for each unit of the scarce resource: calls, or CPU time.
func (c *Controller) valueDensity(req *request, byCalls bool) float64 {
	value := c.settings.Classes[req.class].PriorityWeight * c.quotas.valueFactor(req.tenant)
	if c.settings.WeightPerWork {
		value *= req.work
	}
	if byCalls {
		return value / max(c.classes[req.class].callsPerRun.Or(1), minCallsPerRun)
	}
	return value / max(req.work, minWorkForValueDensity)
}

// reject answers a request that never ran. In a retry storm the other servers are as full, and each attempt
// there costs reading and mostly a new connection; where retries are not marked, rejections stand for them.
func (c *Controller) reject(req *request, reason Reason) {
	if c.now-req.firstAttemptAt > scale(req.objective-req.firstAttemptAt, lateRejectionRatio) {
		reason = ReasonTooLate // too little time is left for an attempt elsewhere
	}
	if reason == ReasonCPU && !c.settings.MarksRetries {
		c.arrivals.addRejection(c.now)
	}
	storm := reason == ReasonCPU && c.arrivals.retryStorm()
	if req.fleetRank != RankUnknown {
		storm = reason == ReasonBelowThreshold || reason == ReasonCPU && req.fleetRank != RankElsewhere
	}
	noRetry := reason == ReasonDependency || reason == ReasonTooLate || storm
	c.emit(Action{Kind: ActionReject, ID: req.id, Rejection: Rejection{Reason: reason,
		RetryAfter: c.rejectionDelay(req, reason, noRetry), NoRetryElsewhere: noRetry}})
	c.release(req)
}
