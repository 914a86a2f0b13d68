package server

import (
	"errors"

	"falldeal/internal/stats"
)

// Stage 1, receive: connections put what they read into the inbox.

// Reasons for which a request is invalid because of other requests: those on its connection, or attempts with the same ID.
// The texts are sent to front ends and must not change.
var (
	errTooManyOpenRequests = errors.New("too many open requests on this connection")
	// An attempt with this ID is active.
	errDuplicateID = errors.New("field id: a try of this id is in hand")
	// An attempt with this ID has been answered or run.
	errCompletedID = errors.New("field id: a try of this id was answered or run before")
)

// The exported methods of this file may be called from any goroutine. They block while the inbox is full.

// ConnectionOpened registers a new connection.
func (s *Server) ConnectionOpened(conn Connection) { s.inbox.put(&connectionOpened{conn}) }

// ReadEnded reports that reading from a connection has ended, for now or for good. After Disconnected, requests on it are
// cancelled. In all other cases, requests that were read before are still answered.
func (s *Server) ReadEnded(conn Connection, reason EndReason) { s.inbox.put(&readEnded{conn, reason}) }

// Submit receives a request that was read from a connection.
func (s *Server) Submit(conn Connection, callNumber uint32, attempt Attempt) {
	s.inbox.put(&requestReceived{connection: conn, callNumber: callNumber, attempt: attempt})
}

// RejectInvalid answers Invalid to a request that could not be read. The text of err is the reason.
func (s *Server) RejectInvalid(conn Connection, callNumber uint32, err error) {
	s.inbox.put(&invalidRequestReceived{conn, callNumber, err})
}

// Cancel reports that the front end no longer waits for the answer to a request.
func (s *Server) Cancel(conn Connection, callNumber uint32) {
	s.inbox.put(&requestCancelled{conn, callNumber})
}

// HealthCheck answers a health check with the controller's last decision. A deep check that the controller leaves open is
// answered by whether the agent completes some work.
func (s *Server) HealthCheck(conn Connection, callNumber uint32, deep bool) {
	s.inbox.put(&healthCheckReceived{healthCheck{conn, callNumber}, deep})
}

// connectionOpened reports a new connection.
type connectionOpened struct {
	connection Connection
}

func (e *connectionOpened) handle(server *Server) {
	server.stats.Connections++
	full := server.connections.size() >= server.maxConnections() && !server.evictIdle()
	state := server.connections.add(e.connection, server.clock.now)
	if server.drain.started() {
		server.notifyClosing(state)
	}
	if full { // closed in the same steps as any other connection: a request on it may already wait to be read
		server.beginClose(state)
	}
}

// readEnded reports the end of reading from a connection.
type readEnded struct {
	connection Connection
	reason     EndReason
}

func (e *readEnded) handle(server *Server) {
	state := server.connections.get(e.connection)
	e.count(state, &server.stats)
	if state == nil {
		return
	}
	switch e.reason {
	case Disconnected:
		server.removeConnection(state)
	case MalformedInput:
		server.connections.setCloseState(state, closeStateUnreadable)
	case ReadTimeout, ReadPaused:
		server.connections.setCloseState(state, closeStatePaused)
		state.countDrainRead()
	}
}

// count counts the reason for which reading ended, except for a timeout on a connection that was closing already, where
// it is expected. state is nil for a connection that was removed before.
func (e *readEnded) count(state *connectionState, counters *stats.Counters) {
	closing := state != nil && state.closing != closeStateOpen
	switch {
	case e.reason == MalformedInput:
		counters.MalformedInputs++
	case e.reason == ReadTimeout && !closing:
		counters.ReadTimeouts++
	}
}

// requestReceived is a request that was read from a connection.
type requestReceived struct {
	connection Connection
	callNumber uint32
	attempt    Attempt
}

func (e *requestReceived) handle(server *Server) {
	state := server.connections.get(e.connection)
	if state == nil || state.discardingInput {
		return
	}
	server.connections.markReceived(state, server.clock.now)
	server.stats.Requests++
	if state.closing != closeStateOpen {
		server.notifyClosing(state) // the front end still uses the connection
	}
	repeated := e.reusesCallNumber(state, server)
	state.lastCallNumber = max(state.lastCallNumber, e.callNumber)
	if repeated {
		// Answers to two requests with the same call number can't be told apart, so only the first request is answered.
		state.discardingInput = true
		server.beginClose(state)
		return
	}
	if err := e.check(state, server); err != nil {
		server.answerInvalid(e.connection, e.callNumber, &e.attempt, err)
		return
	}
	server.admit(e.connection, e.callNumber, &e.attempt)
}

// reusesCallNumber reports whether the request has the call number of an open request on the connection. Once the first
// request is answered, its number is not known any more: then a request counts as reusing a number if that is not higher
// than all earlier ones, and an attempt with the request's ID was answered or run before.
func (e *requestReceived) reusesCallNumber(state *connectionState, server *Server) bool {
	if state.openRequests[e.callNumber] != nil {
		return true
	}
	return e.callNumber <= state.lastCallNumber && server.completed.contains(e.attempt.ID)
}

// check returns the reason for which a request is invalid because of other requests, or nil.
func (e *requestReceived) check(state *connectionState, server *Server) error {
	switch {
	case len(state.openRequests) >= e.connection.MaxOpenCalls():
		return errTooManyOpenRequests
	case server.requests.byAttemptID[e.attempt.ID] != nil:
		return errDuplicateID
	case server.completed.contains(e.attempt.ID):
		return errCompletedID
	}
	return nil
}

// invalidRequestReceived is a request that could not be read.
type invalidRequestReceived struct {
	connection Connection
	callNumber uint32
	err        error
}

func (e *invalidRequestReceived) handle(server *Server) {
	if state := server.connections.get(e.connection); state != nil && !state.discardingInput {
		server.stats.Requests++
		server.answerInvalid(e.connection, e.callNumber, nil, e.err)
	}
}

// requestCancelled reports that a front end no longer waits for the answer to a request.
type requestCancelled struct {
	connection Connection
	callNumber uint32
}

func (e *requestCancelled) handle(server *Server) {
	if state := server.connections.get(e.connection); state != nil && state.openRequests[e.callNumber] != nil {
		server.stats.Cancelled++
		server.cancel(state.openRequests[e.callNumber])
	}
}

// healthCheckReceived is a health check that was read from a connection.
type healthCheckReceived struct {
	check healthCheck
	deep  bool
}

func (e *healthCheckReceived) handle(server *Server) {
	state := server.connections.get(e.check.connection)
	if state == nil || state.discardingInput {
		return
	}
	server.connections.markReceived(state, server.clock.now)
	server.stats.HealthChecks++
	if e.deep && server.health.wantsDeepCheck() {
		server.beginDeepCheck(e.check)
		return
	}
	server.answerHealthCheck(e.check, server.health.healthy)
}
