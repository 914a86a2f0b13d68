// Package logging limits the rate of log lines, so that a recurring fault does not fill the log.
package logging

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	minInterval = 5 * time.Second // between two lines with the same key
	maxKeys     = 256             // keys whose state is kept; the next key makes the Limiter drop the state of all others
)

// Limiter logs at most one line per key in minInterval, and counts the lines that it suppresses. It is safe for concurrent
// use.
type Limiter struct {
	log logrus.FieldLogger
	now func() time.Time // time.Now except in tests

	mu   sync.Mutex
	keys map[string]*keyState // guarded by mu
}

// keyState is the state of a Limiter for one key.
type keyState struct {
	loggedAt   time.Time // time of the last logged line
	suppressed int       // lines suppressed since then
}

// NewLimiter returns a Limiter that logs to log.
func NewLimiter(log logrus.FieldLogger) *Limiter {
	return &Limiter{log: log, keys: map[string]*keyState{}, now: time.Now}
}

// Warn logs message and err as a warning, unless a line with the same key was logged less than minInterval ago. message
// should be constant; err may be nil. Field topic holds the key. Field suppressed holds the number of lines with this key
// that were suppressed since the last logged one; it is absent if there were none.
func (l *Limiter) Warn(key, message string, err error) { l.WarnFields(key, message, err, nil) }

// WarnFields is Warn with further fields.
func (l *Limiter) WarnFields(key, message string, err error, fields logrus.Fields) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	last := l.keys[key]
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
	l.startInterval(key, now)
	entry.Warn(message)
}

// startInterval records that a line with the key is logged at now. The caller holds mu.
func (l *Limiter) startInterval(key string, now time.Time) {
	if len(l.keys) >= maxKeys {
		clear(l.keys)
	}
	l.keys[key] = &keyState{loggedAt: now}
}
