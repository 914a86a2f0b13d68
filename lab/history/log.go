package history

import (
	"sync"
	"time"
)

// Log collects the events of a laboratory. Its methods are safe for concurrent use.
type Log struct {
	startedAt time.Time // time 0 of the laboratory's clock

	mu     sync.Mutex
	events []Event
}

// NewLog returns an empty log. Its clock starts at 0 now.
func NewLog() *Log { return &Log{startedAt: time.Now()} }

// Now returns the time on the laboratory's clock.
func (l *Log) Now() time.Duration { return time.Since(l.startedAt) }

// Add appends an event and sets its time to the present.
func (l *Log) Add(event Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	event.At = l.Now() // under the lock, so that times do not decrease
	l.events = append(l.events, event)
}

// Events returns the events so far, in order of time. The caller must not modify them.
func (l *Log) Events() []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.events[:len(l.events):len(l.events)]
}
