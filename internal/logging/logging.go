// Package logging limits the rate of log lines, so that a fault which repeats does not fill the log.
package logging

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	minInterval = 5 * time.Second // between two lines under one key
	maxKeys     = 256             // that are remembered; beyond that all are forgotten at once
)

// Limiter passes at most one line in minInterval under each key on to a logger, and counts the lines that it suppresses.
// It is safe for concurrent use.
type Limiter struct {
	log logrus.FieldLogger
	now func() time.Time

	mu      sync.Mutex
	records map[string]*record // guarded by mu
}

// record is what a Limiter remembers of a key.
type record struct {
	loggedAt   time.Time // when a line was passed on
	suppressed int       // lines since then
}

// NewLimiter returns a Limiter that passes lines on to log.
func NewLimiter(log logrus.FieldLogger) *Limiter {
	return &Limiter{log: log, records: map[string]*record{}, now: time.Now}
}

// Warn logs a constant message and err, which may be nil, unless a line under the same key was logged less than
// minInterval ago. The field topic has the key, and suppressed the number of lines under it that were not logged since
// the last one that was.
func (l *Limiter) Warn(key, message string, err error) { l.WarnFields(key, message, err, nil) }

// WarnFields is Warn with further fields.
func (l *Limiter) WarnFields(key, message string, err error, fields logrus.Fields) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	last := l.records[key]
	if last != nil && now.Sub(last.loggedAt) < minInterval {
		last.suppressed++
		return
	}
	entry := l.log.WithFields(fields).WithField("topic", key)
	if last != nil && last.suppressed > 0 {
		entry = entry.WithField("suppressed", last.suppressed)
	}
	if err != nil {
		entry = entry.WithError(err)
	}
	l.remember(key, now)
	entry.Warn(message)
}

// remember starts to count suppressed lines under a key. The caller holds mu.
func (l *Limiter) remember(key string, now time.Time) {
	if len(l.records) >= maxKeys {
		clear(l.records)
	}
	l.records[key] = &record{loggedAt: now}
}
