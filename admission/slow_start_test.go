package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The speed of a cold server rises linearly to 1. Estimates never start at 0, and a warm server starts at 1.
func TestSlowStartSpeedRisesLinearly(t *testing.T) {
	cold := slowStart{warmingUp: true, initialRatio: 0.2, duration: 10 * time.Second, startedAt: time.Second}
	for _, test := range []struct {
		at   time.Duration
		want float64
	}{{time.Second, 0.2}, {6 * time.Second, 0.6}, {11 * time.Second, 1}, {time.Hour, 1}} {
		require.InDelta(t, test.want, cold.speedRatio(test.at), 1e-12, test.at)
	}
	require.InDelta(t, 0.2, cold.assumedInitialRatio(), 0)
	cold.initialRatio = 0
	require.InDelta(t, minSlowStartSpeed, cold.assumedInitialRatio(), 0)
	warm := slowStart{initialRatio: 0.2, duration: 10 * time.Second}
	require.InDelta(t, 1, warm.speedRatio(0), 0)
	require.InDelta(t, 1, warm.assumedInitialRatio(), 0)
}
