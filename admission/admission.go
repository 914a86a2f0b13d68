package admission

// Admission: whether a request that was read is queued or rejected, and what a rejection tells its client.
const (
	pressureUtilization    = 0.9  // CPU utilization above which the server is under pressure; design
	pressureDemandPerCore  = 2.0  // CPU demand per core above which it is under pressure; design
	admitDecrease          = 0.9  // factor on the admit probability per sweep under pressure and late; ours
	admitIncrease          = 0.02 // added to it per sweep otherwise; ours
	minAdmitProbability    = 0.05 // its lower bound, so that some latencies are still measured; ours
	retryObjectiveRatio    = 0.4  // part of its latency objective that a retry is taken to have left; ours
	retryStormRatio        = 0.4  // part of arrivals that are retries, or rejected, in a retry storm; ours
	lateRejectionRatio     = 0.5  // part of its objective after which a request is not to be retried; ours
	lateReadWaitRatio      = 0.08 // wait to be read, of the shortest objective, when reading is late; ours
	readWaitGain           = 0.1  // weight of a new request in the mean wait to be read; ours
	latencyGain            = 0.1  // weight of a new run in the mean latency of its class; ours
	defaultWorkRatio       = 0.1  // work of a request without a hint, as a part of its objective; ours
	victimScanLimit        = 16   // requests examined from the back of a queue for the least valuable; ours
	victimMargin           = 0.8  // a queued request yields to one worth more than 1/this of it; ours
	minWorkForValueDensity = 1e-3 // seconds; a request with less work is valued as if it had this much; ours
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
	c.memoryKB += req.memoryKB
	retries := 0.0
	if req.retry {
		retries = 1
	} else {
		c.tenants[req.tenant].offered.Add(c.now, 1, 0)
	}
	c.arrivals.Add(c.now, 1, retries)
	c.deadlines.Push(c.answerDeadline(req), deadline{deadlineAnswer, req, req.id})
	c.readWait.Add(max(event.Arrival.Waited, 0).Seconds(), readWaitGain)
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
	if req.tenant < 0 || req.tenant >= len(c.tenants) {
		req.tenant = 0
	}
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
	busy := c.onCPU >= c.settings.Cores
	switch {
	case c.draining && (c.arrivedTooLateToRun(req) || !c.endsBeforeStop(c.finishTime(req))):
		return ReasonDraining, true
	case c.memoryKB > c.memoryLimit() || class.Idempotency == IdempotentByKey && !c.reserveKey(req):
		return ReasonMemory, true
	case busy && req.fleetRank == RankBelowThreshold:
		return ReasonBelowThreshold, true
	case busy && c.rng.Float64() >= c.admitProbability:
		return ReasonCPU, true
	case c.protectedCalls < 0 && class.CallsDependency && class.DegradedValueRatio <= 0:
		return ReasonDependency, true // its call would not be made
	}
	for c.finishTime(req) > req.objective {
		reason := c.bottleneck(req)
		byCalls := reason == ReasonDependency
		victim := c.findVictim(req, byCalls)
		if victim == nil { // a run that waits for its call shows when calls recover; more would run in vain
			return reason, c.running >= c.trialRuns() || byCalls && c.awaitingCallCount+c.callsInFlight > 0
		}
		c.reject(victim, reason)
	}
	return 0, false
}

// bottleneck is what a request that can't be on time waits for. Cores that are idle beside a queue show that
// it is calls, whatever the estimates say.
func (c *Controller) bottleneck(req *request) Reason {
	idleCores := float64(c.onCPU) < c.runLimit && c.queuedCount > 0
	if c.needsCall(req) && (idleCores || c.callWait() > c.cpuWait(req)) {
		return ReasonDependency
	}
	return ReasonCPU
}

// adjustAdmitProbability is the design's control loop, run once per sweep.
func (c *Controller) adjustAdmitProbability() {
	late := false
	for i := range c.classes {
		class := &c.settings.Classes[i]
		late = late || !class.Removed && c.classes[i].meanLatency.Or(0) > class.LatencyObjective.Seconds()
	}
	demandLimit := pressureDemandPerCore * float64(c.settings.Cores)
	if late && (c.gauges.CPUUtilization > pressureUtilization || c.gauges.CPUDemand > demandLimit) {
		c.admitProbability = max(c.admitProbability*admitDecrease, minAdmitProbability)
		return
	}
	c.admitProbability = min(c.admitProbability+admitIncrease, 1)
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
		for n := len(queue) - 1; n >= max(0, len(queue)-victimScanLimit); n-- {
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
	value := c.settings.Classes[req.class].PriorityWeight * c.tenants[req.tenant].valueFactor
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
		c.arrivals.Add(c.now, 0, 1)
	}
	storm := reason == ReasonCPU && c.arrivals.Second > retryStormRatio*c.arrivals.First
	if req.fleetRank != RankUnknown {
		storm = reason == ReasonBelowThreshold || reason == ReasonCPU && req.fleetRank != RankElsewhere
	}
	noRetry := reason == ReasonDependency || reason == ReasonTooLate || storm
	c.emit(Action{Kind: ActionReject, ID: req.id, Rejection: Rejection{Reason: reason,
		RetryAfter: c.rejectionDelay(req, reason, noRetry), NoRetryElsewhere: noRetry}})
	c.release(req)
}
