package server

import (
	"time"

	"falldeal/admission"

	"github.com/sirupsen/logrus"
)

// Request traces: at log level debug, one line for each request tells how it ended and where its time went, so that a
// request can be followed by its ID over all image servers that had an attempt of it. At other levels a trace costs the
// look at a flag.

// requestTrace is what a request collects for its line.
type requestTrace struct {
	reason    string        // for which it was rejected or failed
	calls     int           // made to the store
	callTime  time.Duration // of all calls that have ended
	lastReply string        // how the last call ended
}

// Texts of traces that are no name of an answer, a reason of the controller or an outcome.
const (
	endCancelled  = "gone"     // the caller went before there was an answer
	reasonGivenUp = "given up" // the controller gave up a request that may have run
	noReplyYet    = "none yet" // a call is in flight
)

// answerNames gives how a request ended, by its answer.
var answerNames = [...]string{Served: "served", Rejected: "refused", Failed: "failed", Invalid: "invalid"}

// outcomeNames gives how a call ended, by what that proves.
var outcomeNames = [...]string{
	admission.OutcomeOK:          "ok",
	admission.OutcomeFailed:      "failed",
	admission.OutcomeRejected:    "turned away",
	admission.OutcomeTimedOut:    "timed out",
	admission.OutcomeUnreachable: "unreachable",
	admission.OutcomeAborted:     "broke",
	admission.OutcomeNotStarted:  "void",
}

// logTrace logs the line of a request that has just got its answer, or whose caller has gone.
func (s *Server) logTrace(request *activeRequest, end string) {
	if !s.traceRequests {
		return
	}
	attempt := &request.attempt
	trace := &request.trace
	now := s.clock.now
	arrivedAt := s.clock.fromUnix(attempt.ArrivedAt)
	fields := logrus.Fields{
		"id":       attempt.ID,
		"class":    s.config.Classes[request.class],
		"from":     attempt.Client,
		"end":      end,
		"after_ms": (now - arrivedAt).Milliseconds(),
		"wait_ms":  attempt.Timeout.Milliseconds(),
		"cost_ms":  attempt.CostHint.Milliseconds(),
	}
	if attempt.IdempotencyKey != "" {
		fields["once"] = attempt.IdempotencyKey
	}
	if trace.reason != "" {
		fields["why"] = trace.reason
	}
	if request.running() {
		fields["held_ms"] = (request.startedAt - arrivedAt).Milliseconds()
		fields["run_ms"] = (now - request.startedAt).Milliseconds()
	}
	if trace.calls > 0 {
		fields["calls"] = trace.calls
		fields["in_call_ms"] = trace.callTime.Milliseconds()
		fields["call"] = trace.lastReply
	}
	s.log.WithFields(fields).Debug("request")
}

// debugEnabled reports whether log takes lines of level debug.
func debugEnabled(log logrus.FieldLogger) bool {
	logger, ok := log.(*logrus.Logger)
	return ok && logger.IsLevelEnabled(logrus.DebugLevel)
}
