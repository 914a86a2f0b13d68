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
	claimTimeout       = 500 * time.Millisecond // for the older process to answer a claim
	claimDeadlineSlack = 20 * time.Millisecond  // a claim is given up this long before its request is due
)

// handoverState are the other processes, nil where there is none.
type handoverState struct {
	predecessor, successor *handover.Link
	synced                 bool                        // what the older one knows is known here
	claims                 map[string][]*activeRequest // that wait for the older one's word, by key
}

func (s *Server) handoverLoop() handover.Loop {
	return handover.Loop{Post: s.post, OnPredecessor: s.predecessorJoined, OnSuccessor: s.successorJoined, OnMessage: s.handlePeerMessage, OnEnd: s.peerEnded}
}

func (s *Server) predecessorJoined(l *handover.Link) {
	if s.predecessor = l; l == nil {
		s.markSynced()
	}
}

func (s *Server) successorJoined(link *handover.Link) {
	s.log.Info("a newer process has joined")
	s.successor = link
	if s.drain.started {
		s.announcer.Silence() // the newer one is to be listed, and not as leaving
	}
	s.publishStatus()
	var all []handover.Message
	for _, e := range s.idempotency.entries {
		all = append(all, e.messages()...)
	}
	link.Publish(append(all, handover.Message{Kind: handover.Synced})...)
	for s.connections.size() > s.maxConnections() && s.evictIdle() {
	}
}

// markSynced notes that nothing is left to learn before this process may serve.
func (s *Server) markSynced() {
	s.synced = true
	s.openFrontsWhenReady()
}

// openFrontsWhenReady has front ends accepted as soon as their requests can be run.
func (s *Server) openFrontsWhenReady() {
	if s.synced && s.controller != nil {
		s.openFronts()
		s.publishStatus()
	}
}

// publishKeyChange tells the other processes of a change to a key of this one.
func (s *Server) publishKeyChange(m handover.Message) {
	for _, l := range []*handover.Link{s.predecessor, s.successor} {
		if l != nil {
			l.Publish(m)
		}
	}
}

func (s *Server) handlePeerMessage(link *handover.Link, m handover.Message) {
	entry := s.idempotency.entries[m.IdempotencyKey]
	switch m.Kind {
	case handover.Synced:
		s.markSynced()
	case handover.Known:
		if entry == nil || entry.owner == link || s.idempotency.expired(entry, s.clock.now-s.clock.skew) {
			s.adoptKey(link, m)
		}
		s.resumeClaimed(m.IdempotencyKey)
	case handover.Claim:
		if entry != nil && !s.idempotency.expired(entry, m.At) {
			link.Publish(entry.messages()...)
			return
		}
		s.adoptKey(link, handover.Message{IdempotencyKey: m.IdempotencyKey, Digest: m.Digest, At: m.At + s.longestIdempotencyWindow()})
		link.Publish(handover.Message{Kind: handover.Grant, IdempotencyKey: m.IdempotencyKey})
	case handover.Grant:
		s.resumeClaimed(m.IdempotencyKey)
		if s.idempotency.entries[m.IdempotencyKey] == nil {
			link.Publish(handover.Message{Kind: handover.Released, IdempotencyKey: m.IdempotencyKey}) // nobody waits any more
		}
	case handover.Completed:
		if entry != nil && entry.owner == link {
			s.completePeerRun(entry, m.OK, m.Body)
		}
	case handover.Released:
		if entry != nil && entry.owner == link {
			s.completePeerRun(entry, false, nil)
			s.idempotency.drop(entry)
		}
	}
}

// adoptKey enters a key that another process has.
func (s *Server) adoptKey(l *handover.Link, m handover.Message) {
	s.lastRequestID++ // no request of this process has it
	e := s.idempotency.adopt(l, m, s.lastRequestID)
	s.expireAfterWindow(e)
}

// completePeerRun books the end of a run in another process.
func (s *Server) completePeerRun(e *idempotencyEntry, ok bool, result []byte) {
	for _, f := range s.idempotency.complete(e, ok, result) {
		s.answerFromResult(f, ok, result)
	}
}

// peerEnded goes on alone. Whatever the other process had not told the end of may have had its effect.
func (s *Server) peerEnded(link *handover.Link) {
	switch link {
	case s.predecessor:
		s.log.Info("the older process has ended")
		s.predecessor = nil
	case s.successor:
		s.successor = nil
	}
	for _, e := range s.idempotency.entries {
		if e.owner == link && !e.completed {
			s.completePeerRun(e, false, nil)
		}
	}
	if s.predecessor == nil {
		s.markSynced()
		for key := range s.claims {
			s.resumeClaimed(key)
		}
	}
}

// claimKey has r wait for the older process's word on its key.
func (s *Server) claimKey(request *activeRequest) {
	key := request.attempt.IdempotencyKey
	s.claims[key] = append(s.claims[key], request)
	request.claiming = true
	s.deadlines.Add(min(s.clock.now+claimTimeout, s.callerDeadline(request)-claimDeadlineSlack), func() {
		if request.claiming && s.requests[request.id] == request {
			s.stats.ClaimsLate++
			s.answer(request, Answer{Kind: Failed}) // another try may have run
			s.removeRequest(request)
		}
	})
	if len(s.claims[key]) == 1 {
		s.stats.Claims++
		s.predecessor.Publish(handover.Message{Kind: handover.Claim, IdempotencyKey: key, Digest: s.idempotency.bodyDigest(request.attempt), At: request.attempt.ArrivedAt})
	}
}

// resumeClaimed goes on with the requests that waited for word on a key.
func (s *Server) resumeClaimed(key string) {
	waiting := s.claims[key]
	delete(s.claims, key)
	for _, r := range waiting {
		r.claiming = false
		if s.requests[r.id] == r {
			s.submitToController(r)
		}
	}
}

func (s *Server) longestIdempotencyWindow() (longest time.Duration) {
	for _, k := range s.config.Settings.Classes {
		if k.Idempotency == admission.IdempotentByKey {
			longest = max(longest, k.IdempotencyWindow)
		}
	}
	return longest
}
