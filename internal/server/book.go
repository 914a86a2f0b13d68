package server

import (
	"falldeal/admission"
	"falldeal/internal/agent"
)

// Stage six, book: answers go out, once each, and what has ended is struck off.

// answer gives r its one answer.
func (s *Server) answer(r *request, a Answer) {
	if r.answered {
		return
	}
	s.settle(r)
	st := s.peers.of(r.peer)
	if st == nil {
		return
	}
	s.peers.use(st, s.clock.now)
	s.count(r.class, a.Kind)
	s.leavesTrail(r, answerNames[a.Kind])
	s.spend(r)
	r.peer.Answer(r.call, a)
}

// count counts an answer to a request of a class.
func (s *Server) count(class int, kind AnswerKind) {
	n := s.stats.Name(s.cfg.Classes[class])
	switch kind {
	case Served:
		n.Served++
	case Rejected:
		n.Rejected++
	default:
		n.Failed++
	}
}

// settle notes that no answer is owed to r any more.
func (s *Server) settle(r *request) {
	r.answered = true
	if st := s.peers.of(r.peer); st != nil {
		s.peers.settle(st, r.call)
	}
}

func (s *Server) refuse(r *request, a admission.Action) {
	r.trail.why = a.Reason.String()
	if a.Reason == admission.ReasonDependency {
		s.missedCall()
	}
	s.refusedHere(r, a)
	s.answer(r, Answer{Kind: Rejected, RetryAfter: a.RetryAfter, NoRetryElsewhere: a.NoRetryElsewhere})
	if !r.running {
		s.forget(r)
	}
}

// fail answers r with an error. Its run, if there is one, goes on to its end or next call.
func (s *Server) fail(r *request) {
	r.trail.why = "given up"
	s.answer(r, Answer{Kind: Failed})
	s.hangUp(r)
	if !r.running {
		s.forget(r)
	}
}

// runEnded books what the agent tells of the end of a run.
func (s *Server) runEnded(n agent.Notification) {
	r := s.byWire[n.RequestID]
	if r == nil || !r.running {
		return
	}
	switch n.Result {
	case agent.Success:
		s.finish(r, admission.OutcomeOK, n.Payload)
	case agent.Failure:
		s.stats.RunsFailed++
		s.finish(r, admission.OutcomeFailed, nil)
	case agent.Interrupted:
		s.stats.RunsInterrupted++
		s.finish(r, admission.OutcomeCancelled, nil)
	default:
		s.stats.RunsNotStarted++
		s.finish(r, admission.OutcomeNotStarted, nil)
	}
}

// finish ends the run of r, answers it where that is still owed, and those that repeat it.
func (s *Server) finish(r *request, o admission.Outcome, result []byte) {
	s.hangUp(r)
	s.agent.Forget(r.try.ID)
	s.happened(admission.Event{Kind: admission.EventDone, ID: r.id, Outcome: o, Took: s.clock.now - r.began})
	if o == admission.OutcomeOK {
		s.answer(r, Answer{Kind: Served, Body: result})
	} else {
		s.answer(r, Answer{Kind: Failed})
	}
	for _, f := range s.keys.ended(r, o, result) {
		s.reused(f, o == admission.OutcomeOK, result)
	}
	s.forget(r)
}

// reuse answers r with the result of the try that it repeats, now or when that has ended.
func (s *Server) reuse(r *request) {
	r.began = s.clock.now
	if result, ok, over := s.keys.join(r); over {
		s.reused(r, ok, result)
	}
}

func (s *Server) reused(r *request, ok bool, result []byte) {
	if s.requests[r.id] != r {
		return // it has ended while it waited
	}
	o := admission.OutcomeFailed
	if ok {
		o = admission.OutcomeOK
		s.stats.Reused++
		s.answer(r, Answer{Kind: Served, Body: result})
	} else {
		s.answer(r, Answer{Kind: Failed})
	}
	s.happened(admission.Event{Kind: admission.EventDone, ID: r.id, Outcome: o, Took: s.clock.now - r.began})
	s.forget(r)
}

// forget strikes off a request of which nothing more is to come.
func (s *Server) forget(r *request) {
	delete(s.requests, r.id)
	delete(s.byWire, r.try.ID)
	if e := s.keys.left(r); e != nil {
		s.dropAfterWindow(e)
	}
}

// dropAfterWindow has an entry dropped that a run has. Tries of its window are taken in for as long as their
// time is plausible.
func (s *Server) dropAfterWindow(e *keyEntry) {
	closes := e.closes
	s.deadlines.Add(s.clock.own(closes)+s.lateMost()+keySlack, func() {
		if e.closes == closes {
			s.keys.drop(e)
		}
	})
}
