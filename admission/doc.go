// Package admission is the admission and overload controller of an image server: it decides which requests run, in
// which order, and which are rejected or failed, and which calls to the dependency below are made.
//
// The package is pure. It does no I/O and has no clock, goroutine or global state: its owner feeds it events with
// Controller.Step and carries out the actions that Step returns, in their order. A Controller belongs to one goroutine.
// Times are durations on the owner's clock; work is in seconds of a standard core.
//
// # A step
//
// Controller.Step (controller.go) takes a batch of events at one time and asks the parts in this order:
//
//  1. The sums that grow with time are brought up to now: core time in use (estimator.go), and call-seconds in flight
//     and the credit that is left of them (call_limiter.go).
//  2. Periodic decisions that were skipped while the server was idle are made up for (timers.go).
//  3. Each event goes to the part that it concerns. A request that was read is decided on: see below. The end of a run
//     improves the estimates and frees what the run took (runs.go). A call that is needed waits for its turn, and one
//     that has ended is retried, done without, or lets its run go on (calls.go).
//  4. Deadlines that have passed are acted on: requests that wait are rejected and runs are answered with an error
//     before their clients give up, calls are retried, keys expire (periodic.go).
//  5. Ten times a second the periodic decisions are made, a sweep (periodic.go): requests that are too late are
//     rejected; tenants are weighed by their quotas; the admit probability, the run limit and the limit on calls follow
//     what was measured; the idle timeout and the health state are adjusted; changes of conditions are logged.
//  6. Calls that wait are made, by the end of their requests' usefulness, as far as the call limiter allows and the
//     circuit breaker does not drop them.
//  7. Queued requests are started, by their latest start, as far as the concurrency limiter and the memory allow
//     (runs.go, scheduler.go).
//  8. The owner is asked to step again, at the latest at the next deadline or sweep.
//
// # Whether a request is admitted
//
// A request that was read (admission.go) is rejected if one of these rules applies. They are checked in this order, which
// is fixed; the first that applies decides.
//
//  1. Its class is unknown.
//  2. The server drains, and it came too late or can't end in time (drain.go).
//  3. The memory limit is exceeded, or there is no memory for its idempotency key (memory.go, key_table.go).
//  4. All cores are busy and it ranks below the fleet's shedding threshold.
//  5. All cores are busy and the draw by the admit probability is against it (admit_probability.go).
//  6. It must call the dependency, and other servers probe whether that is back (breaker.go).
//  7. It would be answered after its latency objective, for lack of CPU time or of calls, and no queued request is worth
//     clearly less for each unit of what is scarce (estimator.go, value.go, tenants.go). If there is one, that is
//     rejected in its place. With too few trial runs to notice a recovery, it is admitted all the same.
//
// An attempt of a request that is known here shares its run instead, after the first rule (idempotency.go); if memory is
// short it is rejected, or failed if the run may have started.
//
// A request that was admitted and has not run is still rejected if
//
//   - it is displaced by a request of more value (rule 7);
//   - its answer deadline passes while it is queued, or waits for the attempt that it retries (periodic.go);
//   - it is found too late to start, at a sweep or when the next run is chosen (runs.go, scheduler.go);
//   - it is next to start, and there is no memory to run it though nothing else runs, or a drain leaves no time for it
//     (runs.go);
//   - the attempt that it retries ended without a run, and the rules from 2 on, checked anew, reject it (idempotency.go).
//
// What a rejection advises the client follows from the reason, the state of the fleet and the rate of retries (advice.go).
//
// # Files that decide
//
// All of them are named under policy in deploy/balancer.toml.
//
//	controller.go          the order of a step, and which part an event concerns
//	periodic.go            the periodic decisions, deadlines, and the start of a drain
//	admission.go           whether a request is queued or rejected
//	idempotency.go         attempts that share a run and its result
//	runs.go                the start and the end of runs
//	scheduler.go           which queued request runs next, and which is too late
//	request.go             until when a request is of use
//	request_queue.go       queued requests, in order, with their sums
//	value.go               what a request is worth, and which yields to another
//	tenants.go             how far the quota of its tenant lets a request count
//	estimator.go           how long requests wait and run
//	concurrency.go         how many requests run
//	slow_start.go          how fast a server is that has just started
//	admit_probability.go   the probability with which requests are admitted while the CPU is overloaded
//	calls.go               the life of a call: retries, doing without, abandoned calls
//	call_limiter.go        how many calls are in flight, and for how long
//	breaker.go             the circuit breaker before calls
//	memory.go              the memory limit
//	key_table.go           requests that are remembered
//	drain.go               what a server still does before it stops
//	health.go              how health checks are answered
//	advice.go              what clients are advised with a rejection
//	arrivals.go            rates of requests and retries, and how late they are read
//	advertiser.go          the value that is sent along with answers
//	idle_timeout.go        when idle connections are closed
//	timers.go              when the next decision is due
//	reporting.go           which changes of conditions are logged
//
// The other files hold the types that are exchanged with the owner and the settings. The statistics and the queue by time
// that the parts use are packages of their own, below internal.
package admission
