package writequeue

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// Messages that were queued before Close must be written. Otherwise the last answers of a drain are lost.
func TestCloseWritesQueuedMessages(t *testing.T) {
	local, remote := net.Pipe()
	queue := New(local, 4)
	for _, s := range []string{"a", "b", "c"} {
		queue.Send([]byte(s))
	}
	queue.Close()
	queue.Close()
	done := make(chan error, 1)
	go func() { done <- queue.Run() }()
	got, err := io.ReadAll(remote)
	require.NoError(t, err)
	require.Equal(t, "abc", string(got))
	require.NoError(t, <-done)
}

// Send must not block if the peer does not read; the connection is closed instead.
func TestPeerThatDoesNotReadIsDisconnected(t *testing.T) {
	local, remote := net.Pipe()
	queue := New(local, 4)
	done := make(chan error, 1)
	go func() { done <- queue.Run() }()
	for range 100 {
		queue.Send(make([]byte, 4<<10))
	}
	require.Error(t, <-done)
	_, err := remote.Write([]byte("x"))
	require.Error(t, err)
}
