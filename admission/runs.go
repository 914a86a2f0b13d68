package admission

// dispatch makes waiting calls and then starts queued requests, within all limits.
func (c *Controller) dispatch() {
	c.calls.startWaiting(c.now)
	for c.runs.mayStart(c.now) {
		if c.expireQueued() {
			continue
		}
		next := c.scheduler.next(c.now)
		switch {
		case next == nil:
			return
		case c.memory.wouldExceed(c.memory.runningExtraKB(next.memoryKB)):
			if c.runs.running > 0 {
				return
			}
			c.reject(next, ReasonMemory)
		case c.drain.started && !c.drain.acceptsEnd(c.now+c.estimator.serviceTime(c.now, next)):
			c.reject(next, ReasonDraining)
		default:
			c.startRun(next)
		}
	}
}

// expireQueued rejects the requests at the fronts of the class queues that are too late, and reports whether
// there were any. A rejection may change the fronts of classes that were checked before it. dispatch
// therefore calls expireQueued again until nothing is rejected.
func (c *Controller) expireQueued() (rejected bool) {
	for class := range c.queue.classes {
		for late := c.scheduler.tooLate(c.now, class); late != nil; late = c.scheduler.tooLate(c.now, class) {
			c.reject(late, ReasonTooLate)
			rejected = true
		}
	}
	return rejected
}

// startRun starts a queued request. From now on its followers wait for its result.
func (c *Controller) startRun(request *request) {
	c.queue.remove(request)
	request.state = running
	request.ran = true
	c.memory.reserve(c.memory.runningExtraKB(request.memoryKB))
	c.runs.start(request.work)
	c.actions.emit(Action{Kind: ActionRun, ID: request.id})
	c.keys.cacheResult(c.now, request)
	for _, follower := range request.followers {
		c.reuseResult(follower)
	}
	request.followers = nil
}

// completeRun handles the end of a run or of the reuse of a result. A request that has ended or has not
// started is ignored.
func (c *Controller) completeRun(request *request, completion Completion) {
	if request == nil || request.state < awaitingResult {
		return
	}
	outcome := completion.Outcome
	if outcome == OutcomeOK && request.state == running {
		c.estimator.recordRun(c.now, request, completion.Duration)
	}
	if outcome == OutcomeCancelled && !request.answered {
		c.actions.emit(Action{Kind: ActionFail, ID: request.id})
	}
	c.keys.runEnded(c.now, request, outcome)
	if outcome == OutcomeNotStarted {
		request.ran = false // release then forgets its key
	}
	c.release(request)
}

// fail answers a request with an error, unless the request no longer needs an answer.
func (c *Controller) fail(request *request) {
	if request.answered {
		return
	}
	c.actions.emit(Action{Kind: ActionFail, ID: request.id})
	c.abandonRequest(request)
}

// abandonRequest records that a request no longer needs an answer, because it was answered or cancelled. A
// request without a run of its own is released. A run outside a call is stopped if the server can stop runs
// and the class is not idempotent by key: the result of a keyed run still answers its retries. A request that
// has ended or needs no answer is ignored.
//
// Only the simulator stops runs. The settings of the real server (internal/config) have Halt set to HaltOff,
// so its runs always continue to their end.
func (c *Controller) abandonRequest(request *request) {
	if request == nil || request.answered {
		return
	}
	request.answered = true
	if request.state < running {
		c.release(request)
		return
	}
	keyed := c.settings.Classes[request.class].Idempotency == IdempotentByKey
	if request.state == running && c.settings.Halt != HaltOff && !keyed {
		c.actions.emit(Action{Kind: ActionStop, ID: request.id})
	}
}

// release ends a request and frees the resources that it holds.
func (c *Controller) release(request *request) {
	switch request.state {
	case queued:
		c.queue.remove(request)
	case running:
		c.runs.releaseCPU()
	case awaitingCall:
		c.calls.stopWaiting()
	case calling:
		c.calls.abandon(c.now, request)
	case received, following, awaitingResult, released: // hold nothing but memory
	}
	c.memory.release(request.memoryKB)
	if request.state >= running {
		c.memory.release(c.memory.runningExtraKB(request.memoryKB))
		c.runs.end(request.work)
	}
	request.state = released
	delete(c.requests, request.id)
	if request.remembered && !request.ran {
		c.keys.forget(c.now, request)
	}
	followers := request.followers
	request.followers = nil
	c.promoteFollower(followers)
}
