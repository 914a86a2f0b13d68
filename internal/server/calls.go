package server

import (
	"time"

	"falldeal/admission"
	"falldeal/internal/agent"
	"falldeal/internal/store"
)

// Stage 5, calls: calls of runs are sent to the store, and the replies are returned to the runs.

// handleCallRequest records the call that a run waits for, and notifies the controller, which decides on it.
func (s *Server) handleCallRequest(call agent.CallRequest) {
	request := s.requests.byAttemptID[call.RequestID]
	if request == nil || !request.running() {
		return
	}
	request.callBody = call.Payload
	request.callOffset = call.Offset
	s.admission.enqueue(admission.CallNeeded(request.id))
}

// callStore makes the call that the run of a request waits for, with a timeout that counts from now. A timeout of 0 stands
// for the deadline of the request's class, which is a duration.
func (s *Server) callStore(request *activeRequest, timeout time.Duration) {
	if timeout <= 0 {
		timeout = s.config.Settings.Classes[request.class].Deadline
	}
	s.stats.Calls++
	request.callStartedAt = s.clock.now
	request.trace.calls++
	request.trace.lastCallOutcome = callInFlight
	s.store.Call(request.attempt.ID, s.clock.now+timeout, request.callBody)
}

// abandonCall abandons the call of a request, if one is in flight, because its reply is no longer needed.
func (s *Server) abandonCall(request *activeRequest) {
	if s.store.Abandon(request.attempt.ID) {
		s.stats.CallsAbandoned++
	}
}

// replyOutcomes maps the result of a call to the outcome that is reported to the controller.
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

// handleCallEnded handles the end of a call. If the call has succeeded, the run gets the body of the reply. Otherwise the
// controller decides what happens to the run.
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
	request.trace.lastCallOutcome = outcomeNames[outcome]
	s.admission.enqueue(admission.CallCompleted(request.id, admission.Completion{Outcome: outcome, Duration: took}))
}

// handleReplyUnacknowledged decides what becomes of a run whose last reply the agent may not have read before the link broke.
// If the request may do without its call, the agent is told to skip it: the command names the call, and is rejected if the run
// has continued with the reply. Otherwise the run is awaited, since it may have continued.
func (s *Server) handleReplyUnacknowledged(id string) {
	request := s.requests.byAttemptID[id]
	if request == nil || !request.running() || request.answered {
		return
	}
	if s.config.Settings.Classes[request.class].DegradedValueRatio > 0 {
		s.agent.SkipCall(id, request.callOffset)
		return
	}
	s.awaitProgress(request)
}

// awaitProgress fails a request whose run has not continued by the latency objective of the request: it then probably waits
// for a reply that it will not get. The agent ends a run at a call once its request is answered.
func (s *Server) awaitProgress(request *activeRequest) {
	offset := request.callOffset
	s.deadlines.Add(s.latencyObjective(request), func() {
		if s.requests.contains(request) && !request.answered && request.callOffset == offset {
			s.abandonRun(request)
		}
	})
}

func (s *Server) countReply(reply store.Result) {
	switch reply {
	case store.OK:
		s.stats.CallsOK++
	case store.Rejected:
		s.stats.CallsRejected++
	case store.TimedOut, store.Expired:
		s.stats.CallsTimedOut++
	case store.ConnectionRefused:
		s.stats.CallsUnreachable++
	case store.ConnectionBroken:
		s.stats.CallsAborted++
	case store.Failed, store.NotStarted:
		s.stats.CallsFailed++
	}
}
