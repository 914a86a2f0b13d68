package admission

import "time"

const (
	// Shortest RetryAfter, unless MaxRetryAfter is shorter.
	minRetryAfter = 100 * time.Millisecond
	// Fraction of its objective after which a request is too late for an attempt elsewhere.
	lateRejectionRatio = 0.5
	// Mean read delay above which RetryAfter is extended, as a fraction of the shortest objective.
	lateReadDelayRatio = 0.08
	// Mean fraction of the queue that is ahead of a request.
	queuedAheadRatio = 0.5
)

// clientAdvisor decides what clients are advised: with a rejection, when to retry and whether to try another
// server; with all answers, how much to send. It also decides how long idle connections are kept.
//
// It owns readDelay, which both advice and health depend on, and idleTimeout, which follows from the same
// arrival rates as the advice. They are fields of clientAdvisor so that Controller has fewer fields.
type clientAdvisor struct {
	clients           int           // number of clients of the tier
	maxRetryAfter     time.Duration // upper bound of RetryAfter
	sendsRetryAfter   bool          // RetryAfter is passed on to clients
	marksRetries      bool          // clients mark retries
	shortestObjective time.Duration // of all configured classes
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

// reject returns the rejection of a request that never ran. cause is the rule that decided, and queueTime the
// number of seconds that running all queued requests would take.
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
	rejection.RetryAfter = a.extendToClientInterval(rejection.RetryAfter)
	return rejection
}

// rejectionReason returns the reason that the client is given: cause, or ReasonTooLate if too little time is
// left for an attempt elsewhere.
func rejectionReason(now time.Duration, request *request, cause Reason) Reason {
	objective := request.objective - request.firstAttemptAt
	if now-request.firstAttemptAt > scale(objective, lateRejectionRatio) {
		return ReasonTooLate
	}
	return cause
}

// noRetryElsewhere reports whether the client is asked not to try another server, because that would not help
// or because of a retry storm. In a retry storm the other servers are as full, and each attempt costs one of
// them the CPU time to read the request and, usually, to accept a new connection.
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
		return false // other servers are assumed to have memory and not to drain
	}
	return false
}

// retryAfter returns how long the client should avoid this server: for maxRetryAfter if it drains, and
// otherwise until about half of the queue has run.
func (a *clientAdvisor) retryAfter(reason Reason, queueTime float64) time.Duration {
	if !a.sendsRetryAfter && a.maxRetryAfter <= 0 {
		return 0
	}
	if reason == ReasonDraining {
		return a.maxRetryAfter
	}
	return min(max(seconds(queueTime*queuedAheadRatio), minRetryAfter), a.maxRetryAfter)
}

// extendToClientInterval extends retryAfter to the mean interval between two requests of a client while the
// mean read delay is above lateReadDelayRatio: reading requests then takes CPU time from all other work. In a
// large fleet each client rarely sends a request to this server, so advice that ends before its next request
// would have no effect.
func (a *clientAdvisor) extendToClientInterval(retryAfter time.Duration) time.Duration {
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

// adjustIdleTimeout adjusts the idle timeout, once per periodic decision, and reports whether it has changed.
// connections is the number of open connections, negative if unknown.
func (a *clientAdvisor) adjustIdleTimeout(now time.Duration, connections float64) (changed bool) {
	clients := max(float64(a.clients), connections)
	return a.idleTimeout.adjust(now, clients, &a.arrivals)
}
