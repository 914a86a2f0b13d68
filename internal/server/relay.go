package server

import (
	"time"

	"falldeal/admission"
	"falldeal/internal/agent"
	"falldeal/internal/store"
)

// Stage five, relay: calls of runs go to the store, and the replies back to the runs.

func (s *Server) wantsCall(n agent.Notification) {
	r := s.byWire[n.RequestID]
	if r == nil || !r.running {
		return
	}
	r.waits, r.offset = n.Payload, n.Offset
	s.happened(admission.Event{Kind: admission.EventCallNeeded, ID: r.id})
}

// callStore makes the call that r waits for. The limit counts from now, the way to the store included.
func (s *Server) callStore(r *request, limit time.Duration) {
	if limit <= 0 {
		limit = s.cfg.Settings.Classes[r.class].Deadline
	}
	s.stats.Calls++
	r.asked = s.clock.now
	r.trail.calls++
	r.trail.reply = "none yet"
	s.store.Call(r.try.ID, s.clock.now+limit, r.waits)
}

// abandonCall gives up the call of r, whose answer nobody waits for.
func (s *Server) hangUp(r *request) {
	if s.store.Abandon(r.try.ID) {
		s.stats.CallsDropped++
	}
}

// outcomes says what a reply proves about the call.
var outcomes = [...]admission.Outcome{
	store.OK:                admission.OutcomeOK,
	store.Rejected:          admission.OutcomeRejected,
	store.Failed:            admission.OutcomeFailed,
	store.Late:              admission.OutcomeTimedOut,
	store.Void:              admission.OutcomeNotStarted,
	store.ConnectionRefused: admission.OutcomeUnreachable,
	store.ConnectionBroken:  admission.OutcomeAborted,
	store.Expired:           admission.OutcomeTimedOut,
}

func (s *Server) callEnded(id string, reply store.Reply, body []byte) {
	s.probed(reply)
	r := s.byWire[id]
	if r == nil {
		return
	}
	switch reply {
	case store.OK:
		s.stats.CallsOK++
		s.agent.Reply(id, body)
	case store.Rejected:
		s.stats.CallsBusy++
	case store.Late, store.Expired:
		s.stats.CallsLate++
	case store.ConnectionRefused:
		s.stats.CallsUnreachable++
	case store.ConnectionBroken:
		s.stats.CallsBroken++
	default:
		s.stats.CallsFailed++
	}
	r.trail.inCall += s.clock.now - r.asked
	r.trail.reply = replyNames[outcomes[reply]]
	s.happened(admission.Event{Kind: admission.EventCallDone, ID: r.id, Outcome: outcomes[reply],
		Took: s.clock.now - r.asked})
}
