package admission

import "time"

// Health: when health checks are answered badly.
const (
	unhealthyReadWaitRatio = 0.4                    // wait to be read, of the shortest objective; ours
	readWaitDecay          = 0.98                   // factor on it per sweep: it falls without arrivals; ours
	minHealthDuration      = 500 * time.Millisecond // for which a health state stays at least; ours
)

// adjustHealth answers checks badly for a while when requests wait so long to be read that this server reads
// in vain: rejecting costs work too, and a client that comes seldom has forgotten any advice. A server is
// unhealthy half of the time at most, so that a fleet in the same state is thinned out and not emptied.
func (c *Controller) adjustHealth() {
	c.readWait.Scale(readWaitDecay)
	unhealthy := !c.unhealthy && c.readWait.Value() > unhealthyReadWaitRatio*c.shortestObjective().Seconds()
	tooSoon := c.now < c.healthChangedAt+minHealthDuration
	if c.draining || c.deregistered || unhealthy == c.unhealthy || tooSoon {
		return
	}
	c.setHealth(unhealthy, !unhealthy)
}

// setDeregistered answers checks badly for as long as operators want clients elsewhere. Requests that still
// arrive are handled as usual: clients notice late.
func (c *Controller) setDeregistered(deregistered bool) {
	c.deregistered = deregistered
	if !c.draining {
		c.setHealth(false, !deregistered)
	}
}
