package server

import (
	"container/list"
	"slices"
	"time"

	"falldeal/internal/handover"
)

const (
	claimTimeout       = 500 * time.Millisecond // for the predecessor's answer to a claim
	claimDeadlineSlack = 20 * time.Millisecond  // a claim expires this long before the client's deadline

	// maxClaimsInFlight is the number of claims without an answer at which no further claim is sent. Their answers limit how
	// fast claims are sent, so that clients can fill neither the link nor the other process.
	maxClaimsInFlight = 256
)

// claim is a key that requests wait for.
type claim struct {
	waiting []*activeRequest
	unsent  *list.Element // in claimTable.unsent; nil once the claim was sent
}

// claimTable holds the requests that may not run before another process has answered the claim on their key. A claim waits
// until fewer than maxClaimsInFlight were sent and not answered. The loop owns it.
type claimTable struct {
	byKey    map[string]*claim
	unsent   list.List // of keys, in order of their first requests
	inFlight int       // claims that were sent and not answered
}

func newClaimTable() claimTable { return claimTable{byKey: map[string]*claim{}} }

func (t *claimTable) size() int { return len(t.byKey) }

// add records that a request waits for its key.
func (t *claimTable) add(request *activeRequest) {
	key := request.attempt.IdempotencyKey
	claimed := t.byKey[key]
	if claimed == nil {
		claimed = &claim{unsent: t.unsent.PushBack(key)}
		t.byKey[key] = claimed
	}
	claimed.waiting = append(claimed.waiting, request)
}

// remove records that a request does not wait any more. A claim that was not sent is dropped with its last request.
func (t *claimTable) remove(request *activeRequest) {
	key := request.attempt.IdempotencyKey
	claimed := t.byKey[key]
	if claimed == nil {
		return
	}
	claimed.waiting = slices.DeleteFunc(claimed.waiting, func(other *activeRequest) bool { return other == request })
	if len(claimed.waiting) == 0 && claimed.unsent != nil {
		t.take(key)
	}
}

// take removes the claim on a key, and returns the requests that wait for it.
func (t *claimTable) take(key string) []*activeRequest {
	claimed := t.byKey[key]
	if claimed == nil {
		return nil
	}
	delete(t.byKey, key)
	if claimed.unsent != nil {
		t.unsent.Remove(claimed.unsent)
	} else {
		t.inFlight--
	}
	return claimed.waiting
}

// takeAll removes all claims, and returns the requests that wait for them, in order of arrival.
func (t *claimTable) takeAll() (waiting []*activeRequest) {
	for _, claimed := range t.byKey {
		waiting = append(waiting, claimed.waiting...)
	}
	slices.SortFunc(waiting, func(a, b *activeRequest) int { return int(a.id) - int(b.id) })
	*t = newClaimTable()
	return waiting
}

// next returns the first request of the claim to be sent next, and counts that as sent. It returns nil if none may be sent.
func (t *claimTable) next() *activeRequest {
	first := t.unsent.Front()
	if first == nil || t.inFlight >= maxClaimsInFlight {
		return nil
	}
	key, _ := t.unsent.Remove(first).(string) // the list holds nothing else
	claimed := t.byKey[key]
	claimed.unsent = nil
	t.inFlight++
	return claimed.waiting[0]
}

// claimKey makes a request wait until its key was granted, or it is known who else may have run it. If that takes too long
// the request fails, because another attempt may have been run.
func (s *Server) claimKey(request *activeRequest) {
	request.state = requestClaiming
	s.handover.claims.add(request)
	claimDeadline := min(s.clock.now+claimTimeout, s.clientDeadline(request)-claimDeadlineSlack)
	request.claimDeadline = s.deadlines.Add(claimDeadline, func() { s.expireClaim(request) })
	s.sendClaims()
}

// sendClaims sends as many claims to the predecessor as may be in flight.
func (s *Server) sendClaims() {
	if s.handover.predecessor == nil {
		return
	}
	for {
		request := s.handover.claims.next()
		if request == nil {
			return
		}
		s.stats.Claims++
		s.handover.predecessor.Publish(handover.KeyClaim{
			IdempotencyKey: request.attempt.IdempotencyKey,
			Digest:         bodyDigest(&request.attempt),
			ArrivedAt:      request.attempt.ArrivedAt,
			AwaitsExit:     true,
		})
	}
}

// expireClaim fails a request that has waited too long for the answer to a claim.
func (s *Server) expireClaim(request *activeRequest) {
	s.stats.ClaimsTimedOut++
	s.failClaim(request)
}

// failClaim answers and removes a request that waits for its key.
func (s *Server) failClaim(request *activeRequest) {
	s.answer(request, Answer{Kind: Failed})
	s.removeRequest(request)
}

// endClaim records that a request does not wait for its key any more.
func (s *Server) endClaim(request *activeRequest) {
	if request.state != requestClaiming {
		return
	}
	s.handover.claims.remove(request)
	s.deadlines.Cancel(request.claimDeadline)
	request.claimDeadline = nil
	request.state = requestQueued
}

// resumeClaimed resumes the requests that wait for a key, and sends further claims.
func (s *Server) resumeClaimed(key string) {
	for _, request := range s.handover.claims.take(key) {
		s.endClaim(request)
		s.submitToController(request)
	}
	s.sendClaims()
}
