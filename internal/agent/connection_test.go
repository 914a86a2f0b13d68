package agent

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestStateNames(t *testing.T) {
	require.Equal(t, "disconnected synchronizing ready connectionState(3)",
		fmt.Sprint(disconnected, " ", synchronizing, " ", ready, " ", ready+1))
	require.Equal(t, "pending contiguous gap replayState(3)",
		fmt.Sprint(replayPending, " ", replayContiguous, " ", replayGap, " ", replayGap+1))
}

// What a connection brings decides, by its state, when it is taken for silent.
func TestSilentConnection(t *testing.T) {
	opened := time.Minute
	for _, test := range []struct {
		state      connectionState
		unanswered int
		silence    time.Duration
		want       bool
	}{
		{synchronizing, 0, handshakeTimeout - 1, false},
		{synchronizing, 0, handshakeTimeout, true},
		{ready, minUnansweredSamples, maxSilence - 1, false},
		{ready, minUnansweredSamples, maxSilence, true},
		{ready, minUnansweredSamples - 1, 100 * maxSilence, false},
	} {
		conn := connection{state: test.state, lastReceived: opened, unansweredSamples: test.unanswered}
		require.Equal(t, test.want, conn.isSilent(opened+test.silence), "%+v", test)
	}
}

// Only an agent that is much younger than the known one would be by now is another.
func TestIncarnation(t *testing.T) {
	require.False(t, incarnation{}.isKnown())
	known := newIncarnation(time.Hour)
	require.True(t, known.isKnown())
	require.True(t, known.matches(time.Hour))
	require.True(t, known.matches(time.Hour/2)) // clocks that run apart by far
	require.False(t, known.matches(time.Hour/2-2*ageTolerance))
	require.False(t, known.matches(0))
	require.True(t, newIncarnation(time.Second).matches(0)) // too young to be told apart
}
