package server

import "slices"

const (
	// maxDrainReads bounds how often the rest of the input of a closing connection is read: a front end that never stops
	// sending is cut off.
	maxDrainReads = 8
	// reservedConnections are left free, so that a new one is accepted while an idle one closes.
	reservedConnections = 8
)

// closeState is how far the closing of a connection has got. What arrives meanwhile is answered, for it may have been
// sent before the front end could know: the connection closes once no answer is owed on it, and nothing has arrived
// that was not read.
type closeState uint8

const (
	closeStateOpen       closeState = iota // it is not closing
	closeStateDraining                     // it reads what has arrived by now, and then pauses
	closeStatePaused                       // nothing is read
	closeStateResumed                      // it is read as ever until all answers are given, and then drained again
	closeStateUnreadable                   // nothing can be read any more
)

func (s closeState) String() string {
	switch s {
	case closeStateOpen:
		return "open"
	case closeStateDraining:
		return "draining"
	case closeStatePaused:
		return "paused"
	case closeStateResumed:
		return "resumed"
	case closeStateUnreadable:
		return "unreadable"
	}
	return unknownName
}

// countDrainRead records that reading has been paused. The input of a connection that never stops sending is discarded.
func (c *connectionState) countDrainRead() {
	c.drainReads++
	if c.drainReads > maxDrainReads {
		c.discardingInput = true
	}
}

// maxConnections is how many connections may be open. Two processes that are one image server share its descriptors.
func (s *Server) maxConnections() int {
	limit := s.config.Limits.MaxFrontConnections()
	if s.handover.paired() {
		limit /= 2
	}
	return limit - reservedConnections
}

// evictIdle closes an idle connection, and reports whether there was one.
func (s *Server) evictIdle() bool {
	state := s.connections.evictionCandidate()
	if state == nil {
		return false
	}
	s.beginClose(state)
	return true
}

// beginClose starts to close a connection. A request on it may not have been read yet, where the loop is behind or the
// machine was paused: it is read, and answered. The connection does not count as open from now on.
func (s *Server) beginClose(state *connectionState) {
	if state.closing == closeStateOpen {
		s.stats.ConnectionsClosed++
		s.drainInput(state)
	}
}

// drainInput has a closing connection read what has arrived by now.
func (s *Server) drainInput(state *connectionState) {
	s.connections.setCloseState(state, closeStateDraining)
	state.connection.PauseReading()
}

// advanceClosing takes each closing connection one step on.
func (s *Server) advanceClosing() {
	for _, state := range slices.Clone(s.connections.closing) {
		if state.busy() {
			s.resumeReading(state)
		} else {
			s.advanceIdleClosing(state)
		}
	}
}

// resumeReading reads a closing connection while answers are owed on it.
func (s *Server) resumeReading(state *connectionState) {
	if state.closing == closeStatePaused && !state.discardingInput {
		s.connections.setCloseState(state, closeStateResumed)
		state.connection.ResumeReading()
	}
}

// advanceIdleClosing takes a closing connection on which no answer is owed one step on.
func (s *Server) advanceIdleClosing(state *connectionState) {
	switch state.closing {
	case closeStateDraining:
		return // ReadEnded is to come
	case closeStateResumed:
		s.drainInput(state)
		return
	case closeStatePaused:
		if !state.discardingInput && !state.connection.TryClose() {
			s.connections.setCloseState(state, closeStateDraining)
			return
		}
	case closeStateOpen, closeStateUnreadable:
	}
	s.connections.remove(state)
	state.connection.Close()
}

// removeConnection removes a connection that has ended: nobody waits for answers on it.
func (s *Server) removeConnection(state *connectionState) {
	s.connections.remove(state)
	for _, request := range state.openRequests {
		s.cancel(request)
	}
}

// notifyClosing notifies a front end, once, that a connection closes.
func (s *Server) notifyClosing(state *connectionState) {
	if state.kind != closingConnection {
		s.connections.markNotified(state, s.clock.now)
		state.connection.NotifyClosing()
	}
}
