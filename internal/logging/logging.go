// Package logging keeps log lines that repeat from filling the log.
package logging

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	minInterval = 5 * time.Second // least time between two lines under one key
	maxKeys     = 256             // keys remembered; past that all are forgotten at once
)

// Limiter passes one line a key on to a logger, then counts instead for some time.
type Limiter struct {
	log     logrus.FieldLogger
	mu      sync.Mutex
	records map[string]*record
	now     func() time.Time
}

type record struct {
	loggedAt   time.Time
	suppressed int
}

// NewLimiter returns a Limiter before log.
func NewLimiter(log logrus.FieldLogger) *Limiter {
	return &Limiter{log: log, records: map[string]*record{}, now: time.Now}
}

// Warn logs text and err, unless a line under the same key went out a short while ago. The next
// line that goes out tells how many did not.
func (l *Limiter) Warn(key, text string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	last := l.records[key]
	if last != nil && now.Sub(last.loggedAt) < minInterval {
		last.suppressed++
		return
	}
	entry := l.log.WithField("about", key)
	if last != nil && last.suppressed > 0 {
		entry = entry.WithField("not_logged", last.suppressed)
	}
	if err != nil {
		entry = entry.WithError(err)
	}
	if len(l.records) >= maxKeys {
		clear(l.records)
	}
	l.records[key] = &record{loggedAt: now}
	entry.Warn(text)
}
