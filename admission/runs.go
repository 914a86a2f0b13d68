package admission

// dispatch starts calls that wait and then runs, as far as every limit allows.
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

// expireQueued rejects the fronts of the queue that are too late, and reports whether there were any. Their
// rejection may have changed the fronts of other classes.
func (c *Controller) expireQueued() (rejected bool) {
	for class := range c.queue.classes {
		for late := c.scheduler.tooLate(c.now, class); late != nil; late = c.scheduler.tooLate(c.now, class) {
			c.reject(late, ReasonTooLate)
			rejected = true
		}
	}
	return rejected
}

// startRun starts a queued request. Its followers wait for its result from now on.
func (c *Controller) startRun(request *request) {
	c.queue.remove(request)
	request.state = running
	request.ran = true
	c.memory.take(c.memory.runningExtraKB(request.memoryKB))
	c.runs.start(request.work)
	c.actions.emit(Action{Kind: ActionRun, ID: request.id})
	c.keys.cacheResult(c.now, request)
	for _, follower := range request.followers {
		c.reuseResult(follower)
	}
	request.followers = nil
}

// completeRun handles the end of a run, or of the reuse of a result. A request that has ended, or was not
// started, is ignored.
func (c *Controller) completeRun(request *request, completion Completion) {
	if request == nil || request.state < joined {
		return
	}
	outcome := completion.Outcome
	if outcome == OutcomeOK && request.state == running {
		c.estimator.recordRun(c.now, request, completion.Took)
	}
	if outcome == OutcomeCancelled && !request.answered {
		c.actions.emit(Action{Kind: ActionFail, ID: request.id})
	}
	c.keys.runEnded(c.now, request, outcome)
	c.release(request)
}

// fail answers a request with an error, unless it has its answer.
func (c *Controller) fail(request *request) {
	if request.answered {
		return
	}
	c.actions.emit(Action{Kind: ActionFail, ID: request.id})
	c.settle(request)
}

// settle records that no answer to a request is owed any more. A run is stopped where that is possible and
// loses nothing: the run of a request that is idempotent by key goes on, as its result answers the retries.
// A request that has ended or has its answer is ignored. Only the simulator stops runs: with the settings
// of the real server, from internal/config, Halt is HaltOff and runs go on to their end.
func (c *Controller) settle(request *request) {
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

// release ends a request and gives back what it took.
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
	case received, following, joined, released: // took no more than the memory of a request
	}
	c.memory.giveBack(request.memoryKB)
	if request.state >= running {
		c.memory.giveBack(c.memory.runningExtraKB(request.memoryKB))
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
