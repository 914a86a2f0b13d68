package server

import (
	"time"

	"falldeal/decide"
)

// Drain: on SIGTERM everything that was read is answered, and the process ends in time.

// endMargin is how long before the process is stopped its loop ends: the last answers, which the
// controller gives a little earlier, are on their way by then. LastWrites of it may pass until the process ends,
// whatever still hangs on a socket.
const (
	endMargin  = 120 * time.Millisecond
	LastWrites = 90 * time.Millisecond
)

type drainState struct {
	on       bool
	replaced bool          // a newer process goes on
	stopAt   time.Duration // when the loop ends at the latest
	shutAt   time.Duration // when the listeners are closed: nothing that arrives later would be run
	shutDone bool
}

// Drain has the process leave. Where a newer one has joined to take its place, the image server goes on: no
// front end is sent elsewhere, and only what this process still has keeps it. It may be called more than once.
func (s *Server) Drain() {
	s.post(func() {
		if s.drain.on {
			return
		}
		replaced := s.newer != nil
		s.log.WithField("replaced", replaced).Info("told to leave")
		now, stop, shut := s.clock.now, s.cfg.Stop, s.cfg.Settings.DrainGrace
		if replaced {
			stop, shut = s.cfg.StopReplaced, 0
			s.announcer.Silence()
		} else {
			s.announcer.Set(false)
		}
		s.drain = drainState{on: true, replaced: replaced, stopAt: now + max(stop-endMargin, 0)}
		s.drain.shutAt = min(now+shut, s.drain.stopAt)
		s.happened(decide.Event{Kind: decide.Notice, At: s.drain.stopAt, Replaced: replaced})
		for _, st := range s.peers.states {
			s.tellClosing(st)
		}
		s.tellFleet()
		s.deadlines.Add(s.drain.shutAt, s.shut)
		s.deadlines.Add(s.drain.stopAt, func() {}) // so that the loop looks at the time
	})
}

// shut closes the listeners: a refused connection tells a front end at once to go elsewhere.
func (s *Server) shut() {
	s.drain.shutDone = true
	s.openFronts() // so that those that do not accept yet end, too
	for _, f := range s.fronts {
		if err := f.Close(); err != nil {
			s.warn.Warn("listener", "not closed", err)
		}
	}
}

// finished reports whether a drain is over: all front ends have gone, or time is up.
func (s *Server) finished() bool {
	return s.drain.on && (s.drain.shutDone && s.serving == 0 && s.peers.size() == 0 || s.clock.now >= s.drain.stopAt)
}

// leave is the end of the loop: what was answered is still written.
func (s *Server) leave() {
	s.printStats()
	for p := range s.peers.states {
		p.Close()
	}
}
