package admission

import "time"

const (
	minRetryAfter      = 100 * time.Millisecond // shortest advice to stay away
	lateRejectionRatio = 0.5                    // of its objective, after which a request is too late
	lateReadDelayRatio = 0.08                   // read delay, of the shortest objective, that is late
	queuedAheadRatio   = 0.5                    // part of the queue that is ahead of a request in the mean
)

// clientAdvisor decides what clients are advised: with a rejection, when to come back and whether to try
// another server; with all answers, how much to send; and how long to keep idle connections.
//
// It owns readDelay, which advice depends on and health uses as well, and idleTimeout, which follows from the
// same arrival rates as advice. Neither is a part of the Controller, which keeps its number of parts small.
type clientAdvisor struct {
	clients           int
	maxRetryAfter     time.Duration
	sendsRetryAfter   bool
	marksRetries      bool
	shortestObjective time.Duration // of all classes
	arrivals          arrivalRate
	readDelay         readDelay
	advertiser        advertiser
	idleTimeout       idleTimeout
}

func newClientAdvisor(settings *Settings) clientAdvisor {
	return clientAdvisor{
		arrivals:    newArrivalRate(),
		idleTimeout: idleTimeout{current: settings.IdleTimeout},
	}
}

func (a *clientAdvisor) configure(settings *Settings) {
	a.clients = settings.Clients
	a.maxRetryAfter = settings.MaxRetryAfter
	a.sendsRetryAfter = settings.SendsRetryAfter
	a.marksRetries = settings.MarksRetries
	a.shortestObjective = settings.shortestObjective()
	a.idleTimeout.configured = settings.IdleTimeout
	a.advertiser.configure(settings)
}

// reject returns the rejection of a request that never ran. The cause is the rule that decided, and queueTime
// the number of seconds that running all queued requests would take.
func (a *clientAdvisor) reject(
	now time.Duration, request *request, cause Reason, queueTime float64,
) Rejection {
	reason := rejectionReason(now, request, cause)
	if reason == ReasonCPU && !a.marksRetries {
		a.arrivals.addRejection(now)
	}
	noRetry := a.noRetryElsewhere(request, reason)
	rejection := Rejection{Reason: reason, Cause: cause, NoRetryElsewhere: noRetry}
	if !noRetry {
		rejection.RetryAfter = min(a.retryAfter(reason, queueTime)+request.retryJitter, a.maxRetryAfter)
	}
	rejection.RetryAfter = a.coverClientInterval(rejection.RetryAfter)
	return rejection
}

// rejectionReason is the reason that counts for a client: the cause, or ReasonTooLate if too little time is
// left for an attempt elsewhere.
func rejectionReason(now time.Duration, request *request, cause Reason) Reason {
	objective := request.objective - request.firstAttemptAt
	if now-request.firstAttemptAt > scale(objective, lateRejectionRatio) {
		return ReasonTooLate
	}
	return cause
}

// noRetryElsewhere reports whether the client is not to try another server: where that can't help, and in a
// retry storm. In one the other servers are as full, and each attempt there costs reading and mostly a new
// connection.
func (a *clientAdvisor) noRetryElsewhere(request *request, reason Reason) bool {
	switch reason {
	case ReasonDependency, ReasonTooLate, ReasonBelowThreshold:
		return true
	case ReasonCPU:
		if request.fleetRank == RankUnknown {
			return a.arrivals.retryStorm()
		}
		return request.fleetRank != RankElsewhere
	case ReasonMemory, ReasonDraining:
		return false // other servers have memory and don't drain
	}
	return false
}

// retryAfter is how long the client is to avoid this server: until half of the queue has run.
func (a *clientAdvisor) retryAfter(reason Reason, queueTime float64) time.Duration {
	if !a.sendsRetryAfter && a.maxRetryAfter <= 0 {
		return 0
	}
	if reason == ReasonDraining {
		return a.maxRetryAfter
	}
	return min(max(seconds(queueTime*queuedAheadRatio), minRetryAfter), a.maxRetryAfter)
}

// coverClientInterval prolongs advice while reading is late. Reading takes the CPU from all else then, and
// advice that ends before a client would have come anyway has no effect: in a large fleet each comes seldom.
func (a *clientAdvisor) coverClientInterval(retryAfter time.Duration) time.Duration {
	interval := a.arrivals.meanClientInterval(a.clients)
	if a.readDelay.exceeds(lateReadDelayRatio, a.shortestObjective) && interval > minRetryAfter {
		return max(retryAfter, min(interval, a.maxRetryAfter))
	}
	return retryAfter
}

// readDelayExceeded reports whether the mean read delay is above the limit for a healthy server.
func (a *clientAdvisor) readDelayExceeded() bool {
	return a.readDelay.exceeds(unhealthyReadDelayRatio, a.shortestObjective)
}

// adjustIdleTimeout adjusts the idle timeout once per sweep, and reports whether it has changed.
func (a *clientAdvisor) adjustIdleTimeout(now time.Duration, connections float64) (changed bool) {
	clients := max(float64(a.clients), connections)
	return a.idleTimeout.adjust(now, clients, &a.arrivals)
}
