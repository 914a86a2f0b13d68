package server

import "time"

// Drills: what operators have one process do to itself, to see how the others take it. Neither exists unless the
// operators' file asks for it.

// SkewClock has the server take the system's clock to be off by d. It is called before Run.
func (s *Server) SkewClock(d time.Duration) {
	s.clock = clock{read: func() time.Time { return time.Now().Add(d) }}
	s.clock.advance()
}

// StallLoop has the loop do nothing at all for d, while the rest of the process goes on. It reports false where the
// loop's input is full: it stands still already, or as good as.
func (s *Server) StallLoop(d time.Duration) bool {
	select {
	case s.inbox <- func() {
		s.log.WithField("for_ms", d.Milliseconds()).Warn("drill: the loop stands still")
		time.Sleep(d)
	}:
		return true
	default:
		return false
	}
}
