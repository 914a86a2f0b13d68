// Package admission is the admission and overload controller of an image server: it decides which requests run,
// in which order, and which are rejected or failed, and which calls to the dependency below are made.
//
// The package is pure. It does no I/O and has no clock, goroutine or global state: its owner feeds it events
// with Controller.Step and carries out the actions that Step returns, in their order. A Controller belongs to
// one goroutine.
//
// Times are durations on the owner's clock; work is in seconds of a standard core.
//
// Files that decide, all of them named under policy in deploy/balancer.toml:
//
//	controller.go      the order in which all parts are asked
//	timers.go          when the owner is to call again
//	admission.go       whether a request is queued or rejected
//	admission_rate.go  which part of the requests is admitted while the CPU is overloaded
//	queue.go           which queued request is next, and which is too late
//	scheduler.go       the start and the end of runs, and estimates of their times
//	concurrency.go     how many requests run
//	slow_start.go      how fast a server is that has just started
//	calls.go           calls to the dependency: limits, retries, doing without
//	breaker.go         the circuit breaker before these calls
//	idempotency.go     retries that share a run and its result
//	memory.go          the memory limit
//	tenants.go         how far the quota of its tenant lets a request count
//	drain.go           what a server still does before it stops
//	health.go          how health checks are answered
//	advice.go          what clients are advised
//	arrivals.go        rates of requests and retries, and how late they are read
//	advertiser.go      the value that is sent along with answers
//	idle_timeout.go    when idle connections are closed
//	reporting.go       which changes of conditions are logged
//
// The other files hold the types exchanged with the owner, the state and its accounting. Statistics and the queue by
// time are packages of their own, below internal.
package admission
