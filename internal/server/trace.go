package server

import (
	"time"

	"falldeal/admission"

	"github.com/sirupsen/logrus"
)

// Request traces: at log level debug, one line per request says how it ended and where its time went, so that a request can
// be followed by its ID across all image servers that had an attempt of it. At other levels, only a few fields of the
// request are collected for it.

// fieldRequestID is the log field that identifies a request in all lines about it.
const fieldRequestID = "request_id"

// requestTrace is what a request collects for its trace line.
type requestTrace struct {
	reason          traceReason   // why it was rejected or failed
	cause           traceReason   // rule that rejected it, if that is not the reason
	calls           int           // number of calls to the store
	callTime        time.Duration // total duration of the calls that have ended
	lastCallOutcome string        // how the last call ended, or callInFlight
}

// traceReason is why a request was rejected or failed: the text of an admission.Reason, or one of the constants below.
type traceReason string

// Reasons that the controller does not give for a rejection.
const (
	// reasonAgentNotReady: rejected because the agent has not sent its handshake yet.
	reasonAgentNotReady traceReason = "agent_not_ready"
	// reasonAbandoned: failed by the controller (admission.ActionFail), in one of these cases:
	//
	//   - A request that runs, or waits for the result of another attempt, reaches its deadline, which may be earlier because
	//     of a drain.
	//   - A request needs a call that its class can't do without, and the circuit breaker drops the call or it would end too
	//     late.
	//   - While memory is short, a request retries an attempt that may have run.
	//
	// A request whose own run fails has no reason.
	reasonAbandoned traceReason = "abandoned"
	// reasonReplyUnacknowledged: failed because the link to the agent broke before the agent was known to have read the reply
	// to the run's call, and the run has not continued since.
	reasonReplyUnacknowledged traceReason = "reply_unacknowledged"
	// reasonKeyUndecided: failed because a process of this image server to which there is no link may have run the key.
	reasonKeyUndecided traceReason = "key_undecided"
	// reasonShutdown: rejected or failed because the loop ended before there was an answer.
	reasonShutdown traceReason = "shutdown"
)

// Texts in traces that are neither the name of an AnswerKind or an outcome, nor a reason.
const (
	outcomeCancelled = "cancelled" // the client has gone before there was an answer
	callInFlight     = "in_flight" // the last call has not ended
)

// outcomeNames gives the names of the outcomes of calls in traces.
var outcomeNames = [...]string{
	admission.OutcomeOK:          "ok",
	admission.OutcomeFailed:      "failed",
	admission.OutcomeRejected:    "rejected",
	admission.OutcomeTimedOut:    "timed_out",
	admission.OutcomeUnreachable: "unreachable",
	admission.OutcomeAborted:     "aborted",
	admission.OutcomeNotStarted:  "not_started",
}

// logTrace logs the trace line of a request that was just answered, or whose client has gone.
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

// debugEnabled reports whether log writes lines at level debug.
func debugEnabled(log logrus.FieldLogger) bool {
	logger, ok := log.(*logrus.Logger)
	return ok && logger.IsLevelEnabled(logrus.DebugLevel)
}
