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
//	admission.go    whether a request is queued or rejected
//	queue.go        which queued request is next, and which is too late
//	scheduler.go    how many requests run, and estimates of their times
//	calls.go        calls to the dependency: limits, retries, doing without
//	breaker.go      the circuit breaker before these calls
//	idempotency.go  retries that share a run and its result
//	limits.go       memory, concurrency and quotas of tenants
//	drain.go        how a server stops
//	health.go       when health checks are answered badly
//	advice.go       what clients are advised
//	controller.go   the order in which all these are asked
//
// The other files hold the types exchanged with the owner, the state and its accounting, and statistics.
package admission
