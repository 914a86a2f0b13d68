package server

import "time"

// Faults that operators inject into one process, to see how the others take it. Neither exists unless the operators'
// file asks for it.

// SkewClock has the server take the system's clock to be off by d. It is called before Run.
func (s *Server) SkewClock(d time.Duration) {
	s.clock = clock{read: func() time.Time { return time.Now().Add(d) }}
	s.clock.advance()
}

// StallLoop blocks the loop for d, while the rest of the process goes on. It returns false if the inbox is full: the
// loop stands still already, or as good as. It may be called from any goroutine.
func (s *Server) StallLoop(d time.Duration) bool {
	return s.inbox.offer(task(func() {
		s.log.WithField("for_ms", d.Milliseconds()).Warn("drill: the loop stands still")
		time.Sleep(d)
	}))
}
