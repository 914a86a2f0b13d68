package server

import (
	"time"

	"falldeal/admission"

	"github.com/sirupsen/logrus"
)

// The trail: where the log's level is debug, one line for each request that tells what became of it and where its
// time went, so that a request can be followed by its id over all image servers that had a try of it. Below that
// level it costs one look at a flag.

// requestTrace is what a request leaves for its line.
type requestTrace struct {
	reason    string // it was refused or failed
	calls     int
	callTime  time.Duration // over all that have ended
	lastReply string        // how the last call ended
}

var answerNames = [...]string{Served: "served", Rejected: "refused", Failed: "failed", Invalid: "invalid"}

// logTrace logs the line of r, which has just got its answer, or whose caller has gone.
func (s *Server) logTrace(request *activeRequest, end string) {
	if !s.traceRequests {
		return
	}
	at := s.clock.fromUnix(request.attempt.ArrivedAt)
	fields := logrus.Fields{"id": request.attempt.ID, "class": s.config.Classes[request.class], "from": request.attempt.Client, "end": end,
		"after_ms": (s.clock.now - at).Milliseconds(), "wait_ms": request.attempt.Timeout.Milliseconds(),
		"cost_ms": request.attempt.CostHint.Milliseconds()}
	if request.attempt.IdempotencyKey != "" {
		fields["once"] = request.attempt.IdempotencyKey
	}
	if request.trace.reason != "" {
		fields["why"] = request.trace.reason
	}
	if request.running {
		fields["held_ms"], fields["run_ms"] = (request.startedAt - at).Milliseconds(), (s.clock.now - request.startedAt).Milliseconds()
	}
	if request.trace.calls > 0 {
		fields["calls"], fields["in_call_ms"], fields["call"] = request.trace.calls, request.trace.callTime.Milliseconds(), request.trace.lastReply
	}
	s.log.WithFields(fields).Debug("request")
}

// debugEnabled reports whether log takes lines of the level debug.
func debugEnabled(log logrus.FieldLogger) bool {
	l, ok := log.(*logrus.Logger)
	return ok && l.IsLevelEnabled(logrus.DebugLevel)
}

// outcomeNames are how a call ended, by what that proves.
var outcomeNames = [...]string{admission.OutcomeOK: "ok", admission.OutcomeFailed: "failed", admission.OutcomeRejected: "turned away", admission.OutcomeTimedOut: "timed out",
	admission.OutcomeUnreachable: "unreachable", admission.OutcomeAborted: "broke", admission.OutcomeNotStarted: "void"}
