package server

import "slices"

const (
	// maxDrainReads is how often the remaining input of a closing connection is read. A front end that never stops sending
	// is cut off after that.
	maxDrainReads = 8
	// reservedConnections are kept free, so that a new connection can be accepted while an idle one closes.
	reservedConnections = 8
)

// closeState is the state of closing a connection. Requests that arrive while it is being closed are answered, because the
// front end may have sent them before it was notified. The connection closes when no request on it waits for its answer,
// and everything that has arrived was read.
type closeState uint8

const (
	closeStateOpen       closeState = iota // not closing
	closeStateDraining                     // reading what has arrived by now, and then pausing
	closeStatePaused                       // not reading
	closeStateResumed                      // reading until all requests are answered, and then draining again
	closeStateUnreadable                   // nothing more can be read
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

// countDrainRead records that reading was paused. After more than maxDrainReads pauses, the input of the connection is
// discarded.
func (c *connectionState) countDrainRead() {
	c.drainReads++
	if c.drainReads > maxDrainReads {
		c.discardingInput = true
	}
}

// maxConnections returns how many connections may be open. The processes of one image server share its file descriptors.
func (s *Server) maxConnections() int {
	return s.config.Limits.MaxFrontConnections()/s.processes.alive - reservedConnections
}

// evictExcess closes idle connections until no more are open than may be.
func (s *Server) evictExcess() {
	for s.connections.size() > s.maxConnections() {
		if !s.evictIdle() {
			return
		}
	}
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

// beginClose starts to close a connection, which from then on does not count as open. A request that has arrived on it but
// was not read, because the loop is behind or the machine was paused, is still read and answered.
func (s *Server) beginClose(state *connectionState) {
	if state.closing == closeStateOpen {
		s.stats.ConnectionsClosed++
		s.drainInput(state)
	}
}

// drainInput makes a closing connection read what has arrived by now.
func (s *Server) drainInput(state *connectionState) {
	s.connections.setCloseState(state, closeStateDraining)
	state.connection.PauseReading()
}

// advanceClosing advances each closing connection by one step.
func (s *Server) advanceClosing() {
	for _, state := range slices.Clone(s.connections.closing) {
		if state.busy() {
			s.resumeReading(state)
		} else {
			s.advanceIdleClosing(state)
		}
	}
}

// resumeReading resumes reading from a closing connection on which requests wait for their answers.
func (s *Server) resumeReading(state *connectionState) {
	if state.closing == closeStatePaused && !state.discardingInput {
		s.connections.setCloseState(state, closeStateResumed)
		state.connection.ResumeReading()
	}
}

// advanceIdleClosing advances a closing connection on which no request waits for its answer by one step.
func (s *Server) advanceIdleClosing(state *connectionState) {
	switch state.closing {
	case closeStateDraining:
		return // waits for ReadEnded
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

// removeConnection removes a connection that has ended, and cancels its open requests.
func (s *Server) removeConnection(state *connectionState) {
	s.connections.remove(state)
	for _, request := range state.openRequests {
		s.cancel(request)
	}
}

// notifyClosing notifies the front end that a connection closes, unless it was notified before.
func (s *Server) notifyClosing(state *connectionState) {
	if state.kind != notifiedConnection {
		s.connections.markNotified(state, s.clock.now)
		state.connection.NotifyClosing()
	}
}
