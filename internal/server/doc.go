// Package server wires the parts of an image server together.
//
// One goroutine, the loop (loop.go), owns the admission controller and all state of requests and connections, so that
// none of it needs a lock. Other goroutines hand the loop events through a bounded inbox; the loop reads events, sweeps
// deadlines, lets the controller decide and carries out its actions.
//
// A request passes six stages, each in a file of its own: receive, admit, dispatch, execute, calls (of a run to the
// store) and respond. Every other concern (connections, idempotency keys, drain, health checks, gauges, reload,
// handover between processes, membership of a fleet) is one type in one file, and one field of Server.
package server
