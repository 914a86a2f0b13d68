package server

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Each state must have a distinct name, and a value that is no state must be called unknown.
func TestStateNamesAreDistinct(t *testing.T) {
	for _, testCase := range []struct {
		states  []fmt.Stringer
		unknown fmt.Stringer
	}{
		{[]fmt.Stringer{requestQueued, requestClaiming, requestRunning}, requestRunning + 1},
		{[]fmt.Stringer{entryPending, entryRunning, entryCompleted}, entryCompleted + 1},
		{[]fmt.Stringer{drainNotStarted, drainAccepting, drainListenersClosed}, drainListenersClosed + 1},
		{[]fmt.Stringer{silentConnection, notifiedConnection, activeConnection}, connectionKinds},
		{[]fmt.Stringer{Served, Rejected, Failed, Invalid, Healthy, Unhealthy}, Unhealthy + 1},
		{[]fmt.Stringer{Disconnected, ReadTimeout, MalformedInput, ReadPaused}, ReadPaused + 1},
		{[]fmt.Stringer{closeStateOpen, closeStateDraining, closeStatePaused, closeStateResumed, closeStateUnreadable},
			closeStateUnreadable + 1},
	} {
		names := map[string]bool{"unknown": true}
		for _, state := range testCase.states {
			require.False(t, names[state.String()], "%T %v", state, state)
			names[state.String()] = true
		}
		require.Equal(t, "unknown", testCase.unknown.String())
	}
}
