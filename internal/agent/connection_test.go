package agent

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"falldeal/internal/writequeue"

	"github.com/stretchr/testify/require"
)

func TestConnectionStateNames(t *testing.T) {
	require.Equal(t, "disconnected synchronizing ready connectionState(3)",
		fmt.Sprint(disconnected, " ", synchronizing, " ", ready, " ", ready+1))
	require.Equal(t, "pending contiguous gap replayState(3)",
		fmt.Sprint(replayPending, " ", replayContiguous, " ", replayGap, " ", replayGap+1))
}

// When a connection counts as silent depends on its state and on the number of unanswered samples.
func TestSilenceLimits(t *testing.T) {
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

// An agent counts as restarted only if it is much younger than the known incarnation would be by now.
func TestIncarnationMatchesByAge(t *testing.T) {
	require.False(t, incarnation{}.isKnown())
	known := newIncarnation(time.Hour)
	require.True(t, known.isKnown())
	require.True(t, known.matches(time.Hour))
	require.True(t, known.matches(time.Hour/2)) // clocks that differ widely
	require.False(t, known.matches(time.Hour/2-2*ageTolerance))
	require.False(t, known.matches(0))
	require.True(t, newIncarnation(time.Second).matches(0)) // too young to be distinguished
}

// requireClosed runs a queue until its messages are written, and requires that the queue was closed before.
func requireClosed(t *testing.T, queue *writequeue.Queue, remote net.Conn) {
	t.Helper()
	written := make(chan error, 1)
	go func() {
		_, err := io.Copy(io.Discard, remote)
		written <- err
	}()
	require.NoError(t, queue.Run())
	require.NoError(t, <-written)
}

// A connection to an address that has been replaced must be closed and not counted. A connection that a newer one has
// replaced must be closed, and its notifications and its end must be ignored.
func TestReplacedConnectionIsIgnored(t *testing.T) {
	link := newGoldenLink()
	var queues [3]*writequeue.Queue
	var remotes [3]net.Conn
	for i := range queues {
		local, remote := net.Pipe()
		queues[i], remotes[i] = writequeue.New(local, writeQueueSize), remote
	}
	link.handleOpened("agent:2", queues[0])
	require.Equal(t, disconnected, link.state())
	require.Zero(t, link.ConnectionsOpened())
	requireClosed(t, queues[0], remotes[0])

	link.handleOpened(goldenAddr, queues[1])
	link.handleOpened(goldenAddr, queues[2])
	requireClosed(t, queues[1], remotes[1])
	link.handleNotification(queues[1], Handshake{State: Steady})
	require.Zero(t, link.current.unansweredSamples)
	link.handleClosed(queues[1])
	require.Equal(t, synchronizing, link.state())
	link.handleClosed(queues[2])
	require.Equal(t, disconnected, link.state())
}
