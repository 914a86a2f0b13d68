package server

import (
	"time"

	"falldeal/admission"
	"falldeal/internal/agent"
	"falldeal/internal/store"
)

// Stage five, calls: calls of runs go to the store, and the replies back to the runs.

// handleCallRequest records the call that a run waits for; the controller decides on it.
func (s *Server) handleCallRequest(call agent.CallRequest) {
	request := s.requests.byAttemptID[call.RequestID]
	if request == nil || !request.running() {
		return
	}
	request.callBody, request.callOffset = call.Payload, call.Offset
	s.admission.enqueue(admission.Event{Kind: admission.EventCallNeeded, ID: request.id})
}

// callStore makes the call that the run of r waits for. The timeout counts from now; 0 stands for the class's deadline.
func (s *Server) callStore(request *activeRequest, timeout time.Duration) {
	if timeout <= 0 {
		timeout = s.config.Settings.Classes[request.class].Deadline
	}
	s.stats.Calls++
	request.callStartedAt = s.clock.now
	request.trace.calls++
	request.trace.lastReply = noReplyYet
	s.store.Call(request.attempt.ID, s.clock.now+timeout, request.callBody)
}

// abandonCall gives up the call of r, whose reply nobody waits for.
func (s *Server) abandonCall(r *activeRequest) {
	if s.store.Abandon(r.attempt.ID) {
		s.stats.CallsDropped++
	}
}

// replyOutcomes gives what a reply proves about the call.
var replyOutcomes = [...]admission.Outcome{
	store.OK:                admission.OutcomeOK,
	store.Rejected:          admission.OutcomeRejected,
	store.Failed:            admission.OutcomeFailed,
	store.TimedOut:          admission.OutcomeTimedOut,
	store.NotStarted:        admission.OutcomeNotStarted,
	store.ConnectionRefused: admission.OutcomeUnreachable,
	store.ConnectionBroken:  admission.OutcomeAborted,
	store.Expired:           admission.OutcomeTimedOut,
}

// handleCallEnded handles the end of a call. The run gets the body of a good reply; what becomes of a run whose call
// went wrong is the controller's decision.
func (s *Server) handleCallEnded(id string, reply store.Result, body []byte) {
	s.recordCallResult(reply)
	request := s.requests.byAttemptID[id]
	if request == nil {
		return
	}
	s.countReply(reply)
	if reply == store.OK {
		s.agent.Reply(id, body)
	}
	took := s.clock.now - request.callStartedAt
	outcome := replyOutcomes[reply]
	request.trace.callTime += took
	request.trace.lastReply = outcomeNames[outcome]
	s.admission.enqueue(admission.Event{
		Kind:    admission.EventCallDone,
		ID:      request.id,
		Outcome: outcome,
		Took:    took,
	})
}

func (s *Server) countReply(reply store.Result) {
	switch reply {
	case store.OK:
		s.stats.CallsOK++
	case store.Rejected:
		s.stats.CallsBusy++
	case store.TimedOut, store.Expired:
		s.stats.CallsLate++
	case store.ConnectionRefused:
		s.stats.CallsUnreachable++
	case store.ConnectionBroken:
		s.stats.CallsBroken++
	case store.Failed, store.NotStarted:
		s.stats.CallsFailed++
	}
}
