package admission

// joinAttempt lets an attempt share the run and the result of an earlier one that is known here; false means
// that it is handled like a first attempt. An earlier attempt that is not in flight any more may have run,
// and only its result may answer.
func (c *Controller) joinAttempt(request *request, earlier RequestID) bool {
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

// reuseResult answers a request with the result of the run that it retries.
func (c *Controller) reuseResult(request *request) {
	if request.state != released {
		request.state = joined
		c.actions.emit(Action{Kind: ActionReuse, ID: request.id})
	}
}

// promoteFollower gives the place of an attempt that ended without a run to the first of its followers that
// still waits. The others follow that one, so that an idempotent request never runs twice.
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
