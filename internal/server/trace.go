package server

import (
	"time"

	"falldeal/admission"

	"github.com/sirupsen/logrus"
)

// Request traces: at log level debug, one line for each request tells how it ended and where its time went, so that a
// request can be followed by its ID over all image servers that had an attempt of it. At other levels nothing is
// collected for it but a few fields of the request.

// fieldRequestID is the log field that identifies a request in all lines about it.
const fieldRequestID = "request_id"

// requestTrace is what a request collects for its line.
type requestTrace struct {
	reason          traceReason   // for which it was rejected or failed
	cause           traceReason   // the rule that rejected it, if that is not the reason
	calls           int           // made to the store
	callTime        time.Duration // of all calls that have ended
	lastCallOutcome string
}

// traceReason says why a request was rejected or failed: the text of an admission.Reason, or one of the reasons below.
type traceReason string

// Reasons that are not the controller's reasons for a rejection.
const (
	// reasonAgentNotReady: rejected because the agent has not sent its handshake yet.
	reasonAgentNotReady traceReason = "agent_not_ready"
	// reasonAbandoned: failed by the controller (admission.ActionFail). It covers every such failure: the deadline of a
	// request that runs or waits for the result of another attempt, which a drain may have moved forward; a call that
	// the class can't do without and that the circuit breaker drops or that would come too late; and a retry, while
	// memory is short, of an attempt that may have run. A request whose own run fails has no reason.
	reasonAbandoned traceReason = "abandoned"
	// reasonShutdown: rejected or failed because the loop ended before there was an answer.
	reasonShutdown traceReason = "shutdown"
)

// Texts of traces that are neither a name of an AnswerKind or of an outcome, nor a reason.
const (
	outcomeCancelled = "cancelled" // the client went before there was an answer
	callInFlight     = "in_flight" // the last call has not ended
)

// outcomeNames gives how a call ended, by what that proves.
var outcomeNames = [...]string{
	admission.OutcomeOK:          "ok",
	admission.OutcomeFailed:      "failed",
	admission.OutcomeRejected:    "rejected",
	admission.OutcomeTimedOut:    "timed_out",
	admission.OutcomeUnreachable: "unreachable",
	admission.OutcomeAborted:     "aborted",
	admission.OutcomeNotStarted:  "not_started",
}

// logTrace logs the line of a request that has just got its answer, or whose client has gone.
func (s *Server) logTrace(request *activeRequest, outcome string) {
	if !s.traceRequests {
		return
	}
	attempt := &request.attempt
	trace := &request.trace
	now := s.clock.now
	arrivedAt := s.clock.fromUnix(attempt.ArrivedAt)
	fields := logrus.Fields{
		fieldRequestID: attempt.ID,
		"class":        s.config.Classes[request.class],
		"client":       attempt.Client,
		"outcome":      outcome,
		"elapsed_ms":   (now - arrivedAt).Milliseconds(),
		"timeout_ms":   attempt.Timeout.Milliseconds(),
		"cost_hint_ms": attempt.CostHint.Milliseconds(),
	}
	if attempt.IdempotencyKey != "" {
		fields["idempotency_key"] = attempt.IdempotencyKey
	}
	if trace.reason != "" {
		fields["reason"] = string(trace.reason)
	}
	if trace.cause != "" {
		fields["cause"] = string(trace.cause)
	}
	if request.running() {
		fields["queued_ms"] = (request.startedAt - arrivedAt).Milliseconds()
		fields["run_ms"] = (now - request.startedAt).Milliseconds()
	}
	if trace.calls > 0 {
		fields["calls"] = trace.calls
		fields["call_ms"] = trace.callTime.Milliseconds()
		fields["last_call_outcome"] = trace.lastCallOutcome
	}
	s.log.WithFields(fields).Debug("request finished")
}

// debugEnabled reports whether log takes lines of level debug.
func debugEnabled(log logrus.FieldLogger) bool {
	logger, ok := log.(*logrus.Logger)
	return ok && logger.IsLevelEnabled(logrus.DebugLevel)
}
