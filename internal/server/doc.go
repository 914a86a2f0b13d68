// Package server assembles an image server from its parts.
//
// One goroutine, the event loop (loop.go), owns the admission controller and all state of requests and connections, so
// that this state needs no locks. Other goroutines send events to the loop through a bounded inbox. In each turn the
// loop handles events, runs expired deadlines, lets the controller decide and carries out its actions.
//
// A request passes through six stages, each in a file of its own: receive, admit, dispatch, execute, calls (of a run to
// the store) and respond. Every other concern (connections, idempotency keys, drain, health checks, gauges, reload,
// handover between processes, membership of a fleet) is one type in one file, and one field of Server.
//
// Many decisions are made elsewhere. Package admission decides whether a request runs or is rejected, how many calls go
// to the store and how health checks are answered. Package overload decides what the members of a fleet do together;
// shedding.go, quota.go and probes.go pass its results to the controller. This package decides when connections close,
// which of several attempts with one idempotency key runs, and when a drain is complete.
package server
