package history

import (
	"sync"
	"time"
)

// Log collects events. Its methods may be called from any goroutine.
type Log struct {
	startedAt time.Time

	mu     sync.Mutex
	events []Event
}

// NewLog returns an empty log, whose clock starts now.
func NewLog() *Log { return &Log{startedAt: time.Now()} }

// Now returns the time on the laboratory's clock.
func (l *Log) Now() time.Duration { return time.Since(l.startedAt) }

// Add adds an event that happens now: it sets the event's time.
func (l *Log) Add(event Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	event.At = l.Now() // under the lock, so that events are in order
	l.events = append(l.events, event)
}

// Events returns the events so far, in order. The caller must not change them.
func (l *Log) Events() []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.events[:len(l.events):len(l.events)]
}
