package server

import (
	"errors"
	"strconv"
	"time"
)

// Stage one, take in: what connections hand to the loop, and the state of the connections.

const (
	idleCheck     = 500 * time.Millisecond // between looks for idle connections
	closingGrace  = 2 * time.Second        // for a peer to close after it was told to
	exerciseLimit = 2 * time.Second        // for the work of a deep health check
	exercisesMost = 16                     // such checks at work at once
	sparePeers    = 8                      // connections left free, so that one more is accepted while an idle one ends
)

// peerState is what the loop knows of a connection.
type peerState struct {
	open    map[uint32]*request
	said    bool          // it has sent a request or a health check that can be read
	used    time.Duration // when a message last came or went
	closing bool          // it was told that it is closing
}

// probe is a health check that waits for its work.
type probe struct {
	peer Peer
	call uint32
}

var (
	errTooMany   = errors.New("too many open requests on this connection")
	errDuplicate = errors.New("field id: a try of this id is in hand")
)

// Opened makes a connection known.
func (s *Server) Opened(p Peer) {
	s.post(func() {
		s.stats.Connections++
		if len(s.peers) >= s.mostPeers() && !s.makeRoom() {
			s.stats.ConnectionsClosed++
			p.Close()
			return
		}
		s.peers[p] = &peerState{open: map[uint32]*request{}, used: s.clock.now}
		if s.drain.on {
			s.tellClosing(p, s.peers[p])
		}
	})
}

// mostPeers is how many connections may be open. Two processes that are one image server share its descriptors.
func (s *Server) mostPeers() int {
	most := s.cfg.Limits.FrontSockets()
	if s.older != nil || s.newer != nil {
		most /= 2
	}
	return most - sparePeers
}

// makeRoom closes the connection that has been idle for longest, of those that never said anything
// of use if there are any. None with an open request is closed.
func (s *Server) makeRoom() bool {
	var oldest Peer
	var was *peerState
	for p, st := range s.peers {
		if len(st.open) == 0 && (oldest == nil || was.said && !st.said || was.said == st.said && st.used < was.used) {
			oldest, was = p, st
		}
	}
	if oldest == nil {
		return false
	}
	s.dropPeer(oldest)
	return true
}

// dropPeer closes a connection without waiting for its reader to notice.
func (s *Server) dropPeer(p Peer) {
	s.stats.ConnectionsClosed++
	s.forgetPeer(p)
	p.Close()
}

// Closed tells that a connection has ended: nobody waits for answers on it.
func (s *Server) Closed(p Peer, why End) {
	s.post(func() {
		switch why {
		case Silent:
			s.stats.Silent++
		case Unreadable:
			s.stats.Unreadable++
		}
		s.forgetPeer(p)
	})
}

func (s *Server) forgetPeer(p Peer) {
	st := s.peers[p]
	if st == nil {
		return
	}
	delete(s.peers, p)
	for _, r := range st.open {
		s.gone(r)
	}
}

// Submit takes in a request.
func (s *Server) Submit(p Peer, call uint32, t Try) {
	s.post(func() {
		st := s.peers[p]
		if st == nil {
			return // the connection is gone already
		}
		st.said, st.used = true, s.clock.now
		s.stats.Requests++
		switch {
		case st.open[call] != nil:
			// Two open calls of one number can't be told apart by the answer.
			s.dropPeer(p)
		case len(st.open) >= p.MostOpen():
			s.invalid(p, call, errTooMany)
		case s.byWire[t.ID] != nil:
			s.invalid(p, call, errDuplicate)
		default:
			s.admit(p, call, t)
		}
	})
}

// Wrong answers a request that can't be read.
func (s *Server) Wrong(p Peer, call uint32, err error) {
	s.post(func() {
		if s.peers[p] != nil {
			s.stats.Requests++
			s.invalid(p, call, err)
		}
	})
}

func (s *Server) invalid(p Peer, call uint32, err error) {
	s.stats.Invalid++
	s.warn.Warn("request", "wrong request from a front end", err)
	p.Answer(call, Answer{Kind: Invalid, Reason: err.Error()})
}

// Cancel tells that nobody waits for a call any more.
func (s *Server) Cancel(p Peer, call uint32) {
	s.post(func() {
		if st := s.peers[p]; st != nil && st.open[call] != nil {
			s.stats.Cancelled++
			s.gone(st.open[call])
		}
	})
}

// Probe answers a health check the way the controller wants it: from its last word, or, for a deep
// one that it leaves open, by whether the agent gets work done. A flood of those is not passed on.
func (s *Server) Probe(p Peer, call uint32, deep bool) {
	s.post(func() {
		st := s.peers[p]
		if st == nil {
			return
		}
		st.said, st.used = true, s.clock.now
		s.stats.Probes++
		if !deep || s.stored || !s.good || len(s.exercises) >= exercisesMost {
			s.answerProbe(probe{p, call}, s.good)
			return
		}
		s.lastToken++
		token := "x" + strconv.FormatUint(s.lastToken, 10)
		s.exercises[token] = probe{p, call}
		s.stats.Exercises++
		s.deadlines.Add(s.clock.now+exerciseLimit, func() { s.exercised(token, false) })
		if s.agent.Exercise(token) != nil {
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
	if s.peers[p.peer] == nil {
		return
	}
	kind := Unhealthy
	if good {
		kind = Healthy
	}
	p.peer.Answer(p.call, Answer{Kind: kind})
}

// closeIdle tells peers that have been idle for too long to go, and closes those that did not.
func (s *Server) closeIdle() {
	for p, st := range s.peers {
		quiet := s.clock.now - st.used
		switch {
		case len(st.open) > 0:
		case st.closing && !s.drain.on && quiet >= s.idle+closingGrace:
			s.dropPeer(p)
		case !st.closing && s.idle > 0 && quiet >= s.idle:
			s.tellClosing(p, st)
		}
	}
	s.deadlines.Add(s.clock.now+idleCheck, s.closeIdle)
}

func (s *Server) tellClosing(p Peer, st *peerState) {
	if !st.closing {
		st.closing = true
		p.Closing()
	}
}
