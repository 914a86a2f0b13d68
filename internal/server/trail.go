package server

import (
	"time"

	"falldeal/admission"

	"github.com/sirupsen/logrus"
)

// The trail: where the log's level is debug, one line for each request that tells what became of it and where its
// time went, so that a request can be followed by its id over all image servers that had a try of it. Below that
// level it costs one look at a flag.

// trail is what a request leaves for its line.
type trail struct {
	why    string // it was refused or failed
	calls  int
	inCall time.Duration // over all that have ended
	reply  string        // how the last call ended
}

var answerNames = [...]string{Served: "served", Rejected: "refused", Failed: "failed", Invalid: "invalid"}

// leavesTrail logs the line of r, which has just got its answer, or whose caller has gone.
func (s *Server) leavesTrail(r *request, end string) {
	if !s.trails {
		return
	}
	at := s.clock.own(r.try.ArrivedAt)
	fields := logrus.Fields{"id": r.try.ID, "class": s.cfg.Classes[r.class], "from": r.try.Client, "end": end,
		"after_ms": (s.clock.now - at).Milliseconds(), "wait_ms": r.try.Timeout.Milliseconds(),
		"cost_ms": r.try.CostHint.Milliseconds()}
	if r.try.IdempotencyKey != "" {
		fields["once"] = r.try.IdempotencyKey
	}
	if r.trail.why != "" {
		fields["why"] = r.trail.why
	}
	if r.running {
		fields["held_ms"], fields["run_ms"] = (r.began - at).Milliseconds(), (s.clock.now - r.began).Milliseconds()
	}
	if r.trail.calls > 0 {
		fields["calls"], fields["in_call_ms"], fields["call"] = r.trail.calls, r.trail.inCall.Milliseconds(), r.trail.reply
	}
	s.log.WithFields(fields).Debug("request")
}

// debugs reports whether log takes lines of the level debug.
func debugs(log logrus.FieldLogger) bool {
	l, ok := log.(*logrus.Logger)
	return ok && l.IsLevelEnabled(logrus.DebugLevel)
}

// replyNames are how a call ended, by what that proves.
var replyNames = [...]string{admission.OutcomeOK: "ok", admission.OutcomeFailed: "failed", admission.OutcomeRejected: "turned away", admission.OutcomeTimedOut: "timed out",
	admission.OutcomeUnreachable: "unreachable", admission.OutcomeAborted: "broke", admission.OutcomeNotStarted: "void"}
