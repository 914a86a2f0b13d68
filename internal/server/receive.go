package server

import (
	"errors"
	"strconv"
	"time"
)

// Stage one, take in: what connections hand to the loop, and the state of the connections.

const (
	deepCheckTimeout = 2 * time.Second // for the work of a deep health check
	maxDeepChecks    = 16              // such checks at work at once
)

// healthCheck is a health check that waits for its work.
type healthCheck struct {
	connection Connection
	call       uint32
}

var (
	errTooManyOpenCalls = errors.New("too many open requests on this connection")
	errDuplicateID      = errors.New("field id: a try of this id is in hand")
	errCompletedID      = errors.New("field id: a try of this id was answered or run before")
)

// ConnectionOpened makes a connection known.
func (s *Server) ConnectionOpened(p Connection) {
	s.post(func() {
		s.stats.Connections++
		full := s.connections.size() >= s.maxConnections() && !s.evictIdle()
		st := s.connections.add(p, s.clock.now)
		if s.drain.started {
			s.notifyClosing(st)
		}
		if full { // a request on it may have waited for its place for long
			s.beginClose(st)
		}
	})
}

// ReadEnded tells that nothing more is read from a connection, for now or for good. Where it has ended, nobody waits for
// answers on it; else what was read before is still answered.
func (s *Server) ReadEnded(p Connection, why EndReason) {
	s.post(func() {
		state := s.connections.get(p)
		switch {
		case why == ReadTimeout && (state == nil || state.closing == closeStateOpen):
			s.stats.ReadTimeouts++
		case why == MalformedInput:
			s.stats.MalformedInputs++
		}
		switch {
		case state == nil:
		case why == Disconnected:
			s.removeConnection(state)
		case why == MalformedInput:
			s.connections.setCloseState(state, closeStateUnreadable)
		default:
			s.connections.setCloseState(state, closeStatePaused)
			state.drainReads++
			state.discardingInput = state.discardingInput || state.drainReads > maxDrainReads
		}
	})
}

// Submit takes in a request.
func (s *Server) Submit(conn Connection, call uint32, t Attempt) {
	s.post(func() {
		state := s.connections.get(conn)
		if state == nil || state.discardingInput {
			return // the connection is gone already
		}
		s.connections.markReceived(state, s.clock.now)
		s.stats.Requests++
		if state.closing != closeStateOpen {
			s.notifyClosing(state) // it is in use after all
		}
		last := state.lastCall
		state.lastCall = max(last, call)
		switch {
		case state.openCalls[call] != nil, call <= last && s.completed.contains(t.ID):
			// Two calls of one number can't be told apart by the answer: that of the first goes out, or has gone.
			state.discardingInput = true
			s.beginClose(state)
		case len(state.openCalls) >= conn.MaxOpenCalls():
			s.answerInvalid(conn, call, errTooManyOpenCalls)
		case s.requestsByID[t.ID] != nil:
			s.answerInvalid(conn, call, errDuplicateID)
		case s.completed.contains(t.ID):
			s.answerInvalid(conn, call, errCompletedID)
		default:
			s.admit(conn, call, t)
		}
	})
}

// RejectInvalid answers a request that can't be read.
func (s *Server) RejectInvalid(p Connection, call uint32, err error) {
	s.post(func() {
		if st := s.connections.get(p); st != nil && !st.discardingInput {
			s.stats.Requests++
			s.answerInvalid(p, call, err)
		}
	})
}

func (s *Server) answerInvalid(p Connection, call uint32, err error) {
	s.stats.Invalid++
	s.warnings.Warn("request", "wrong request from a front end", err)
	p.Answer(call, Answer{Kind: Invalid, Reason: err.Error()})
}

// Cancel tells that nobody waits for a call any more.
func (s *Server) Cancel(p Connection, call uint32) {
	s.post(func() {
		if st := s.connections.get(p); st != nil && st.openCalls[call] != nil {
			s.stats.Cancelled++
			s.cancel(st.openCalls[call])
		}
	})
}

// HealthCheck answers a health check the way the controller wants it: from its last word, or, for a deep
// one that it leaves open, by whether the agent gets work done. A flood of those is not passed on.
func (s *Server) HealthCheck(conn Connection, call uint32, deep bool) {
	s.post(func() {
		st := s.connections.get(conn)
		if st == nil || st.discardingInput {
			return
		}
		s.connections.markReceived(st, s.clock.now)
		s.stats.HealthChecks++
		if !deep || s.healthCached || !s.healthy || len(s.deepChecks) >= maxDeepChecks {
			s.answerHealthCheck(healthCheck{conn, call}, s.healthy)
			return
		}
		s.lastCheckToken++
		token := "x" + strconv.FormatUint(s.lastCheckToken, 10)
		s.deepChecks[token] = healthCheck{conn, call}
		s.stats.DeepChecks++
		s.deadlines.Add(s.clock.now+deepCheckTimeout, func() { s.completeDeepCheck(token, false) })
		if s.agent.DeepCheck(token) != nil {
			s.completeDeepCheck(token, false)
		}
	})
}

// completeDeepCheck answers the health check that waits under token, if one still does.
func (s *Server) completeDeepCheck(token string, ok bool) {
	if p, waits := s.deepChecks[token]; waits {
		delete(s.deepChecks, token)
		s.answerHealthCheck(p, ok && s.healthy)
	}
}

func (s *Server) answerHealthCheck(conn healthCheck, good bool) {
	if s.connections.get(conn.connection) == nil {
		return
	}
	kind := Unhealthy
	if good {
		kind = Healthy
	}
	conn.connection.Answer(conn.call, Answer{Kind: kind})
}
