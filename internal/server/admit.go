package server

import (
	"errors"
	"time"

	"falldeal/admission"
)

// Stage two, admit: a valid request is put before the controller.

// Why a request is invalid by its fields. The texts go to front ends, and stay as they are.
var (
	errArrivalTime = errors.New("field at: longer ago than any deadline, or ahead of the clock")
	errTimeout     = errors.New("field wait: longer than any deadline")
	// Unknown tenant.
	errUnknownTenant = errors.New("field tenant: not one of this site")
	// No idempotency key.
	errMissingIdempotencyKey = errors.New("field once: missing in a class whose requests must run once")
	// The key belongs to a request with another body.
	errKeyConflict = errors.New("field once: known with another body")
)

// The arrival time of a request may be ahead of this clock by maxClockAhead, and behind it by the longest deadline and
// arrivalSlack. The controller takes the difference for time spent unread, and idempotency windows are counted from it.
const (
	maxClockAhead = time.Second
	arrivalSlack  = time.Second // for a machine that was paused
)

// admit validates an attempt and puts it before the controller, or answers it.
func (s *Server) admit(conn Connection, callNumber uint32, attempt *Attempt) {
	class, tenant, err := s.config.classify(attempt)
	if err == nil {
		err = s.normalizeTimes(attempt, class)
	}
	if err != nil {
		s.answerInvalid(conn, callNumber, attempt, err)
		return
	}
	if !s.admission.started() {
		// The agent is not up, so nothing can be run. No front end sends requests here before it is.
		s.countAnswer(class, Rejected)
		trace := requestTrace{reason: reasonAgentNotReady}
		s.logTrace(&activeRequest{attempt: *attempt, class: class, trace: trace}, Rejected.String())
		conn.Answer(callNumber, Answer{Kind: Rejected})
		return
	}
	request := &activeRequest{
		id:                s.requests.nextID(),
		attempt:           *attempt,
		class:             class,
		tenant:            tenant,
		connection:        conn,
		callNumber:        callNumber,
		idempotencyWindow: s.config.Settings.Classes[class].IdempotencyWindow,
	}
	s.requests.add(request)
	s.connections.openRequest(s.connections.get(conn), callNumber, request)
	if s.mustClaim(request) {
		s.claimKey(request)
		return
	}
	s.submitToController(request)
}

// normalizeTimes checks the times of an attempt of that class, and fills in its timeout where it has none.
func (s *Server) normalizeTimes(attempt *Attempt, class int) error {
	if s.stampedBeforeClockChange(attempt) {
		attempt.ArrivedAt -= s.clock.skew
	}
	earliest := s.clock.now - s.config.maxArrivalAge()
	latest := s.clock.now + maxClockAhead
	if at := s.clock.fromUnix(attempt.ArrivedAt); at < earliest || at > latest {
		return errArrivalTime
	}
	if attempt.Timeout == 0 {
		attempt.Timeout = s.config.Settings.Classes[class].Deadline
	}
	if attempt.Timeout > s.config.maxTimeout {
		return errTimeout
	}
	return nil
}

// stampedBeforeClockChange reports whether an attempt got its arrival time before the system's clock was set back: it
// lies ahead of the clock now, and did not then.
func (s *Server) stampedBeforeClockChange(attempt *Attempt) bool {
	return s.clock.fromUnix(attempt.ArrivedAt) > s.clock.now+maxClockAhead && attempt.ArrivedAt <= s.clock.now
}

// clientDeadline is when the client of a request gives up, on the clock of the loop.
func (s *Server) clientDeadline(request *activeRequest) time.Duration {
	return s.clock.fromUnix(request.attempt.ArrivedAt) + request.attempt.Timeout
}

// submitToController puts a request before the controller. It answers Invalid if the key belongs to a request with
// another body.
func (s *Server) submitToController(request *activeRequest) {
	attempt := &request.attempt
	arrival := admission.Arrival{
		Class:    request.class,
		Tenant:   request.tenant,
		Retry:    attempt.Retry,
		MemoryKB: attempt.MemoryKB,
		CostHint: attempt.CostHint,
		Deadline: s.clientDeadline(request),
		Waited:   max(s.clock.now-s.clock.fromUnix(attempt.ArrivedAt), 0),
	}
	if s.config.hasKeys(request.class) {
		if s.idempotency.conflicts(request) {
			s.markAnswered(request)
			s.removeRequest(request)
			s.answerInvalid(request.connection, request.callNumber, attempt, errKeyConflict)
			return
		}
		arrival.RetryOf = s.idempotency.register(request)
		if arrival.RetryOf != 0 {
			s.stats.Retries++
		}
	}
	s.classifyForShedding(request, &arrival)
	s.admission.enqueue(admission.RequestArrived(request.id, arrival))
}

// cancel ends the wait for a request whose client has gone. A run goes on; without one, the request is removed.
func (s *Server) cancel(request *activeRequest) {
	if request.answered {
		return
	}
	s.markAnswered(request)
	s.logTrace(request, outcomeCancelled)
	s.abandonCall(request)
	s.admission.enqueue(admission.RequestCancelled(request.id))
	if !request.running() {
		s.removeRequest(request)
	}
}
