// Package admission is the admission controller of an image server. It decides which requests run and in
// which order, which requests are rejected or failed, and which calls to the dependency are made.
//
// The package does no I/O and has no clock, goroutine or global state. Its owner (the server or the
// simulator) passes events to Controller.Step and carries out the returned actions in order. A Controller is
// not safe for concurrent use. Times are durations on the owner's clock. Work is measured in seconds of a
// standard core.
//
// # A step
//
// Controller.Step (controller.go) processes a batch of events that share one time, in this order:
//
//  1. Quantities that change with time are brought up to date: the core time used (estimator.go), the
//     call-seconds in flight and the remaining call credit (call_limiter.go).
//  2. Periodic decisions that were skipped while the server was idle are made up for (timers.go).
//  3. Each event is handled. A request that was read is admitted or rejected, see below. The end of a run
//     frees the resources of the run and, if the run succeeded, updates the estimates (runs.go). A call that
//     is needed is queued. After a successful call its run continues. A call that did not succeed is retried,
//     or its run continues without it or fails (calls.go).
//  4. Expired deadlines are handled (periodic.go). Requests whose run has not started are rejected, and
//     the others are answered with an error, before their clients stop waiting. Failed calls whose backoff
//     has passed are queued again, and keys expire.
//  5. Every 100 ms the periodic decisions are made (periodic.go). Requests that are too late are rejected.
//     The value factors of tenants, the admit probability, the run limit, the call limit, the idle timeout
//     and the health state are adjusted to the latest measurements. Changes of conditions are logged.
//  6. Waiting calls are made until the call limiter allows no more; the circuit breaker may drop a call
//     instead. Calls are made in the order of the times until which their requests are useful (request.go).
//  7. Queued requests are started until the concurrency limiter or the memory limit allows no more. The
//     request that must start first to meet its objective goes first (runs.go, scheduler.go).
//  8. The owner is asked to step again at the next deadline or periodic decision at the latest.
//
// # Whether a request is admitted
//
// A request that was read (admission.go) is rejected if one of these rules applies. The rules are checked in
// this fixed order, and the first that applies decides:
//
//  1. The class of the request is unknown.
//  2. The server drains, and the request arrived after the grace period or cannot be answered before the
//     process ends (drain.go).
//  3. The memory limit is exceeded, or there is no memory for the request's idempotency key (memory.go,
//     key_table.go).
//  4. All cores are busy and the request ranks below the fleet's shedding threshold.
//  5. All cores are busy and the random draw with the admit probability fails (admit_probability.go).
//  6. The request must call the dependency, and only other servers of the fleet probe whether the dependency
//     has recovered (breaker.go).
//  7. The request would be answered after its latency objective for lack of CPU time or of calls, and no
//     queued request has clearly less value per unit of the scarce resource (estimator.go, value.go,
//     tenants.go). Queued requests of clearly less value are rejected first, one by one, until the new one can
//     be answered in time. If so little is under way that a recovery would go unnoticed, the request is
//     admitted anyway, as a trial.
//
// An attempt that retries a known request (Arrival.RetryOf) is not admitted by these rules if results of its
// class are reused. It shares the run of that request; only rule 1 is checked before. If the memory limit is
// exceeded, the attempt is rejected, or failed if the run may have started (idempotency.go).
//
// A request that was admitted and has not run is still rejected in these cases:
//
//   - A request of more value displaces it (rule 7).
//   - Its answer deadline passes while it is queued or waits for the attempt that it retries (periodic.go).
//   - It is found too late to start, at a periodic decision or when the next run is chosen (runs.go,
//     scheduler.go).
//   - It is next to start, and there is no memory to run it although nothing else runs, or a drain leaves no
//     time for it (runs.go).
//   - The attempt that it retries ended without a run, and rules 2 to 7, which are checked only then, reject
//     it (idempotency.go).
//
// The advice that a client gets with a rejection depends on the reason, the state of the fleet and the rate
// of retries (advice.go).
//
// # Files that decide
//
// All of them are listed under policy in deploy/balancer.toml.
//
//	controller.go          the order of a step, and the part that handles each event
//	periodic.go            the periodic decisions, expired deadlines, and the start of a drain
//	admission.go           whether a request is queued or rejected
//	idempotency.go         attempts that share a run and its result
//	runs.go                the start and the end of runs
//	scheduler.go           which queued request runs next, and which is too late
//	request.go             until when a request is useful
//	request_queue.go       queued requests in order, with their counts and sums of work
//	value.go               the value of a request, and which queued request is displaced by a new one
//	tenants.go             how far the quota of a tenant reduces the value of its requests
//	estimator.go           estimates of waiting and run times
//	concurrency.go         how many requests run
//	slow_start.go          the speed of a server that has just started
//	admit_probability.go   the probability of admission while the CPU is overloaded
//	calls.go               the life cycle of a call: retries, skipped calls, abandoned calls
//	call_limiter.go        how many calls are in flight, and their timeouts
//	breaker.go             the circuit breaker for calls
//	memory.go              the memory limit
//	key_table.go           requests that are remembered for their retries
//	drain.go               which requests still run before a process ends, and when the last are answered
//	health.go              the answer to health checks
//	advice.go              the advice to clients with a rejection
//	arrivals.go            the rates of requests and retries, and the read delay
//	advertiser.go          the value sent along with answers, which limits what clients send
//	idle_timeout.go        when idle connections are closed
//	timers.go              when the next decision is due
//	reporting.go           which changes of conditions are logged
//
// The other files hold the types that are exchanged with the owner, the settings and helpers. Statistics over
// the recent past are in internal/rolling, and the queue of deadlines and calls in internal/timedqueue.
package admission
