package logging

import (
	"errors"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
)

// A peer that fails all the time must not fill the log, and what was left out must show.
func TestRepeatsAreCounted(t *testing.T) {
	log, hook := test.NewNullLogger()
	log.SetLevel(logrus.WarnLevel)
	l := NewLimiter(log)
	now := time.Unix(100, 0)
	l.now = func() time.Time { return now }
	for range 10 {
		l.Warn("store", "broke", errors.New("reset"))
	}
	l.Warn("agent", "broke", nil)
	require.Len(t, hook.Entries, 2)
	now = now.Add(every)
	l.Warn("store", "broke", nil)
	require.Equal(t, 9, hook.LastEntry().Data["not_logged"])
	for i := range 2 * most {
		l.Warn(string(rune('a'+i)), "one of many", nil)
	}
	require.LessOrEqual(t, len(l.seen), most)
}
