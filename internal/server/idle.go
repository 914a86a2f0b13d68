package server

import (
	"time"

	"falldeal/internal/deadline"
)

const (
	minIdleCheckInterval = 100 * time.Millisecond // between checks for idle connections
	closeGracePeriod     = 2 * time.Second        // for a front end to close a connection after it was notified
)

// idleTimer schedules the next check for idle connections. The loop owns it.
type idleTimer struct {
	timeout time.Duration   // idle time after which front ends are notified that a connection closes; 0 = never
	entry   *deadline.Entry // the next check; nil if none is scheduled
	at      time.Duration   // time of the next check
}

// closeIdle notifies the front ends of connections that have been idle for too long, and closes connections that have
// stayed open after such a notification.
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

// idleLimit returns how long a connection of a kind may be idle, and the function to call after that. A limit of 0 means
// forever.
func (s *Server) idleLimit(kind connectionKind) (time.Duration, func(*connectionState)) {
	switch {
	case kind != notifiedConnection:
		return s.connections.idleTimer.timeout, s.notifyClosing
	case s.drain.started():
		return 0, nil // the end of the process will close them soon
	}
	return closeGracePeriod, s.beginClose
}

// nextIdleLimit returns the earliest time at which a connection will have been idle for too long. ok is false if there is
// none.
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

// scheduleIdleCheck schedules closeIdle for the time at which a connection will have been idle for too long. It is called
// at the end of each turn.
func (s *Server) scheduleIdleCheck() {
	at, ok := s.nextIdleLimit()
	if !ok {
		return
	}
	at = max(at, s.clock.now+minIdleCheckInterval)
	timer := &s.connections.idleTimer
	if timer.entry != nil && timer.at <= at {
		return // the earlier check may find nothing, but its turn ends with another call of this function
	}
	s.deadlines.Cancel(timer.entry)
	timer.at = at
	timer.entry = s.deadlines.Add(at, s.closeIdle)
}
