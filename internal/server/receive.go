package server

import "errors"

// Stage one, receive: connections put what they read into the inbox.

var (
	errTooManyOpenCalls = errors.New("too many open requests on this connection")
	errDuplicateID      = errors.New("field id: a try of this id is in hand")
	errCompletedID      = errors.New("field id: a try of this id was answered or run before")
)

// The exported methods of this file may be called from any goroutine; they block while the loop is behind.

// ConnectionOpened makes a connection known.
func (s *Server) ConnectionOpened(c Connection) { s.inbox.put(&connectionOpened{c}) }

// ReadEnded reports that nothing more is read from a connection, for now or for good. After Disconnected nobody waits
// for answers on it; in all other cases what was read before is still answered.
func (s *Server) ReadEnded(c Connection, reason EndReason) { s.inbox.put(&readEnded{c, reason}) }

// Submit receives a request.
func (s *Server) Submit(c Connection, call uint32, a Attempt) {
	s.inbox.put(&requestReceived{connection: c, call: call, attempt: a})
}

// RejectInvalid answers a request that can't be read.
func (s *Server) RejectInvalid(c Connection, call uint32, err error) {
	s.inbox.put(&invalidRequestReceived{c, call, err})
}

// Cancel reports that nobody waits for a call any more.
func (s *Server) Cancel(c Connection, call uint32) { s.inbox.put(&callCancelled{c, call}) }

// HealthCheck answers a health check as the controller last decided, or, for a deep one that it leaves open, by whether
// the agent completes some work.
func (s *Server) HealthCheck(c Connection, call uint32, deep bool) {
	s.inbox.put(&healthCheckReceived{healthCheck{c, call}, deep})
}

// connectionOpened is a new connection.
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
	if full { // closed like any other: a request on it may have waited for long to be read
		server.beginClose(state)
	}
}

// readEnded is the end of reading from a connection.
type readEnded struct {
	connection Connection
	reason     EndReason
}

func (e *readEnded) handle(server *Server) {
	state := server.connections.get(e.connection)
	switch {
	case e.reason == ReadTimeout && (state == nil || state.closing == closeStateOpen):
		server.stats.ReadTimeouts++
	case e.reason == MalformedInput:
		server.stats.MalformedInputs++
	}
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
		state.drainReads++
		if state.drainReads > maxDrainReads {
			state.discardingInput = true
		}
	}
}

// requestReceived is a request that was read.
type requestReceived struct {
	connection Connection
	call       uint32
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
		server.notifyClosing(state) // the front end still uses it
	}
	lastCall := state.lastCall
	state.lastCall = max(lastCall, e.call)
	id := e.attempt.ID
	switch {
	case state.openCalls[e.call] != nil, e.call <= lastCall && server.completed.contains(id):
		// Two calls of one number can't be told apart by their answers: only the first one gets its answer.
		state.discardingInput = true
		server.beginClose(state)
	case len(state.openCalls) >= e.connection.MaxOpenCalls():
		server.answerInvalid(e.connection, e.call, errTooManyOpenCalls)
	case server.requests.byAttemptID[id] != nil:
		server.answerInvalid(e.connection, e.call, errDuplicateID)
	case server.completed.contains(id):
		server.answerInvalid(e.connection, e.call, errCompletedID)
	default:
		server.admit(e.connection, e.call, &e.attempt)
	}
}

// invalidRequestReceived is a request that can't be read.
type invalidRequestReceived struct {
	connection Connection
	call       uint32
	err        error
}

func (e *invalidRequestReceived) handle(server *Server) {
	if state := server.connections.get(e.connection); state != nil && !state.discardingInput {
		server.stats.Requests++
		server.answerInvalid(e.connection, e.call, e.err)
	}
}

// callCancelled is the notification of a front end that it no longer waits for a call.
type callCancelled struct {
	connection Connection
	call       uint32
}

func (e *callCancelled) handle(server *Server) {
	if state := server.connections.get(e.connection); state != nil && state.openCalls[e.call] != nil {
		server.stats.Cancelled++
		server.cancel(state.openCalls[e.call])
	}
}

// healthCheckReceived is a health check that was read.
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
