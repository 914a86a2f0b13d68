package server

import (
	"errors"
	"time"

	"falldeal/admission"
	"falldeal/internal/keyauthority"
)

// Stage 2, admit: valid requests are submitted to the controller.

// Reasons for which a request is invalid because of one of its fields, or because its key belongs to another request. The texts
// are sent to front ends and must not change.
var (
	errArrivalTime           = errors.New("field at: longer ago than any deadline, or ahead of the clock")
	errTimeout               = errors.New("field wait: longer than any deadline")
	errUnknownTenant         = errors.New("field tenant: not one of this site")
	errMissingIdempotencyKey = errors.New("field once: missing in a class whose requests must run once")
	// The key belongs to a request with another body.
	errKeyConflict = errors.New("field once: known with another body")
)

// The arrival time of a request may be ahead of the server's clock by maxClockAhead at most, and behind it by the longest
// deadline plus arrivalSlack. The bounds matter because the controller takes the time since the arrival for time spent
// unread, and because idempotency windows start at the arrival.
const (
	maxClockAhead = time.Second
	arrivalSlack  = time.Second // allows for a pause of the machine
)

// admit validates an attempt, and either submits it to the controller or answers it.
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
		// Nothing can be run before the agent is up. The listeners normally open only after that.
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
	switch s.decideKey(request) {
	case keyauthority.Run:
		s.submitToController(request)
	case keyauthority.Claim, keyauthority.Hold:
		s.claimKey(request)
	case keyauthority.Fail:
		s.failUndecided(request)
	}
}

// normalizeTimes checks the arrival time and the timeout of an attempt. A missing timeout is set to the deadline of the
// class.
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

// stampedBeforeClockChange reports whether an attempt got its arrival time before the system clock was set back: that
// time is ahead of the Unix clock, but not of the server's clock, which never goes back.
func (s *Server) stampedBeforeClockChange(attempt *Attempt) bool {
	return s.clock.fromUnix(attempt.ArrivedAt) > s.clock.now+maxClockAhead && attempt.ArrivedAt <= s.clock.now
}

// clientDeadline returns when the client of a request stops waiting, on the clock of the loop.
func (s *Server) clientDeadline(request *activeRequest) time.Duration {
	return s.clock.fromUnix(request.attempt.ArrivedAt) + request.attempt.Timeout
}

// latencyObjective returns until when the answer to a request has its full value, on the clock of the loop.
func (s *Server) latencyObjective(request *activeRequest) time.Duration {
	return s.clock.fromUnix(request.attempt.ArrivedAt) + s.config.Settings.Classes[request.class].LatencyObjective
}

// submitToController submits a request to the controller. It answers Invalid if the key belongs to a request with another
// body.
func (s *Server) submitToController(request *activeRequest) {
	attempt := &request.attempt
	arrival := admission.Arrival{
		Class:     request.class,
		Tenant:    request.tenant,
		Retry:     attempt.Retry,
		MemoryKB:  attempt.MemoryKB,
		CostHint:  attempt.CostHint,
		Deadline:  s.clientDeadline(request),
		ReadDelay: max(s.clock.now-s.clock.fromUnix(attempt.ArrivedAt), 0),
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

// cancel ends a request that no client waits for any more. If it is running, its run continues; otherwise it is removed.
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
