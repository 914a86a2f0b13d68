package admission

// reserveKey remembers an idempotent request before it may run; false means that there is no memory, hence no
// run.
func (c *Controller) reserveKey(req *request) bool {
	if c.memory.wouldExceed(c.memory.keyKB) {
		return false
	}
	windowEnd := req.arrivedAt + c.settings.Classes[req.class].IdempotencyWindow
	c.addKey(req, max(windowEnd-c.now, c.settings.Tick))
	return true
}

// cacheResult has the result of a read that has just started answer others for a time.
func (c *Controller) cacheResult(req *request) {
	safe := c.settings.Classes[req.class].Idempotency == Safe
	if c.settings.CacheTTL > 0 && safe && c.memory.allowsCaching() {
		c.addKey(req, c.settings.CacheTTL)
	}
}

// handleRetry deals with an attempt of a request that is known here; false means that it is handled like a
// first attempt. Without a record the earlier one may have run, and only its result may answer.
func (c *Controller) handleRetry(req *request, earlier RequestID) bool {
	idempotency := c.settings.Classes[req.class].Idempotency
	if idempotency == Unsafe || idempotency == Safe && c.settings.CacheTTL <= 0 {
		return false
	}
	leader := c.requests[earlier]
	if leader != nil && leader.state == following {
		leader = leader.leader
	}
	waiting, full := leader != nil && leader.state == queued, c.memory.exceeded()
	switch {
	case waiting && full:
		c.reject(req, ReasonMemory)
	case waiting:
		c.follow(req, leader)
	case full:
		c.fail(req)
	default:
		c.joinRun(req)
	}
	return true
}

// joinRun has req answered with the result of the run that it retries.
func (c *Controller) joinRun(req *request) {
	if req.state != released {
		req.state = joined
		c.emit(Action{Kind: ActionReuse, ID: req.id})
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
			if c.admit(follower); follower.state != released {
				leader = follower
			}
		case leader.state == queued:
			c.follow(follower, leader)
		default:
			c.joinRun(follower)
		}
	}
}
