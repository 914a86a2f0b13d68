package server

import (
	"maps"
	"slices"
	"time"

	"falldeal/admission"
)

// Drain: on SIGTERM everything that was read is answered, and the process ends in time.

// endMargin is how long before the process is stopped its loop ends: the last answers, which the
// controller gives a little earlier, are on their way by then. FinalWriteTimeout of it may pass until the process ends,
// whatever still hangs on a socket.
const (
	endMargin         = 120 * time.Millisecond
	FinalWriteTimeout = 90 * time.Millisecond

	// listenerCloseLead is how long before that the listeners are closed at the latest: what came in at the last moment, over
	// whatever way there is between the machines, is read and answered by the end. Front ends are promised 50 ms.
	listenerCloseLead = 100 * time.Millisecond
)

type drainState struct {
	started          bool
	replaced         bool          // a newer process goes on
	began            time.Duration // when the notice came
	stopAt           time.Duration // when the loop ends at the latest
	closeListenersAt time.Duration // when the listeners are closed: nothing that arrives later would be run
	listenersClosed  bool
}

// Drain has the process leave. Where a newer one has joined to take its place, the image server goes on: no
// front end is sent elsewhere, and only what this process still has keeps it. It may be called more than once.
func (s *Server) Drain() {
	s.post(func() {
		if s.drain.started {
			return
		}
		replaced := s.successor != nil
		s.log.WithField("replaced", replaced).Info("told to leave")
		now, stop, shut := s.clock.now, s.config.StopTimeout, s.config.Settings.DrainGrace
		if replaced {
			stop, shut = s.config.ReplacedStopTimeout, 0
			s.announcer.Silence()
		} else {
			s.announcer.Set(false)
		}
		s.drain = drainState{started: true, replaced: replaced, began: now, stopAt: now + max(stop-endMargin, 0)}
		s.drain.closeListenersAt = max(min(now+shut, s.drain.stopAt-listenerCloseLead), now)
		s.enqueueDrainEvent()
		for _, st := range s.connections.states {
			s.notifyClosing(st)
		}
		s.publishStatus()
		s.deadlines.Add(s.drain.closeListenersAt, s.closeListeners)
		s.deadlines.Add(s.drain.stopAt, func() {}) // so that the loop looks at the time
	})
}

// enqueueDrainEvent has the controller know of the notice, be it later than that came.
func (s *Server) enqueueDrainEvent() {
	d := &s.drain
	s.enqueueEvent(admission.Event{Kind: admission.EventDrain, StopAt: d.stopAt, Waited: s.clock.now - d.began, Replaced: d.replaced})
}

// closeListeners closes the listeners: a refused connection tells a front end at once to go elsewhere.
func (s *Server) closeListeners() {
	s.drain.listenersClosed = true
	s.openFronts() // so that those that do not accept yet end, too
	for _, f := range s.fronts {
		if err := f.Close(); err != nil {
			s.warnings.Warn("listener", "not closed", err)
		}
	}
}

// finished reports whether a drain is over: all front ends have gone, or time is up. A newer process waits for the
// ends of orders that run here, to answer those that try them again.
func (s *Server) finished() bool {
	return s.drain.started && (s.drain.listenersClosed && s.servingFronts == 0 && s.connections.empty() && !(s.drain.replaced && s.idempotency.hasLocalRun()) ||
		s.clock.now >= s.drain.stopAt)
}

// shutDown is the end of the loop: what was read by then is answered, and all answers are still written.
func (s *Server) shutDown() {
	// Readers that waited for room hand over what they have read as it is made; a flood of it has an end.
	for n := 2 * inboxCapacity; n > 0 && len(s.inbox) > 0; n-- {
		(<-s.inbox)()
	}
	s.step()
	for _, id := range slices.Sorted(maps.Keys(s.requests)) {
		switch r := s.requests[id]; {
		case r == nil || r.answered:
		case r.running || r.claiming || s.idempotency.lookup(r) != nil && s.idempotency.lookup(r).ran:
			s.answer(r, Answer{Kind: Failed})
		default:
			s.answer(r, Answer{Kind: Rejected})
		}
	}
	s.logStats()
	for p := range s.connections.states {
		p.Close()
	}
}
