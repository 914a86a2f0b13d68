package msgpackrpc

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var readStates = []readState{receivingMessage, awaitingMessage, draining, paused, ended}

// Each operation must change the states as documented at readState, and no other.
func TestReadStateTransitions(t *testing.T) {
	for _, test := range []struct {
		name string
		do   func(t *testing.T, in *input)
		to   map[readState]readState // only the states that change
	}{
		{"message begins", func(t *testing.T, in *input) { require.NoError(t, in.setPartial(true)) },
			map[readState]readState{awaitingMessage: receivingMessage}},
		{"message ends", func(t *testing.T, in *input) { require.NoError(t, in.setPartial(false)) },
			map[readState]readState{receivingMessage: awaitingMessage}},
		{"pause", func(_ *testing.T, in *input) { in.pause() },
			map[readState]readState{receivingMessage: draining, awaitingMessage: draining}},
		{"resume", func(_ *testing.T, in *input) { in.resume() },
			map[readState]readState{draining: awaitingMessage, paused: awaitingMessage}},
		{"drain again", func(_ *testing.T, in *input) { in.drainMore() },
			map[readState]readState{receivingMessage: draining, awaitingMessage: draining, paused: draining}},
		{"reader pauses", func(_ *testing.T, in *input) { in.stop(paused) },
			map[readState]readState{receivingMessage: paused, awaitingMessage: paused, draining: paused}},
		{"reader ends", func(_ *testing.T, in *input) { in.stop(ended) },
			map[readState]readState{receivingMessage: ended, awaitingMessage: ended, draining: ended}},
		{"reader restarts", func(t *testing.T, in *input) { require.NoError(t, in.restart()) }, nil},
	} {
		for _, from := range readStates {
			local, _ := loopbackConn(t)
			local.input.state.state.Store(int32(from))
			test.do(t, &local.input)
			want, changes := test.to[from]
			if !changes {
				want = from
			}
			require.Equal(t, want, local.input.state.current(), "%s while %v", test.name, from)
		}
	}
}

// Only the first message, and a message that has begun, have a time limit. Draining must not wait at all.
func TestReadDeadlines(t *testing.T) {
	now := time.Unix(1000, 0)
	for state, want := range map[readState]time.Time{
		receivingMessage: now.Add(messageTimeout),
		awaitingMessage:  {},
		draining:         expiredDeadline,
		paused:           {},
		ended:            {},
	} {
		require.Equal(t, want, state.readDeadline(now), state)
	}
}

// Each state must have a distinct name.
func TestReadStateNames(t *testing.T) {
	names := map[string]bool{}
	for _, state := range readStates {
		names[state.String()] = true
	}
	require.Len(t, names, len(readStates))
	require.Equal(t, "unknown", (ended + 1).String())
}
