package server

import "time"

// Fault injection: faults that operators inject into one process, to see how the other members react. They occur only if
// the operators' file requests them.

// SkewClock makes the server read the system clock with an offset of d. It must be called before Run.
func (s *Server) SkewClock(d time.Duration) {
	s.clock = clock{read: func() time.Time { return time.Now().Add(d) }}
	s.clock.advance()
}

// StallLoop blocks the loop for d, while the rest of the process continues. It returns false if the inbox is full, because
// the loop is already stalled or overloaded. It may be called from any goroutine.
func (s *Server) StallLoop(d time.Duration) bool {
	return s.inbox.offer(task(func() {
		s.log.WithField("duration_ms", d.Milliseconds()).Warn("fault injection: event loop stalled")
		time.Sleep(d)
	}))
}
