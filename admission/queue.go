package admission

import "time"

// The queue of requests that wait to run: one for each class, in order of arrival.

// expireQueued clears the fronts of the queues: requests that have left them, and those that are too late to
// be useful. It reports whether it rejected any, which may have changed the other fronts.
func (c *Controller) expireQueued() (rejected bool) {
	for i := range c.classes {
		class := &c.classes[i]
		for len(class.queue) > 0 {
			if req := class.queue[0]; req.state == queued {
				if !c.tooLate(req) {
					break
				}
				c.reject(req, ReasonTooLate)
				rejected = true
			}
			class.queue[0] = nil
			class.queue = class.queue[1:]
		}
	}
	return rejected
}

// nextQueued returns the request that must start first to meet its objective, or nil. While calls are
// backlogged, requests that need one are passed over.
func (c *Controller) nextQueued(callsBacklogged bool) *request {
	var next *request
	var earliest time.Duration
	for i := range c.classes {
		class := &c.classes[i]
		if len(class.queue) == 0 {
			continue
		}
		req := class.queue[0]
		if callsBacklogged && class.callsPerRun.Or(1) > 0 && c.needsCall(req) {
			continue
		}
		if startBy := req.objective - c.serviceTime(req); next == nil || startBy < earliest {
			next, earliest = req, startBy
		}
	}
	return next
}

// tooLate reports whether req is not to start any more. While fewer than the trial runs are running that is
// only once it is of no use at all, so that a recovery is noticed.
func (c *Controller) tooLate(req *request) bool {
	missesObjective := c.now+c.serviceTime(req) > req.objective
	return missesObjective && (c.runs.enoughTrials() || c.now >= req.usefulUntil)
}
