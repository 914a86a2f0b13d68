package logging

import (
	"errors"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
)

// A peer that keeps failing must not fill the log, and the number of suppressed lines must be logged. Many different keys must
// not use unbounded memory.
func TestWarnCountsSuppressedLines(t *testing.T) {
	log, hook := test.NewNullLogger()
	log.SetLevel(logrus.WarnLevel)
	limiter := NewLimiter(log)
	now := time.Unix(100, 0)
	limiter.now = func() time.Time { return now }
	for range 10 {
		limiter.Warn("store", "broke", errors.New("reset"))
	}
	limiter.Warn("agent", "broke", nil)
	require.Len(t, hook.Entries, 2)
	now = now.Add(minInterval)
	limiter.Warn("store", "broke", nil)
	require.Equal(t, 9, hook.LastEntry().Data["suppressed"])
	for i := range 2 * maxKeys {
		limiter.Warn(string(rune('a'+i)), "one of many", nil)
	}
	require.LessOrEqual(t, len(limiter.keys), maxKeys)
}
