package server

import (
	"time"

	"falldeal/internal/handover"
)

// Handover: two processes are one image server while the successor takes the place of its predecessor. A request with
// an idempotency key is run by one of them: the predecessor knows which, and the successor claims a key before it runs
// a request under it. Each notifies the other of the ends of its runs, so that their results answer attempts at both.

const (
	claimTimeout       = 500 * time.Millisecond // for the predecessor to answer a claim
	claimDeadlineSlack = 20 * time.Millisecond  // a claim is given up this long before its caller does
)

// handoverState is what the loop knows of the other processes of this image server. The loop owns it.
type handoverState struct {
	predecessor *handover.Link // nil: there is none
	successor   *handover.Link // nil: there is none
	synced      bool           // the keys of the predecessor are known here
	claims      map[string][]*activeRequest
}

func newHandoverState() handoverState { return handoverState{claims: map[string][]*activeRequest{}} }

// paired reports whether two processes are this image server, and share its descriptors.
func (h *handoverState) paired() bool { return h.predecessor != nil || h.successor != nil }

// publish notifies the other processes of a change to a key of this one.
func (h *handoverState) publish(m handover.Message) {
	for _, link := range []*handover.Link{h.predecessor, h.successor} {
		if link != nil {
			link.Publish(m)
		}
	}
}

// addClaim records that r waits for the answer to the claim on its key, and reports whether it is the first to do so.
func (h *handoverState) addClaim(r *activeRequest) (first bool) {
	key := r.attempt.IdempotencyKey
	h.claims[key] = append(h.claims[key], r)
	return len(h.claims[key]) == 1
}

// takeClaims returns the requests that wait for the answer to the claim on a key, once.
func (h *handoverState) takeClaims(key string) []*activeRequest {
	waiting := h.claims[key]
	delete(h.claims, key)
	return waiting
}

func (s *Server) handoverLoop() handover.Loop {
	return handover.Loop{
		Post:          s.post,
		OnPredecessor: s.predecessorJoined,
		OnSuccessor:   s.successorJoined,
		OnMessage:     s.handlePeerMessage,
		OnEnd:         s.peerEnded,
	}
}

// predecessorJoined records the predecessor; nil: there is none, and nothing to wait for.
func (s *Server) predecessorJoined(link *handover.Link) {
	s.handover.predecessor = link
	if link == nil {
		s.markSynced()
	}
}

// successorJoined publishes all keys to the successor, and closes idle connections above this process's half.
func (s *Server) successorJoined(link *handover.Link) {
	s.log.Info("a newer process has joined")
	s.handover.successor = link
	if s.drain.started() {
		s.announcer.Stop() // the successor is to be listed, and not as draining
	}
	s.publishStatus()
	var messages []handover.Message
	for _, entry := range s.idempotency.entries {
		messages = append(messages, entry.messages()...)
	}
	link.Publish(append(messages, handover.Message{Kind: handover.Synced})...)
	for s.connections.size() > s.maxConnections() {
		if !s.evictIdle() {
			break
		}
	}
}

// markSynced records that all keys of the predecessor are known.
func (s *Server) markSynced() {
	s.handover.synced = true
	s.openFrontsWhenReady()
}

// openFrontsWhenReady has connections accepted as soon as their requests can be run.
func (s *Server) openFrontsWhenReady() {
	if s.handover.synced && s.admission.started() {
		s.listeners.open()
		s.publishStatus()
	}
}

// handlePeerMessage handles a message of the other process.
func (s *Server) handlePeerMessage(link *handover.Link, message handover.Message) {
	entry := s.idempotency.entries[message.IdempotencyKey]
	switch message.Kind {
	case handover.Synced:
		s.markSynced()
	case handover.Known:
		s.handleKnown(link, message, entry)
	case handover.Claim:
		s.handleClaim(link, message, entry)
	case handover.Grant:
		s.handleGrant(link, message)
	case handover.Completed, handover.Released:
		if entry != nil && entry.owner == link {
			s.handlePeerRunEnded(entry, message)
		}
	}
}

// handleKnown adopts a key that the other process has.
func (s *Server) handleKnown(link *handover.Link, message handover.Message, entry *idempotencyEntry) {
	if entry == nil || entry.owner == link || s.idempotency.expired(entry, s.clock.unix()) {
		s.adoptKey(link, message)
	}
	s.resumeClaimed(message.IdempotencyKey)
}

// handleClaim grants the successor a key that is not known here, and leaves it alone from then on.
func (s *Server) handleClaim(link *handover.Link, message handover.Message, entry *idempotencyEntry) {
	if entry != nil && !s.idempotency.expired(entry, message.At) {
		link.Publish(entry.messages()...)
		return
	}
	windowEnd := message.At + s.config.longestIdempotencyWindow()
	s.adoptKey(link, handover.Message{IdempotencyKey: message.IdempotencyKey, Digest: message.Digest, At: windowEnd})
	link.Publish(handover.Message{Kind: handover.Grant, IdempotencyKey: message.IdempotencyKey})
}

// handleGrant resumes the requests of a key, or gives the key back if none is left.
func (s *Server) handleGrant(link *handover.Link, message handover.Message) {
	s.resumeClaimed(message.IdempotencyKey)
	if s.idempotency.entries[message.IdempotencyKey] == nil {
		link.Publish(handover.Message{Kind: handover.Released, IdempotencyKey: message.IdempotencyKey})
	}
}

// handlePeerRunEnded handles the result of a run in the other process, or drops a key that it has given back.
func (s *Server) handlePeerRunEnded(entry *idempotencyEntry, message handover.Message) {
	if message.Kind == handover.Released {
		s.completePeerRun(entry, false, nil)
		s.idempotency.drop(entry)
		return
	}
	s.completePeerRun(entry, message.OK, message.Body)
}

// adoptKey adds a key that another process has.
func (s *Server) adoptKey(link *handover.Link, message handover.Message) {
	entry := s.idempotency.adopt(link, message, s.requests.nextID())
	s.expireAfterWindow(entry)
}

// completePeerRun records the end of a run in another process, and answers the attempts that waited for it.
func (s *Server) completePeerRun(e *idempotencyEntry, ok bool, result []byte) {
	for _, retry := range s.idempotency.complete(e, ok, result) {
		s.answerFromResult(retry, ok, result)
	}
}

// peerEnded handles the end of the other process. Its runs whose end is not known may have had their effect, so
// attempts that wait for them fail.
func (s *Server) peerEnded(link *handover.Link) {
	switch link {
	case s.handover.predecessor:
		s.log.Info("the older process has ended")
		s.handover.predecessor = nil
	case s.handover.successor:
		s.handover.successor = nil
	}
	for _, entry := range s.idempotency.entries {
		if entry.owner == link && entry.state != entryCompleted {
			s.completePeerRun(entry, false, nil)
		}
	}
	if s.handover.predecessor == nil {
		s.markSynced()
		for key := range s.handover.claims {
			s.resumeClaimed(key)
		}
	}
}

// mustClaim reports whether the predecessor has to be asked whether a request may run.
func (s *Server) mustClaim(r *activeRequest) bool {
	return s.config.hasKeys(r.class) && s.handover.predecessor != nil && s.idempotency.lookup(r) == nil
}

// claimKey has a request wait for the predecessor's answer to the claim on its key. Without one in time it fails, as
// another attempt may have run.
func (s *Server) claimKey(request *activeRequest) {
	request.state = requestClaiming
	first := s.handover.addClaim(request)
	giveUpAt := min(s.clock.now+claimTimeout, s.clientDeadline(request)-claimDeadlineSlack)
	s.deadlines.Add(giveUpAt, func() {
		if request.state == requestClaiming && s.requests.contains(request) {
			s.stats.ClaimsLate++
			s.answer(request, Answer{Kind: Failed})
			s.removeRequest(request)
		}
	})
	if !first {
		return
	}
	s.stats.Claims++
	s.handover.predecessor.Publish(handover.Message{
		Kind:           handover.Claim,
		IdempotencyKey: request.attempt.IdempotencyKey,
		Digest:         bodyDigest(&request.attempt),
		At:             request.attempt.ArrivedAt,
	})
}

// resumeClaimed resumes the requests that waited for an answer to the claim on a key.
func (s *Server) resumeClaimed(key string) {
	for _, r := range s.handover.takeClaims(key) {
		r.state = requestQueued
		if s.requests.contains(r) {
			s.submitToController(r)
		}
	}
}
