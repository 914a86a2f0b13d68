package server

import "time"

// Faults that operators inject into one process, to see how the other members react. Neither exists unless the
// operators' file asks for it.

// SkewClock makes the server treat the system's clock as off by d. It is called before Run.
func (s *Server) SkewClock(d time.Duration) {
	s.clock = clock{read: func() time.Time { return time.Now().Add(d) }}
	s.clock.advance()
}

// StallLoop blocks the loop for d, while the rest of the process goes on. It returns false if the inbox is full: the
// loop is stalled already, or overloaded. It may be called from any goroutine.
func (s *Server) StallLoop(d time.Duration) bool {
	return s.inbox.offer(task(func() {
		s.log.WithField("duration_ms", d.Milliseconds()).Warn("fault injection: event loop stalled")
		time.Sleep(d)
	}))
}
