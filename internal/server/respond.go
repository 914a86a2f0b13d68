package server

import (
	"falldeal/admission"
	"falldeal/internal/agent"
)

// Stage six, book: answers go out, once each, and what has ended is struck off.

// answer gives r its one answer.
func (s *Server) answer(request *activeRequest, a Answer) {
	if request.answered {
		return
	}
	s.markAnswered(request)
	st := s.connections.get(request.connection)
	if st == nil {
		return
	}
	s.connections.touch(st, s.clock.now)
	s.countAnswer(request.class, a.Kind)
	s.logTrace(request, answerNames[a.Kind])
	s.markCompleted(request)
	request.connection.Answer(request.call, a)
}

// countAnswer counts an answer to a request of a class.
func (s *Server) countAnswer(class int, kind AnswerKind) {
	answers := s.stats.Name(s.config.Classes[class])
	switch kind {
	case Served:
		answers.Served++
	case Rejected:
		answers.Rejected++
	default:
		answers.Failed++
	}
}

// markAnswered notes that no answer is owed to r any more.
func (s *Server) markAnswered(r *activeRequest) {
	r.answered = true
	if st := s.connections.get(r.connection); st != nil {
		s.connections.closeCall(st, r.call)
	}
}

func (s *Server) reject(request *activeRequest, a admission.Action) {
	request.trace.reason = a.Reason.String()
	if a.Reason == admission.ReasonDependency {
		s.recordMissedCall()
	}
	s.recordRejection(request, a)
	s.answer(request, Answer{Kind: Rejected, RetryAfter: a.RetryAfter, NoRetryElsewhere: a.NoRetryElsewhere})
	if !request.running {
		s.removeRequest(request)
	}
}

// fail answers r with an error. Its run, if there is one, goes on to its end or next call.
func (s *Server) fail(r *activeRequest) {
	r.trace.reason = "given up"
	s.answer(r, Answer{Kind: Failed})
	s.abandonCall(r)
	if !r.running {
		s.removeRequest(r)
	}
}

// handleOutcome books what the agent tells of the end of a run.
func (s *Server) handleOutcome(notification agent.Notification) {
	request := s.requestsByID[notification.RequestID]
	if request == nil || !request.running {
		return
	}
	switch notification.Result {
	case agent.Success:
		s.completeRun(request, admission.OutcomeOK, notification.Payload)
	case agent.Failure:
		s.stats.RunsFailed++
		s.completeRun(request, admission.OutcomeFailed, nil)
	case agent.Interrupted:
		s.stats.RunsInterrupted++
		s.completeRun(request, admission.OutcomeCancelled, nil)
	default:
		s.stats.RunsNotStarted++
		s.completeRun(request, admission.OutcomeNotStarted, nil)
	}
}

// completeRun ends the run of r, answers it where that is still owed, and those that repeat it.
func (s *Server) completeRun(request *activeRequest, o admission.Outcome, result []byte) {
	s.abandonCall(request)
	s.agent.Forget(request.attempt.ID)
	s.enqueueEvent(admission.Event{Kind: admission.EventDone, ID: request.id, Outcome: o, Took: s.clock.now - request.startedAt})
	if o == admission.OutcomeOK {
		s.answer(request, Answer{Kind: Served, Body: result})
	} else {
		s.answer(request, Answer{Kind: Failed})
	}
	for _, f := range s.idempotency.runEnded(request, o, result) {
		s.answerFromResult(f, o == admission.OutcomeOK, result)
	}
	s.removeRequest(request)
}

// reuseResult answers r with the result of the try that it repeats, now or when that has ended.
func (s *Server) reuseResult(r *activeRequest) {
	r.startedAt = s.clock.now
	if result, ok, over := s.idempotency.awaitResult(r); over {
		s.answerFromResult(r, ok, result)
	}
}

func (s *Server) answerFromResult(request *activeRequest, ok bool, result []byte) {
	if s.requests[request.id] != request {
		return // it has ended while it waited
	}
	outcome := admission.OutcomeFailed
	if ok {
		outcome = admission.OutcomeOK
		s.stats.Reused++
		s.answer(request, Answer{Kind: Served, Body: result})
	} else {
		s.answer(request, Answer{Kind: Failed})
	}
	s.enqueueEvent(admission.Event{Kind: admission.EventDone, ID: request.id, Outcome: outcome, Took: s.clock.now - request.startedAt})
	s.removeRequest(request)
}

// removeRequest strikes off a request of which nothing more is to come.
func (s *Server) removeRequest(r *activeRequest) {
	delete(s.requests, r.id)
	delete(s.requestsByID, r.attempt.ID)
	if e := s.idempotency.release(r); e != nil {
		s.expireAfterWindow(e)
	}
}

// expireAfterWindow has an entry dropped that a run has. Tries of its window are taken in for as long as their
// time is plausible.
func (s *Server) expireAfterWindow(e *idempotencyEntry) {
	closes := e.windowEnd
	s.deadlines.Add(s.clock.fromUnix(closes)+s.maxArrivalAge()+windowSlack, func() {
		if e.windowEnd == closes {
			s.idempotency.drop(e)
		}
	})
}
