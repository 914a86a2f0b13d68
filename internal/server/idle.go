package server

import (
	"time"

	"falldeal/internal/deadline"
)

const (
	minIdleCheckInterval = 100 * time.Millisecond // between two checks for idle connections
	closeGracePeriod     = 2 * time.Second        // for a front end to close a connection after its notification
)

// idleTimer is the next check for idle connections. The loop owns it.
type idleTimer struct {
	timeout time.Duration // connections idle for longer are notified that they close; 0 = never
	entry   *deadline.Entry
	at      time.Duration
}

// closeIdle notifies connections that have been idle for too long that they close, and closes those that stay open
// after that.
func (s *Server) closeIdle() {
	s.connections.idleTimer.entry = nil
	for kind := range connectionKinds {
		limit, act := s.idleLimit(kind)
		for limit > 0 {
			state := s.connections.idleSince(kind, s.clock.now-limit)
			if state == nil {
				break
			}
			act(state)
		}
	}
}

// idleLimit returns how long a connection of that kind may be idle, and what then becomes of it; 0 = for ever.
func (s *Server) idleLimit(kind connectionKind) (time.Duration, func(*connectionState)) {
	switch {
	case kind != closingConnection:
		return s.connections.idleTimer.timeout, s.notifyClosing
	case s.drain.started():
		return 0, nil // the end of the process is near enough
	}
	return closeGracePeriod, s.beginClose
}

// nextIdleLimit returns when the first connection will have been idle for too long.
func (s *Server) nextIdleLimit() (at time.Duration, ok bool) {
	for kind := range connectionKinds {
		limit, _ := s.idleLimit(kind)
		state := s.connections.longestIdle(kind)
		if limit <= 0 || state == nil {
			continue
		}
		limitAt := state.lastUsed + limit
		if !ok || limitAt < at {
			at = limitAt
			ok = true
		}
	}
	return at, ok
}

// scheduleIdleCheck sees to it that closeIdle is called when a connection has been idle for too long, and not before.
// Each turn ends with it.
func (s *Server) scheduleIdleCheck() {
	at, ok := s.nextIdleLimit()
	if !ok {
		return
	}
	at = max(at, s.clock.now+minIdleCheckInterval)
	timer := &s.connections.idleTimer
	if timer.entry != nil && timer.at <= at {
		return // an earlier check may find nothing, and the turn that it takes ends here again
	}
	s.deadlines.Cancel(timer.entry)
	timer.at = at
	timer.entry = s.deadlines.Add(at, s.closeIdle)
}
