// Package logging keeps log lines that repeat from filling the log.
package logging

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	every = 5 * time.Second // least time between two lines under one key
	most  = 256             // keys remembered; past that all are forgotten at once
)

// Limiter passes one line a key on to a logger, then counts instead for some time.
type Limiter struct {
	log  logrus.FieldLogger
	mu   sync.Mutex
	seen map[string]*seen
	now  func() time.Time
}

type seen struct {
	at     time.Time
	missed int
}

// NewLimiter returns a Limiter before log.
func NewLimiter(log logrus.FieldLogger) *Limiter {
	return &Limiter{log: log, seen: map[string]*seen{}, now: time.Now}
}

// Warn logs text and err, unless a line under the same key went out a short while ago. The next
// line that goes out tells how many did not.
func (l *Limiter) Warn(key, text string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	s := l.seen[key]
	if s != nil && now.Sub(s.at) < every {
		s.missed++
		return
	}
	entry := l.log.WithField("about", key)
	if s != nil && s.missed > 0 {
		entry = entry.WithField("not_logged", s.missed)
	}
	if err != nil {
		entry = entry.WithError(err)
	}
	if len(l.seen) >= most {
		clear(l.seen)
	}
	l.seen[key] = &seen{at: now}
	entry.Warn(text)
}
