package server

import (
	"errors"
	"fmt"
	"time"

	"falldeal/admission"
)

// Stage two, admit: a request that makes sense is put before the controller.

var (
	errAt         = errors.New("field at: longer ago than any deadline, or ahead of the clock")
	errWait       = errors.New("field wait: longer than any deadline")
	errTenant     = errors.New("field tenant: not one of this site")
	errNoOnce     = errors.New("field once: missing in a class whose requests must run once")
	errOtherOrder = errors.New("field once: known with another body")
)

// earlyMost and lateSpare bound what time a request may give as that of its arrival: a little ahead of
// this clock, and behind it for as long as a caller waits and a machine may stand still. The controller
// takes the difference for time spent unread, and keys are kept by it.
const (
	earlyMost = time.Second
	lateSpare = time.Second
)

// lateMost goes by the longest deadline that ever was in force: front ends hear late of a new one.
func (s *Server) lateMost() time.Duration { return s.mostWait + lateSpare }

// admitWaits has tries taken in that wait as long as the settings say.
func (s *Server) admitWaits() {
	for _, k := range s.cfg.Settings.Classes {
		s.mostWait = max(s.mostWait, k.Deadline)
	}
}

// nameTenants has the tenants of the configuration known by their places. Front ends hear late of a new one: what still
// comes for a tenant that is gone counts with the first.
func (s *Server) nameTenants() {
	for name := range s.tenants {
		s.tenants[name] = 0
	}
	for i, name := range s.cfg.Tenants {
		s.tenants[name] = i
	}
}

func (s *Server) admit(p Connection, call uint32, t Attempt) {
	class, known := s.classes[t.Class]
	if !known {
		s.invalid(p, call, fmt.Errorf("method: unknown class %.40q", t.Class))
		return
	}
	tenant, known := s.tenants[t.Tenant]
	if !known && len(s.cfg.Tenants) > 0 && t.Tenant != "" {
		s.invalid(p, call, errTenant)
		return
	}
	keyed := s.cfg.Settings.Classes[class].Idempotency == admission.IdempotentByKey
	if keyed && t.IdempotencyKey == "" {
		s.invalid(p, call, errNoOnce)
		return
	}
	if at := s.clock.own(t.ArrivedAt); at > s.clock.now+earlyMost && t.ArrivedAt <= s.clock.now {
		t.ArrivedAt -= s.clock.skew // stamped before the clock was set back
	}
	at := s.clock.own(t.ArrivedAt)
	if at > s.clock.now+earlyMost || at < s.clock.now-s.lateMost() {
		s.invalid(p, call, errAt)
		return
	}
	if t.Timeout == 0 {
		t.Timeout = s.cfg.Settings.Classes[class].Deadline // the site's requests do not tell
	}
	if t.Timeout > s.mostWait {
		s.invalid(p, call, errWait)
		return
	}
	if s.ctl == nil {
		// The agent is not up, so nothing can be run. No request is sent here before it is.
		s.count(class, Rejected)
		p.Answer(call, Answer{Kind: Rejected})
		return
	}
	r := &request{id: s.lastID + 1, try: t, class: class, tenant: tenant, peer: p, call: call}
	r.window = s.cfg.Settings.Classes[class].IdempotencyWindow
	s.lastID = r.id
	s.requests[r.id], s.byWire[t.ID] = r, r
	s.peers.open(s.peers.of(p), call, r)
	if keyed && s.older != nil && s.keys.known(r) == nil {
		s.claim(r)
		return
	}
	s.enter(r)
}

// due is when the caller of r gives up.
func (s *Server) due(r *request) time.Duration { return s.clock.own(r.try.ArrivedAt) + r.try.Timeout }

// enter puts r before the controller.
func (s *Server) enter(r *request) {
	t := &r.try
	e := admission.Event{Kind: admission.EventRequest, ID: r.id, Class: r.class, Tenant: r.tenant, Retry: t.Retry, Client: t.Client, MemoryKB: t.MemoryKB, CostHint: t.CostHint,
		HasSubject: t.Subject != "", Rank: t.Rank, Deadline: s.due(r), Waited: max(s.clock.now-s.clock.own(t.ArrivedAt), 0)}
	if s.cfg.Settings.Classes[r.class].Idempotency == admission.IdempotentByKey {
		if s.keys.conflicts(r) {
			s.settle(r)
			s.forget(r)
			s.invalid(r.peer, r.call, errOtherOrder)
			return
		}
		if e.RetryOf = s.keys.take(r); e.RetryOf != 0 {
			s.stats.Retries++
		}
	}
	s.judge(r, &e)
	s.happened(e)
}

// gone notes that nobody waits for r. A run goes on; what had not begun exists no more.
func (s *Server) gone(r *request) {
	if r.answered {
		return
	}
	s.settle(r)
	s.leavesTrail(r, "gone")
	s.hangUp(r)
	s.happened(admission.Event{Kind: admission.EventCancelled, ID: r.id})
	if !r.running {
		s.forget(r)
	}
}
