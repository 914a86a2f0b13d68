package server

import (
	"time"

	"falldeal/admission"
	"falldeal/internal/handover"
)

// Handover: two processes are one image server while the newer takes the place of the older. A keyed request
// is run by one of them: the older one knows which, and the newer one claims a key before it runs a request
// under it. What becomes of a run is told to the other, so that its result answers tries at both.

const (
	claimLimit = 500 * time.Millisecond // for the older process to answer a claim
	dueSpare   = 20 * time.Millisecond  // a claim is given up this long before its request is due
)

// partners are the other processes, nil where there is none.
type partners struct {
	older, newer *handover.Link
	synced       bool                  // what the older one knows is known here
	claims       map[string][]*request // that wait for the older one's word, by key
}

func (s *Server) handoverLoop() handover.Loop {
	return handover.Loop{Post: s.post, OnPredecessor: s.joinedOlder, OnSuccessor: s.joinedNewer, OnMessage: s.partnerTold, OnEnd: s.partnerEnded}
}

func (s *Server) joinedOlder(l *handover.Link) {
	if s.older = l; l == nil {
		s.sync()
	}
}

func (s *Server) joinedNewer(l *handover.Link) {
	s.log.Info("a newer process has joined")
	s.newer = l
	if s.drain.on {
		s.announcer.Silence() // the newer one is to be listed, and not as leaving
	}
	s.tellFleet()
	var all []handover.Message
	for _, e := range s.keys.entries {
		all = append(all, e.all()...)
	}
	l.Publish(append(all, handover.Message{Kind: handover.Synced})...)
	for s.peers.size() > s.mostPeers() && s.makeRoom() {
	}
}

// sync notes that nothing is left to learn before this process may serve.
func (s *Server) sync() {
	s.synced = true
	s.serveOnceReady()
}

// serveOnceReady has front ends accepted as soon as their requests can be run.
func (s *Server) serveOnceReady() {
	if s.synced && s.ctl != nil {
		s.openFronts()
		s.tellFleet()
	}
}

// tellPartners tells the other processes of a change to a key of this one.
func (s *Server) tellPartners(m handover.Message) {
	for _, l := range []*handover.Link{s.older, s.newer} {
		if l != nil {
			l.Publish(m)
		}
	}
}

func (s *Server) partnerTold(l *handover.Link, m handover.Message) {
	e := s.keys.entries[m.IdempotencyKey]
	switch m.Kind {
	case handover.Synced:
		s.sync()
	case handover.Known:
		if e == nil || e.from == l || s.keys.past(e, s.clock.now-s.clock.skew) {
			s.adopt(l, m)
		}
		s.claimed(m.IdempotencyKey)
	case handover.Claim:
		if e != nil && !s.keys.past(e, m.At) {
			l.Publish(e.all()...)
			return
		}
		s.adopt(l, handover.Message{IdempotencyKey: m.IdempotencyKey, Digest: m.Digest, At: m.At + s.longestWindow()})
		l.Publish(handover.Message{Kind: handover.Grant, IdempotencyKey: m.IdempotencyKey})
	case handover.Grant:
		s.claimed(m.IdempotencyKey)
		if s.keys.entries[m.IdempotencyKey] == nil {
			l.Publish(handover.Message{Kind: handover.Released, IdempotencyKey: m.IdempotencyKey}) // nobody waits any more
		}
	case handover.Completed:
		if e != nil && e.from == l {
			s.partnerRan(e, m.OK, m.Body)
		}
	case handover.Released:
		if e != nil && e.from == l {
			s.partnerRan(e, false, nil)
			s.keys.drop(e)
		}
	}
}

// adopt enters a key that another process has.
func (s *Server) adopt(l *handover.Link, m handover.Message) {
	s.lastID++ // no request of this process has it
	e := s.keys.adopt(l, m, s.lastID)
	s.dropAfterWindow(e)
}

// partnerRan books the end of a run in another process.
func (s *Server) partnerRan(e *keyEntry, ok bool, result []byte) {
	for _, f := range s.keys.end(e, ok, result) {
		s.reused(f, ok, result)
	}
}

// partnerEnded goes on alone. Whatever the other process had not told the end of may have had its effect.
func (s *Server) partnerEnded(l *handover.Link) {
	switch l {
	case s.older:
		s.log.Info("the older process has ended")
		s.older = nil
	case s.newer:
		s.newer = nil
	}
	for _, e := range s.keys.entries {
		if e.from == l && !e.over {
			s.partnerRan(e, false, nil)
		}
	}
	if s.older == nil {
		s.sync()
		for once := range s.claims {
			s.claimed(once)
		}
	}
}

// claim has r wait for the older process's word on its key.
func (s *Server) claim(r *request) {
	once := r.try.IdempotencyKey
	s.claims[once] = append(s.claims[once], r)
	r.claims = true
	s.deadlines.Add(min(s.clock.now+claimLimit, s.due(r)-dueSpare), func() {
		if r.claims && s.requests[r.id] == r {
			s.stats.ClaimsLate++
			s.answer(r, Answer{Kind: Failed}) // another try may have run
			s.forget(r)
		}
	})
	if len(s.claims[once]) == 1 {
		s.stats.Claims++
		s.older.Publish(handover.Message{Kind: handover.Claim, IdempotencyKey: once, Digest: s.keys.digest(r.try), At: r.try.ArrivedAt})
	}
}

// claimed goes on with the requests that waited for word on a key.
func (s *Server) claimed(once string) {
	waits := s.claims[once]
	delete(s.claims, once)
	for _, r := range waits {
		r.claims = false
		if s.requests[r.id] == r {
			s.enter(r)
		}
	}
}

func (s *Server) longestWindow() (longest time.Duration) {
	for _, k := range s.cfg.Settings.Classes {
		if k.Idempotency == admission.IdempotentByKey {
			longest = max(longest, k.IdempotencyWindow)
		}
	}
	return longest
}
