package server

import (
	"falldeal/internal/handover"
	"falldeal/internal/keyauthority"

	"github.com/sirupsen/logrus"
)

// Handover: while a successor takes the place of its predecessor, two processes form one image server. A request with an
// idempotency key is run by one of them only: the predecessor knows by which, and the successor claims a key before it
// runs a request with it (claims.go). Each process announces its runs and their results to the other, which answer attempts at
// both (key_outbox.go). Package keyauthority decides who may run a key after the link between them has ended.

// maxUnwrittenAnswers is the number of unwritten messages to a process above which its claims are not answered. Only a process
// of an older version, which does not limit its claims in flight, reaches it; the requests that wait for the claims then fail.
const maxUnwrittenAnswers = 4 * maxClaimsInFlight

// handoverState is the loop's view of the other processes of this image server. The loop owns it.
type handoverState struct {
	predecessor *handover.Link // nil if there is none
	successor   *handover.Link // nil if there is none
	synced      bool           // all keys of the predecessor are known here, or there is no predecessor
	rejoining   bool           // the link to the predecessor ended before its keys were known here

	authority keyauthority.Authority
	decision  keyauthority.Decision // of authority, when it was applied last
	claims    claimTable
	outboxes  map[*handover.Link]*keyOutbox // keys that are still to be announced to the other processes
}

func newHandoverState() handoverState {
	return handoverState{claims: newClaimTable(), outboxes: map[*handover.Link]*keyOutbox{}}
}

// links returns the links to other processes of this image server.
func (h *handoverState) links() (links []*handover.Link) {
	for _, link := range []*handover.Link{h.predecessor, h.successor} {
		if link != nil {
			links = append(links, link)
		}
	}
	return links
}

// synchronized reports whether all linked successors know the keys that this process knew when they joined.
func (h *handoverState) synchronized() bool {
	for _, outbox := range h.outboxes {
		if !outbox.synced {
			return false
		}
	}
	return true
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
		if s.handover.rejoining {
			s.handover.authority.PredecessorUnreachable()
			s.checkProcesses()
		}
		s.markSynced()
		return
	}
	s.log.Info("predecessor process connected")
	s.handover.outboxes[link] = newKeyOutbox(link, false)
	s.handover.authority.PredecessorJoined()
	s.checkProcesses()
}

// successorJoined makes room for the successor within the limits of the image server, and then sends it all keys.
func (s *Server) successorJoined(link *handover.Link) {
	s.log.Info("successor process connected")
	s.handover.successor = link
	s.handover.authority.SuccessorJoined()
	if s.drain.started() {
		s.announcer.Stop() // the successor reports under the same name, and must not be listed as draining
	}
	s.publishStatus()
	s.checkProcesses()
	s.handover.outboxes[link] = newKeyOutbox(link, true)
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
	case handover.RunsEnded:
		s.handleRunsEnded(link)
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
// gets the longest window of all classes: a shorter one could end while the key must not be run again. A key that this
// process may not run itself is not granted; the requests that wait for it then fail.
func (s *Server) handleKeyClaim(link *handover.Link, claim handover.KeyClaim) {
	if claim.AwaitsExit {
		s.handover.authority.SuccessorAsks()
	}
	outbox := s.handover.outboxes[link]
	if outbox == nil || link.Unwritten() > maxUnwrittenAnswers {
		return
	}
	entry := s.idempotency.entries[claim.IdempotencyKey]
	if entry != nil && !entry.expired(claim.ArrivedAt) {
		outbox.answer(entry)
		return
	}
	if s.handover.authority.Decide() > keyauthority.Claim {
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
	if outbox := s.handover.outboxes[link]; outbox != nil {
		outbox.announced[key] = announcedKnown
	}
	s.resumeClaimed(key)
	if s.idempotency.entries[key] == nil {
		s.keyChanged(key)
	}
}

// handleRunsEnded handles the announcement of the predecessor that it runs nothing more.
func (s *Server) handleRunsEnded(link *handover.Link) {
	if link != s.handover.predecessor {
		return
	}
	s.handover.authority.PredecessorFinished()
	s.failPeerRuns(link)
	s.markSynced()
	s.applyAuthority()
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

// failPeerRuns handles that no further message comes from another process. Runs of that process whose end is unknown may have
// had their effect, so the attempts that wait for them fail.
func (s *Server) failPeerRuns(link *handover.Link) {
	for _, entry := range s.idempotency.entries {
		if entry.owner == link && entry.state != entryCompleted {
			s.completePeerRun(entry, runResult{})
		}
	}
}

// peerEnded handles the end of a link, whether or not the other process continues to run. It reports whether the predecessor must be
// joined again: without its keys this process can't serve.
func (s *Server) peerEnded(link *handover.Link) (rejoin bool) {
	delete(s.handover.outboxes, link)
	switch link {
	case s.handover.predecessor:
		s.log.Info("predecessor process disconnected")
		s.handover.predecessor = nil
		rejoin = s.predecessorLinkEnded(link)
	case s.handover.successor:
		s.log.Info("successor process disconnected")
		s.handover.successor = nil
		s.handover.authority.SuccessorLinkEnded(s.clock.now)
	}
	s.failPeerRuns(link)
	s.checkProcesses()
	return rejoin
}

// predecessorLinkEnded handles the end of the link to the predecessor, and reports whether that must be joined again.
func (s *Server) predecessorLinkEnded(link *handover.Link) (rejoin bool) {
	finished := !s.handover.authority.PredecessorAlive()
	s.handover.authority.PredecessorLinkEnded(s.clock.now)
	if finished || s.listeners.opened {
		return false
	}
	s.handover.synced = false
	s.handover.rejoining = true
	s.idempotency.dropOwnedBy(link) // they will be sent again on another link
	return true
}

// applyAuthority resumes, claims or fails the requests that wait for their keys, as package keyauthority decides by now.
func (s *Server) applyAuthority() {
	decision := s.handover.authority.Decide()
	s.logAuthority(decision)
	switch decision {
	case keyauthority.Run:
		for _, request := range s.handover.claims.takeAll() {
			s.endClaim(request)
			s.submitToController(request)
		}
	case keyauthority.Fail:
		for _, request := range s.handover.claims.takeAll() {
			s.failUndecided(request)
		}
	case keyauthority.Claim:
		s.sendClaims()
	case keyauthority.Hold:
	}
}

// logAuthority logs when requests with unknown keys begin to fail, and when that ends.
func (s *Server) logAuthority(decision keyauthority.Decision) {
	before := s.handover.decision
	s.handover.decision = decision
	fields := logrus.Fields{"processes": s.processes.alive, "keys_undecided": s.stats.KeysUndecided}
	switch {
	case decision == keyauthority.Fail && before != decision:
		s.log.WithFields(fields).Warn("link to a process of this image server lost, requests with unknown idempotency keys fail")
	case before == keyauthority.Fail && before != decision:
		s.log.WithFields(fields).Info("requests with unknown idempotency keys are run again")
	}
}

// observeAuthority passes the processes that are alive to package keyauthority, and applies its decision.
func (s *Server) observeAuthority() {
	unlinked := s.processes.alive - 1 - len(s.handover.links())
	s.handover.authority.Observe(s.clock.now, unlinked > 0, s.config.longestIdempotencyWindow()+windowSlack)
	s.applyAuthority()
}

// decideKey decides whether a request may be submitted to the controller: always if its class has no keys or its key is known.
func (s *Server) decideKey(request *activeRequest) keyauthority.Decision {
	if !s.config.hasKeys(request.class) || s.idempotency.lookup(request) != nil {
		return keyauthority.Run
	}
	return s.handover.authority.Decide()
}

// failUndecided fails a request whose key may have been run by a process that can't be asked.
func (s *Server) failUndecided(request *activeRequest) {
	s.stats.KeysUndecided++
	request.trace.reason = reasonKeyUndecided
	s.failClaim(request)
}
