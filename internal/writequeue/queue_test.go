package writequeue

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// Close comes after what was queued, so that the last answers of a drain go out.
func TestCloseWritesWhatWaits(t *testing.T) {
	here, there := net.Pipe()
	o := New(here, 4)
	for _, s := range []string{"a", "b", "c"} {
		o.Send([]byte(s))
	}
	o.Close()
	o.Close()
	over := make(chan error, 1)
	go func() { over <- o.Run() }()
	got, err := io.ReadAll(there)
	require.NoError(t, err)
	require.Equal(t, "abc", string(got))
	require.NoError(t, <-over)
}

// A peer that does not read loses its connection; queueing for it never blocks.
func TestDeafPeer(t *testing.T) {
	here, there := net.Pipe()
	o := New(here, 4)
	over := make(chan error, 1)
	go func() { over <- o.Run() }()
	for range 100 {
		o.Send(make([]byte, 4<<10))
	}
	require.Error(t, <-over)
	_, err := there.Write([]byte("x"))
	require.Error(t, err)
}
