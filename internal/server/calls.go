package server

import (
	"time"

	"falldeal/admission"
	"falldeal/internal/agent"
	"falldeal/internal/store"
)

// Stage five, relay: calls of runs go to the store, and the replies back to the runs.

func (s *Server) handleCallRequest(n agent.Notification) {
	r := s.requestsByID[n.RequestID]
	if r == nil || !r.running {
		return
	}
	r.callBody, r.callOffset = n.Payload, n.Offset
	s.enqueueEvent(admission.Event{Kind: admission.EventCallNeeded, ID: r.id})
}

// callStore makes the call that r waits for. The limit counts from now, the way to the store included.
func (s *Server) callStore(request *activeRequest, limit time.Duration) {
	if limit <= 0 {
		limit = s.config.Settings.Classes[request.class].Deadline
	}
	s.stats.Calls++
	request.callStartedAt = s.clock.now
	request.trace.calls++
	request.trace.lastReply = "none yet"
	s.store.Call(request.attempt.ID, s.clock.now+limit, request.callBody)
}

// abandonCall gives up the call of r, whose answer nobody waits for.
func (s *Server) abandonCall(r *activeRequest) {
	if s.store.Abandon(r.attempt.ID) {
		s.stats.CallsDropped++
	}
}

// replyOutcomes says what a reply proves about the call.
var replyOutcomes = [...]admission.Outcome{
	store.OK:                admission.OutcomeOK,
	store.Rejected:          admission.OutcomeRejected,
	store.Failed:            admission.OutcomeFailed,
	store.Late:              admission.OutcomeTimedOut,
	store.Void:              admission.OutcomeNotStarted,
	store.ConnectionRefused: admission.OutcomeUnreachable,
	store.ConnectionBroken:  admission.OutcomeAborted,
	store.Expired:           admission.OutcomeTimedOut,
}

func (s *Server) handleCallEnded(id string, reply store.Reply, body []byte) {
	s.recordCallResult(reply)
	request := s.requestsByID[id]
	if request == nil {
		return
	}
	switch reply {
	case store.OK:
		s.stats.CallsOK++
		s.agent.Reply(id, body)
	case store.Rejected:
		s.stats.CallsBusy++
	case store.Late, store.Expired:
		s.stats.CallsLate++
	case store.ConnectionRefused:
		s.stats.CallsUnreachable++
	case store.ConnectionBroken:
		s.stats.CallsBroken++
	default:
		s.stats.CallsFailed++
	}
	request.trace.callTime += s.clock.now - request.callStartedAt
	request.trace.lastReply = outcomeNames[replyOutcomes[reply]]
	s.enqueueEvent(admission.Event{Kind: admission.EventCallDone, ID: request.id, Outcome: replyOutcomes[reply],
		Took: s.clock.now - request.callStartedAt})
}
