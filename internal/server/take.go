package server

import (
	"errors"
	"strconv"
	"time"
)

// Stage one, take in: what connections hand to the loop, and the state of the connections.

const (
	exerciseLimit = 2 * time.Second // for the work of a deep health check
	exercisesMost = 16              // such checks at work at once
)

// probe is a health check that waits for its work.
type probe struct {
	peer Connection
	call uint32
}

var (
	errTooMany   = errors.New("too many open requests on this connection")
	errDuplicate = errors.New("field id: a try of this id is in hand")
	errSpent     = errors.New("field id: a try of this id was answered or run before")
)

// ConnectionOpened makes a connection known.
func (s *Server) ConnectionOpened(p Connection) {
	s.post(func() {
		s.stats.Connections++
		full := s.peers.size() >= s.mostPeers() && !s.makeRoom()
		st := s.peers.add(p, s.clock.now)
		if s.drain.on {
			s.tellClosing(st)
		}
		if full { // a request on it may have waited for its place for long
			s.dropPeer(st)
		}
	})
}

// ReadEnded tells that nothing more is read from a connection, for now or for good. Where it has ended, nobody waits for
// answers on it; else what was read before is still answered.
func (s *Server) ReadEnded(p Connection, why EndReason) {
	s.post(func() {
		st := s.peers.of(p)
		switch {
		case why == ReadTimeout && (st == nil || st.leaving == staying):
			s.stats.ReadTimeouts++
		case why == MalformedInput:
			s.stats.MalformedInputs++
		}
		switch {
		case st == nil:
		case why == Disconnected:
			s.forgetPeer(st)
		case why == MalformedInput:
			s.peers.leave(st, over)
		default:
			s.peers.leave(st, quiet)
			st.looks++
			st.deaf = st.deaf || st.looks > looksMost
		}
	})
}

// Submit takes in a request.
func (s *Server) Submit(p Connection, call uint32, t Attempt) {
	s.post(func() {
		st := s.peers.of(p)
		if st == nil || st.deaf {
			return // the connection is gone already
		}
		s.peers.heard(st, s.clock.now)
		s.stats.Requests++
		if st.leaving != staying {
			s.tellClosing(st) // it is in use after all
		}
		last := st.last
		st.last = max(last, call)
		switch {
		case st.open[call] != nil, call <= last && s.spent.has(t.ID):
			// Two calls of one number can't be told apart by the answer: that of the first goes out, or has gone.
			st.deaf = true
			s.dropPeer(st)
		case len(st.open) >= p.MaxOpenCalls():
			s.invalid(p, call, errTooMany)
		case s.byWire[t.ID] != nil:
			s.invalid(p, call, errDuplicate)
		case s.spent.has(t.ID):
			s.invalid(p, call, errSpent)
		default:
			s.admit(p, call, t)
		}
	})
}

// RejectInvalid answers a request that can't be read.
func (s *Server) RejectInvalid(p Connection, call uint32, err error) {
	s.post(func() {
		if st := s.peers.of(p); st != nil && !st.deaf {
			s.stats.Requests++
			s.invalid(p, call, err)
		}
	})
}

func (s *Server) invalid(p Connection, call uint32, err error) {
	s.stats.Invalid++
	s.warn.Warn("request", "wrong request from a front end", err)
	p.Answer(call, Answer{Kind: Invalid, Reason: err.Error()})
}

// Cancel tells that nobody waits for a call any more.
func (s *Server) Cancel(p Connection, call uint32) {
	s.post(func() {
		if st := s.peers.of(p); st != nil && st.open[call] != nil {
			s.stats.Cancelled++
			s.gone(st.open[call])
		}
	})
}

// HealthCheck answers a health check the way the controller wants it: from its last word, or, for a deep
// one that it leaves open, by whether the agent gets work done. A flood of those is not passed on.
func (s *Server) HealthCheck(p Connection, call uint32, deep bool) {
	s.post(func() {
		st := s.peers.of(p)
		if st == nil || st.deaf {
			return
		}
		s.peers.heard(st, s.clock.now)
		s.stats.HealthChecks++
		if !deep || s.stored || !s.good || len(s.exercises) >= exercisesMost {
			s.answerProbe(probe{p, call}, s.good)
			return
		}
		s.lastToken++
		token := "x" + strconv.FormatUint(s.lastToken, 10)
		s.exercises[token] = probe{p, call}
		s.stats.DeepChecks++
		s.deadlines.Add(s.clock.now+exerciseLimit, func() { s.exercised(token, false) })
		if s.agent.DeepCheck(token) != nil {
			s.exercised(token, false)
		}
	})
}

// exercised answers the health check that waits under token, if one still does.
func (s *Server) exercised(token string, ok bool) {
	if p, waits := s.exercises[token]; waits {
		delete(s.exercises, token)
		s.answerProbe(p, ok && s.good)
	}
}

func (s *Server) answerProbe(p probe, good bool) {
	if s.peers.of(p.peer) == nil {
		return
	}
	kind := Unhealthy
	if good {
		kind = Healthy
	}
	p.peer.Answer(p.call, Answer{Kind: kind})
}
