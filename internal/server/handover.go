package server

import (
	"time"

	"falldeal/internal/handover"
)

// Handover: while a successor takes the place of its predecessor, two processes form one image server. A request with an
// idempotency key is run by one of them only: the predecessor knows by which, and the successor claims a key before it
// runs a request with it. Each process notifies the other of the end of its runs, so that results answer attempts at both.

const (
	claimTimeout       = 500 * time.Millisecond // for the predecessor's answer to a claim
	claimDeadlineSlack = 20 * time.Millisecond  // a claim expires this long before the client's deadline

	// maxUnwrittenResults is the number of unwritten messages to another process above which no results are sent to it.
	maxUnwrittenResults = 64
)

// handoverState is the loop's view of the other processes of this image server. The loop owns it.
type handoverState struct {
	predecessor *handover.Link              // nil if there is none
	successor   *handover.Link              // nil if there is none
	synced      bool                        // all keys of the predecessor are known here, or there is no predecessor
	claims      map[string][]*activeRequest // requests that wait for the answer to the claim on their key, by key
	syncs       map[*handover.Link]*keySync // keys that successors are still to be told
}

func newHandoverState() handoverState {
	return handoverState{claims: map[string][]*activeRequest{}, syncs: map[*handover.Link]*keySync{}}
}

// paired reports whether there is a link to another process of this image server.
func (h *handoverState) paired() bool { return h.predecessor != nil || h.successor != nil }

// links returns the links to other processes of this image server.
func (h *handoverState) links() (links []*handover.Link) {
	for _, link := range []*handover.Link{h.predecessor, h.successor} {
		if link != nil {
			links = append(links, link)
		}
	}
	return links
}

// publish notifies the other processes of a change to a key that this process owns.
func (h *handoverState) publish(key string, message handover.Message) {
	for _, link := range h.linksFor(key) {
		link.Publish(message)
	}
}

// publishResult notifies the other processes of the end of a run of this process. While many messages to a process are
// unwritten, it is not sent the result, which would take memory here: that process then knows that the key was run, and
// fails retries.
func (h *handoverState) publishResult(key string, result runResult) {
	for _, link := range h.linksFor(key) {
		if link.Unwritten() > maxUnwrittenResults {
			link.Publish(handover.RunCompleted{IdempotencyKey: key})
		} else {
			link.Publish(handover.RunCompleted{IdempotencyKey: key, OK: result.ok, Result: result.body})
		}
	}
}

// linksFor returns the links to the processes that must be notified of a change to a key.
func (h *handoverState) linksFor(key string) (links []*handover.Link) {
	for _, link := range h.links() {
		if !h.syncs[link].covers(key) {
			links = append(links, link)
		}
	}
	return links
}

// addClaim records that a request waits for the answer to the claim on its key, and reports whether it is the first
// request to do so.
func (h *handoverState) addClaim(request *activeRequest) (first bool) {
	key := request.attempt.IdempotencyKey
	h.claims[key] = append(h.claims[key], request)
	return len(h.claims[key]) == 1
}

// takeClaims returns the requests that wait for the answer to the claim on a key, and removes them from the claims.
func (h *handoverState) takeClaims(key string) []*activeRequest {
	waiting := h.claims[key]
	delete(h.claims, key)
	return waiting
}

func (s *Server) handoverLoop() handover.Loop {
	return handover.Loop{
		Post:          s.postPeer,
		OnPredecessor: s.predecessorJoined,
		OnSuccessor:   s.successorJoined,
		OnMessage:     s.handlePeerMessage,
		OnEnd:         s.peerEnded,
	}
}

// predecessorJoined records the link to the predecessor. If link is nil, there is no predecessor to wait for.
func (s *Server) predecessorJoined(link *handover.Link) {
	s.handover.predecessor = link
	if link == nil {
		s.markSynced()
		return
	}
	s.log.Info("predecessor process connected")
	s.checkProcesses()
}

// successorJoined makes room for the successor within the limits of the image server, and then sends it all keys.
func (s *Server) successorJoined(link *handover.Link) {
	s.log.Info("successor process connected")
	s.handover.successor = link
	if s.drain.started() {
		s.announcer.Stop() // the successor reports under the same name, and must not be listed as draining
	}
	s.publishStatus()
	s.checkProcesses()
	s.handover.syncs[link] = &keySync{link: link}
	s.whenMemoryLimited(func() { s.startKeySync(link) })
}

// markSynced records that there are no further keys of a predecessor to wait for.
func (s *Server) markSynced() {
	s.handover.synced = true
	s.openFrontsWhenReady()
}

// openFrontsWhenReady lets connections be accepted as soon as requests on them can be run.
func (s *Server) openFrontsWhenReady() {
	if s.handover.synced && s.admission.started() {
		s.listeners.open()
		s.checkProcesses() // from now on this process needs calls
		s.publishStatus()
	}
}

// handlePeerMessage handles a message from the other process.
func (s *Server) handlePeerMessage(link *handover.Link, message handover.Message) {
	switch message := message.(type) {
	case handover.KeysSynced:
		s.log.WithField("count", s.idempotency.countOwnedBy(link)).
			Info("idempotency keys synchronized with predecessor")
		s.markSynced()
	case handover.KeyKnown:
		s.handleKeyKnown(link, message)
	case handover.KeyClaim:
		s.handleKeyClaim(link, message)
	case handover.KeyGranted:
		s.handleKeyGranted(link, message.IdempotencyKey)
	case handover.RunCompleted:
		if entry := s.idempotency.ownedBy(link, message.IdempotencyKey); entry != nil {
			s.completePeerRun(entry, runResult{ok: message.OK, body: message.Result})
		}
	case handover.KeyReleased:
		if entry := s.idempotency.ownedBy(link, message.IdempotencyKey); entry != nil {
			s.completePeerRun(entry, runResult{})
			s.idempotency.drop(entry)
		}
	}
}

// handleKeyKnown adopts a key that the other process owns.
func (s *Server) handleKeyKnown(link *handover.Link, known handover.KeyKnown) {
	entry := s.idempotency.entries[known.IdempotencyKey]
	if entry == nil || entry.owner == link || entry.expired(s.clock.unix()) {
		s.adoptKey(link, known)
	}
	s.resumeClaimed(known.IdempotencyKey)
}

// handleKeyClaim grants the successor a key that is unknown here or whose window has ended. From then on, nothing is run
// with that key here, unless the successor releases it. A claim does not contain the class of the request, so the entry
// gets the longest window of all classes: a shorter one could end while the key must not be run again.
func (s *Server) handleKeyClaim(link *handover.Link, claim handover.KeyClaim) {
	entry := s.idempotency.entries[claim.IdempotencyKey]
	if entry != nil && !entry.expired(claim.ArrivedAt) {
		link.Publish(entry.messages()...)
		return
	}
	s.adoptKey(link, handover.KeyKnown{
		IdempotencyKey: claim.IdempotencyKey,
		Digest:         claim.Digest,
		WindowEnd:      claim.ArrivedAt + s.config.longestIdempotencyWindow(),
	})
	link.Publish(handover.KeyGranted{IdempotencyKey: claim.IdempotencyKey})
}

// handleKeyGranted resumes the requests that wait for a key. If none of them is active any more, it releases the key.
func (s *Server) handleKeyGranted(link *handover.Link, key string) {
	s.resumeClaimed(key)
	if s.idempotency.entries[key] == nil {
		link.Publish(handover.KeyReleased{IdempotencyKey: key})
	}
}

// adoptKey adds a key that another process owns.
func (s *Server) adoptKey(link *handover.Link, known handover.KeyKnown) {
	entry := s.idempotency.adopt(link, known, s.requests.nextID())
	s.expireAfterWindow(entry)
}

// completePeerRun records the end of a run in another process, and answers the attempts that waited for it.
func (s *Server) completePeerRun(entry *idempotencyEntry, result runResult) {
	for _, retry := range s.idempotency.complete(entry, result) {
		s.answerFromResult(retry, result)
	}
}

// peerEnded handles the end of the other process. Runs of that process whose end is unknown may have had their effect, so
// the attempts that wait for them fail.
func (s *Server) peerEnded(link *handover.Link) {
	delete(s.handover.syncs, link)
	switch link {
	case s.handover.predecessor:
		s.log.Info("predecessor process disconnected")
		s.handover.predecessor = nil
	case s.handover.successor:
		s.log.Info("successor process disconnected")
		s.handover.successor = nil
	}
	s.checkProcesses()
	for _, entry := range s.idempotency.entries {
		if entry.owner == link && entry.state != entryCompleted {
			s.completePeerRun(entry, runResult{})
		}
	}
	if s.handover.predecessor == nil {
		s.markSynced()
		for key := range s.handover.claims {
			s.resumeClaimed(key)
		}
	}
}

// mustClaim reports whether the predecessor must be asked before a request may run.
func (s *Server) mustClaim(request *activeRequest) bool {
	return s.config.hasKeys(request.class) &&
		s.handover.predecessor != nil &&
		s.idempotency.lookup(request) == nil
}

// claimKey claims the key of a request, which then waits for the predecessor's answer. Without an answer in time the
// request fails, because another attempt may have been run.
func (s *Server) claimKey(request *activeRequest) {
	request.state = requestClaiming
	first := s.handover.addClaim(request)
	claimDeadline := min(s.clock.now+claimTimeout, s.clientDeadline(request)-claimDeadlineSlack)
	s.deadlines.Add(claimDeadline, func() { s.expireClaim(request) })
	if !first {
		return
	}
	s.stats.Claims++
	s.handover.predecessor.Publish(handover.KeyClaim{
		IdempotencyKey: request.attempt.IdempotencyKey,
		Digest:         bodyDigest(&request.attempt),
		ArrivedAt:      request.attempt.ArrivedAt,
	})
}

// expireClaim fails a request if it still waits for the answer to a claim.
func (s *Server) expireClaim(request *activeRequest) {
	if request.state != requestClaiming || !s.requests.contains(request) {
		return
	}
	s.stats.ClaimsTimedOut++
	s.answer(request, Answer{Kind: Failed})
	s.removeRequest(request)
}

// resumeClaimed resumes the requests that wait for the answer to the claim on a key.
func (s *Server) resumeClaimed(key string) {
	for _, request := range s.handover.takeClaims(key) {
		request.state = requestQueued
		if s.requests.contains(request) {
			s.submitToController(request)
		}
	}
}
