package admission

import "time"

// Advice to clients: when to come back, how many requests to have outstanding, how long to keep connections.
const (
	minRetryAfter        = 100 * time.Millisecond // shortest advice to stay away; ours
	creditPerCore        = 2.5                    // requests per core outstanding from all clients; ours
	offeredTimeConstant  = 8 * time.Second        // for arrivals and the mix of tenants; ours
	idleConnectionPayoff = 0.5                    // of the timeout: a longer mean interval shortens it; ours
	shortIdleTimeout     = 500 * time.Millisecond // the shortened one; ours
)

// rejectionDelay is the advice that goes with a rejection. While reading is late it takes the CPU from all
// else, and advice that ends before a client would have come anyway has no effect: in a large fleet each
// comes seldom.
func (c *Controller) rejectionDelay(req *request, reason Reason, noRetry bool) time.Duration {
	delay := time.Duration(0)
	if !noRetry {
		delay = min(c.retryAfter(reason)+req.retryJitter, c.settings.MaxRetryAfter)
	}
	readingLate := c.readWait.Value() > lateReadWaitRatio*c.shortestObjective().Seconds()
	if interval := c.meanClientInterval(); readingLate && interval > minRetryAfter {
		delay = max(delay, min(interval, c.settings.MaxRetryAfter))
	}
	return delay
}

func (c *Controller) retryAfter(reason Reason) time.Duration {
	if !c.settings.SendsRetryAfter && c.settings.MaxRetryAfter <= 0 {
		return 0
	}
	if reason == ReasonDraining {
		return c.settings.MaxRetryAfter
	}
	return min(max(seconds(c.queuedWork/c.ServiceRate()/2), minRetryAfter), c.settings.MaxRetryAfter)
}

// meanClientInterval is the mean time between two requests of one client to this server.
func (c *Controller) meanClientInterval() time.Duration {
	return scale(offeredTimeConstant, float64(c.settings.Clients)/max(c.arrivals.First, 1))
}

// adjustIdleTimeout weighs open connections, which cost CPU and a place in a table of unknown size, against
// new ones, which cost work once. Where a client returns well within the idle timeout it keeps its
// connection; where it seldom does, connections are closed soon, before rare clients fill the table.
func (c *Controller) adjustIdleTimeout() {
	c.arrivals.DecayTo(c.now)
	clients := max(float64(c.settings.Clients), c.gauges.Connections)
	timeout := c.settings.IdleTimeout
	if clients*offeredTimeConstant.Seconds() > idleConnectionPayoff*timeout.Seconds()*c.arrivals.First {
		timeout = min(timeout, shortIdleTimeout)
	}
	if timeout != c.idleTimeout {
		c.idleTimeout = timeout
		c.emit(Action{Kind: ActionIdleTimeout, Duration: timeout})
	}
}

// advertiseCredit tells clients once how many requests each may have outstanding here.
func (c *Controller) advertiseCredit() {
	if c.settings.Advert == AdvertCredit {
		all := creditPerCore * float64(c.settings.Cores)
		c.emit(Action{Kind: ActionAdvertise, Value: all / float64(max(c.settings.Clients, 1))})
	}
}
