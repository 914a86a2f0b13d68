package admission

// shareRun makes an attempt share the run and the result of an earlier attempt. It returns false if results
// of the class are not reused; the attempt is then handled like a first attempt. If the earlier attempt is no
// longer queued, it may have run, and only its result may answer the new attempt.
func (c *Controller) shareRun(request *request, earlier RequestID) bool {
	if !c.keys.reusesResults(request.class) {
		return false
	}
	leader := c.requests[earlier]
	if leader != nil && leader.state == following {
		leader = leader.leader
	}
	mayStillRun := leader != nil && leader.state == queued
	memoryFull := c.memory.exceeded()
	switch {
	case mayStillRun && memoryFull:
		c.reject(request, ReasonMemory)
	case mayStillRun:
		request.follow(leader)
	case memoryFull:
		c.fail(request)
	default:
		c.reuseResult(request)
	}
	return true
}

// reuseResult has a request answered with the result of the attempt that it retries. A request that has ended
// is ignored.
func (c *Controller) reuseResult(request *request) {
	if request.state != released {
		request.state = awaitingResult
		c.actions.emit(Action{Kind: ActionReuse, ID: request.id})
	}
}

// promoteFollower replaces an attempt that ended without a run by the first of its followers that still waits
// and is admitted. The remaining followers follow the new leader, so that an idempotent request never runs
// twice.
func (c *Controller) promoteFollower(followers []*request) {
	var leader *request
	for _, follower := range followers {
		switch {
		case follower.state == released:
		case leader == nil:
			c.admit(follower)
			if follower.state != released {
				leader = follower
			}
		case leader.state == queued:
			follower.follow(leader)
		default:
			c.reuseResult(follower)
		}
	}
}
