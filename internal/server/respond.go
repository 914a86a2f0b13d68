package server

import (
	"falldeal/admission"
	"falldeal/internal/agent"

	"github.com/sirupsen/logrus"
)

// Stage 6, respond: each request gets one answer. It is removed when it has been answered and has no run any more.

// answer answers a request, unless it has its answer already or its connection has ended.
func (s *Server) answer(request *activeRequest, answer Answer) {
	if request.answered {
		return
	}
	s.markAnswered(request)
	state := s.connections.get(request.connection)
	if state == nil {
		return
	}
	s.connections.touch(state, s.clock.now)
	s.countAnswer(request.class, answer.Kind)
	s.logTrace(request, answer.Kind.String())
	s.markCompleted(request)
	request.connection.Answer(request.callNumber, answer)
}

// answerInvalid answers an invalid request. attempt is nil if the request could not be read.
func (s *Server) answerInvalid(conn Connection, callNumber uint32, attempt *Attempt, err error) {
	s.stats.Invalid++
	s.warnings.WarnFields("request", "invalid request from a front end", err, attemptFields(attempt))
	conn.Answer(callNumber, Answer{Kind: Invalid, Reason: err.Error()})
}

// attemptFields returns the log fields that identify an attempt, or none if attempt is nil.
func attemptFields(attempt *Attempt) logrus.Fields {
	if attempt == nil {
		return nil
	}
	return logrus.Fields{fieldRequestID: attempt.ID, "client": attempt.Client, "class": attempt.Class}
}

// countAnswer counts an answer to a request of a class.
func (s *Server) countAnswer(class int, kind AnswerKind) {
	answers := s.stats.Class(s.config.Classes[class])
	switch kind {
	case Served:
		answers.Served++
	case Rejected:
		answers.Rejected++
	default: // Failed; no other kind is counted
		answers.Failed++
	}
}

// markAnswered records that a request needs no answer any more.
func (s *Server) markAnswered(request *activeRequest) {
	request.answered = true
	if state := s.connections.get(request.connection); state != nil {
		s.connections.closeRequest(state, request.callNumber)
	}
}

// reject answers a request that the controller rejects.
func (s *Server) reject(request *activeRequest, rejection admission.Rejection) {
	request.trace.reason = traceReason(rejection.Reason.String())
	if rejection.Cause != rejection.Reason {
		request.trace.cause = traceReason(rejection.Cause.String())
	}
	if rejection.Reason == admission.ReasonDependency {
		s.recordMissedCall()
	}
	s.recordRejection(request, rejection)
	s.answer(request, Answer{Kind: Rejected, RetryAfter: rejection.RetryAfter, NoRetryElsewhere: rejection.NoRetryElsewhere})
	if !request.running() {
		s.removeRequest(request)
	}
}

// fail answers a request as Failed. Its run, if there is one, continues, but no further call is made for it.
func (s *Server) fail(request *activeRequest) {
	request.trace.reason = reasonAbandoned
	s.answer(request, Answer{Kind: Failed})
	s.abandonCall(request)
	if !request.running() {
		s.removeRequest(request)
	}
}

// abandonRun answers a request as Failed, because its run may wait for a reply to its call that was lost. The run may also have
// got that reply; its outcome then answers retries.
func (s *Server) abandonRun(request *activeRequest) {
	request.trace.reason = reasonReplyUnacknowledged
	s.answer(request, Answer{Kind: Failed})
	s.admission.enqueue(admission.RequestCancelled(request.id))
}

// handleOutcome handles the outcome of a run.
func (s *Server) handleOutcome(run agent.RunOutcome) {
	request := s.requests.byAttemptID[run.RequestID]
	if request == nil || !request.running() {
		return
	}
	switch run.Result {
	case agent.RunSucceeded:
		s.completeRun(request, admission.OutcomeOK, run.Payload)
	case agent.RunFailed:
		s.stats.RunsFailed++
		s.completeRun(request, admission.OutcomeFailed, nil)
	case agent.RunInterrupted:
		s.stats.RunsInterrupted++
		s.completeRun(request, admission.OutcomeCancelled, nil)
	case agent.RunNotStarted:
		s.stats.RunsNotStarted++
		s.completeRun(request, admission.OutcomeNotStarted, nil)
	}
}

// completeRun ends the run of a request, and answers that request and the retries that wait for its result.
func (s *Server) completeRun(request *activeRequest, outcome admission.Outcome, body []byte) {
	result := runResult{ok: outcome == admission.OutcomeOK, body: body}
	s.abandonCall(request)
	s.agent.DiscardCommands(request.attempt.ID)
	if outcome == admission.OutcomeNotStarted {
		s.completed.removeRan(request.attempt.ID)
	}
	s.enqueueDone(request, outcome)
	s.answerResult(request, result)
	for _, retry := range s.idempotency.runEnded(request, outcome, body) {
		s.answerFromResult(retry, result)
	}
	s.removeRequest(request)
}

// enqueueDone notifies the controller that a run, or the reuse of a result, has ended.
func (s *Server) enqueueDone(request *activeRequest, outcome admission.Outcome) {
	s.admission.enqueue(admission.RunCompleted(request.id, admission.Completion{
		Outcome:  outcome,
		Duration: s.clock.now - request.startedAt,
	}))
}

// answerResult answers a request with the result of a run.
func (s *Server) answerResult(request *activeRequest, result runResult) {
	if result.ok {
		s.answer(request, Answer{Kind: Served, Body: result.body})
	} else {
		s.answer(request, Answer{Kind: Failed})
	}
}

// reuseResult answers a request with the result of the attempt that it retries, as soon as that has ended.
func (s *Server) reuseResult(request *activeRequest) {
	request.startedAt = s.clock.now
	if result, ended := s.idempotency.awaitResult(request); ended {
		s.answerFromResult(request, result)
	}
}

// answerFromResult answers and removes a request that has waited for the run of another attempt.
func (s *Server) answerFromResult(request *activeRequest, result runResult) {
	if !s.requests.contains(request) {
		return // the request ended while it waited
	}
	outcome := admission.OutcomeFailed
	if result.ok {
		outcome = admission.OutcomeOK
		s.stats.ResultsReused++
	}
	s.answerResult(request, result)
	s.enqueueDone(request, outcome)
	s.removeRequest(request)
}

// removeRequest removes a request to which nothing more can happen.
func (s *Server) removeRequest(request *activeRequest) {
	s.endClaim(request)
	s.requests.remove(request)
	if entry := s.idempotency.release(request); entry != nil {
		s.expireAfterWindow(entry)
	}
}

// expireAfterWindow schedules the removal of an entry that has a run: at the time from which an attempt that arrived within
// the entry's window would be invalid because of its age. The controller's key table is not involved, because it only
// accounts for memory.
func (s *Server) expireAfterWindow(entry *idempotencyEntry) {
	s.deadlines.Cancel(entry.expiry)
	expiresAt := s.clock.fromUnix(entry.windowEnd) + s.config.maxArrivalAge() + windowSlack
	entry.expiry = s.deadlines.Add(expiresAt, func() { s.idempotency.drop(entry) })
}
