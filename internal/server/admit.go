package server

import (
	"errors"
	"fmt"
	"time"

	"falldeal/admission"
)

// Stage two, admit: a request that makes sense is put before the controller.

var (
	errArrivalTime           = errors.New("field at: longer ago than any deadline, or ahead of the clock")
	errTimeout               = errors.New("field wait: longer than any deadline")
	errUnknownTenant         = errors.New("field tenant: not one of this site")
	errMissingIdempotencyKey = errors.New("field once: missing in a class whose requests must run once")
	errKeyConflict           = errors.New("field once: known with another body")
)

// maxClockLead and arrivalSlack bound what time a request may give as that of its arrival: a little ahead of
// this clock, and behind it for as long as a caller waits and a machine may stand still. The controller
// takes the difference for time spent unread, and keys are kept by it.
const (
	maxClockLead = time.Second
	arrivalSlack = time.Second
)

// maxArrivalAge goes by the longest deadline that ever was in force: front ends hear late of a new one.
func (s *Server) maxArrivalAge() time.Duration { return s.maxTimeout + arrivalSlack }

// raiseMaxTimeout has tries taken in that wait as long as the settings say.
func (s *Server) raiseMaxTimeout() {
	for _, k := range s.config.Settings.Classes {
		s.maxTimeout = max(s.maxTimeout, k.Deadline)
	}
}

// indexTenants has the tenants of the configuration known by their places. Front ends hear late of a new one: what still
// comes for a tenant that is gone counts with the first.
func (s *Server) indexTenants() {
	for name := range s.tenants {
		s.tenants[name] = 0
	}
	for i, name := range s.config.Tenants {
		s.tenants[name] = i
	}
}

func (s *Server) admit(p Connection, call uint32, attempt Attempt) {
	class, known := s.classes[attempt.Class]
	if !known {
		s.answerInvalid(p, call, fmt.Errorf("method: unknown class %.40q", attempt.Class))
		return
	}
	tenant, known := s.tenants[attempt.Tenant]
	if !known && len(s.config.Tenants) > 0 && attempt.Tenant != "" {
		s.answerInvalid(p, call, errUnknownTenant)
		return
	}
	keyed := s.config.Settings.Classes[class].Idempotency == admission.IdempotentByKey
	if keyed && attempt.IdempotencyKey == "" {
		s.answerInvalid(p, call, errMissingIdempotencyKey)
		return
	}
	if at := s.clock.fromUnix(attempt.ArrivedAt); at > s.clock.now+maxClockLead && attempt.ArrivedAt <= s.clock.now {
		attempt.ArrivedAt -= s.clock.skew // stamped before the clock was set back
	}
	at := s.clock.fromUnix(attempt.ArrivedAt)
	if at > s.clock.now+maxClockLead || at < s.clock.now-s.maxArrivalAge() {
		s.answerInvalid(p, call, errArrivalTime)
		return
	}
	if attempt.Timeout == 0 {
		attempt.Timeout = s.config.Settings.Classes[class].Deadline // the site's requests do not tell
	}
	if attempt.Timeout > s.maxTimeout {
		s.answerInvalid(p, call, errTimeout)
		return
	}
	if s.controller == nil {
		// The agent is not up, so nothing can be run. No request is sent here before it is.
		s.countAnswer(class, Rejected)
		p.Answer(call, Answer{Kind: Rejected})
		return
	}
	request := &activeRequest{id: s.lastRequestID + 1, attempt: attempt, class: class, tenant: tenant, connection: p, call: call}
	request.idempotencyWindow = s.config.Settings.Classes[class].IdempotencyWindow
	s.lastRequestID = request.id
	s.requests[request.id], s.requestsByID[attempt.ID] = request, request
	s.connections.openCall(s.connections.get(p), call, request)
	if keyed && s.predecessor != nil && s.idempotency.lookup(request) == nil {
		s.claimKey(request)
		return
	}
	s.submitToController(request)
}

// callerDeadline is when the caller of r gives up.
func (s *Server) callerDeadline(r *activeRequest) time.Duration {
	return s.clock.fromUnix(r.attempt.ArrivedAt) + r.attempt.Timeout
}

// submitToController puts r before the controller.
func (s *Server) submitToController(request *activeRequest) {
	t := &request.attempt
	event := admission.Event{Kind: admission.EventRequest, ID: request.id, Class: request.class, Tenant: request.tenant, Retry: t.Retry, Client: t.Client, MemoryKB: t.MemoryKB, CostHint: t.CostHint,
		HasSubject: t.Subject != "", Rank: t.Rank, Deadline: s.callerDeadline(request), Waited: max(s.clock.now-s.clock.fromUnix(t.ArrivedAt), 0)}
	if s.config.Settings.Classes[request.class].Idempotency == admission.IdempotentByKey {
		if s.idempotency.conflicts(request) {
			s.markAnswered(request)
			s.removeRequest(request)
			s.answerInvalid(request.connection, request.call, errKeyConflict)
			return
		}
		if event.RetryOf = s.idempotency.register(request); event.RetryOf != 0 {
			s.stats.Retries++
		}
	}
	s.classifyForShedding(request, &event)
	s.enqueueEvent(event)
}

// cancel notes that nobody waits for r. A run goes on; what had not begun exists no more.
func (s *Server) cancel(request *activeRequest) {
	if request.answered {
		return
	}
	s.markAnswered(request)
	s.logTrace(request, "gone")
	s.abandonCall(request)
	s.enqueueEvent(admission.Event{Kind: admission.EventCancelled, ID: request.id})
	if !request.running {
		s.removeRequest(request)
	}
}
