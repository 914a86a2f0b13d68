package server

import (
	"time"

	"falldeal/decide"
)

// Drain: on SIGTERM everything that was read is answered, and the process ends in time.

// endMargin is how long before the process is stopped its loop ends: the last answers, which the
// controller gives a little earlier, are on their way by then.
const endMargin = 120 * time.Millisecond

type drainState struct {
	on       bool
	stopAt   time.Duration // when the loop ends at the latest
	shutAt   time.Duration // when the listeners are closed: nothing that arrives later would be run
	shutDone bool
}

// Drain has the server leave. It may be called more than once.
func (s *Server) Drain() {
	s.post(func() {
		if s.drain.on {
			return
		}
		s.log.Info("told to leave")
		now := s.clock.now
		s.drain = drainState{on: true, stopAt: now + max(s.cfg.Stop-endMargin, 0)}
		s.drain.shutAt = min(now+s.cfg.Settings.DrainGrace, s.drain.stopAt)
		s.announcer.Set(false)
		s.happened(decide.Event{Kind: decide.Notice, At: s.drain.stopAt})
		for p, st := range s.peers {
			s.tellClosing(p, st)
		}
		s.deadlines.Add(s.drain.shutAt, s.shut)
		s.deadlines.Add(s.drain.stopAt, func() {}) // so that the loop looks at the time
	})
}

// shut closes the listeners: a refused connection tells a front end at once to go elsewhere.
func (s *Server) shut() {
	s.drain.shutDone = true
	for _, f := range s.fronts {
		if err := f.Close(); err != nil {
			s.warn.Warn("listener", "not closed", err)
		}
	}
}

// finished reports whether a drain is over: all front ends have gone, or time is up.
func (s *Server) finished() bool {
	return s.drain.on && (s.drain.shutDone && len(s.peers) == 0 || s.clock.now >= s.drain.stopAt)
}

// leave is the end of the loop: what was answered is still written.
func (s *Server) leave() {
	s.printStats()
	for p := range s.peers {
		p.Close()
	}
}
