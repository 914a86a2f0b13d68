// Package server wires the parts of an image server together.
//
// One goroutine, the loop (loop.go), owns the admission controller and all state of requests and connections, so that
// none of it needs a lock. Other goroutines hand the loop events through a bounded inbox; the loop reads events, sweeps
// deadlines, lets the controller decide and carries out its actions.
//
// A request passes six stages, each in a file of its own: receive, admit, dispatch, execute, calls (of a run to the
// store) and respond. Every other concern (connections, idempotency keys, drain, health checks, gauges, reload,
// handover between processes, membership of a fleet) is one type in one file, and one field of Server.
//
// What decides is elsewhere: package admission whether a request runs or is rejected, how many calls go to the store and
// how health checks are answered; package overload what the members of a fleet do together (shedding.go, quota.go and
// probes.go hand its results to the controller). This package decides when connections close, which of two attempts with
// one idempotency key runs, and when a drain is over.
package server
