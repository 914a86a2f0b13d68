package fakes

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"

	"falldeal/lab/workerpool"

	"github.com/stretchr/testify/require"
)

// call makes one call to a store and returns the status of the reply.
func call(t *testing.T, store *Store, id string, timeout time.Duration) (status string) {
	t.Helper()
	local, remote := net.Pipe()
	go store.handleConn(remote)
	t.Cleanup(func() { local.Close() })
	require.NoError(t, local.SetDeadline(time.Now().Add(time.Minute)))
	_, err := fmt.Fprintf(local, "DROP earlier\r\nCALL %s %d 4\r\nbody\r\n", id, timeout.Milliseconds())
	require.NoError(t, err)
	line, err := bufio.NewReader(local).ReadString('\n')
	require.NoError(t, err)
	var repliedID string
	_, err = fmt.Sscanf(line, "%s %s", &repliedID, &status)
	require.NoError(t, err)
	require.Equal(t, id, repliedID)
	return status
}

func testStore(crash workerpool.CrashModel) *Store {
	started := time.Now()
	now := func() time.Duration { return time.Since(started) }
	curve := workerpool.Curve{Workers: 1, Speed: 1, Knee: 9}
	return &Store{Now: now, Slots: workerpool.NewPool(curve, now()), CallWork: time.Millisecond, Crash: crash}
}

// Guards against a fake store whose faults differ from those of the protocol: a call must be answered, time out if
// the store is unresponsive, and fail while the store is down after a crash.
func TestStoreAnswersTimesOutAndCrashes(t *testing.T) {
	require.Equal(t, "OK", call(t, &Store{}, "a", time.Second))

	store := testStore(workerpool.CrashModel{})
	require.Equal(t, "OK", call(t, store, "a", time.Second))
	store.SetUnresponsive(true)
	begun := time.Now()
	require.Equal(t, "LATE", call(t, store, "b", 50*time.Millisecond))
	require.GreaterOrEqual(t, time.Since(begun), 50*time.Millisecond)
	store.SetUnresponsive(false)
	require.Equal(t, "OK", call(t, store, "c", time.Second))

	crashing := testStore(workerpool.CrashModel{MaxInFlight: 1, Downtime: time.Hour})
	crashing.CallWork = time.Hour
	crashing.startCall("a", func(callStatus) {})
	require.Equal(t, "ERR", call(t, crashing, "b", time.Second), "the call under which it crashes")
	require.Equal(t, "ERR", call(t, crashing, "c", time.Second), "while it is down")
}

// Only a server that reports that it accepts work must be listed.
func TestAnnounceServiceListsAcceptingServers(t *testing.T) {
	conn, err := (&net.ListenConfig{}).ListenPacket(t.Context(), "udp", "127.0.0.1:0")
	require.NoError(t, err)
	service := &AnnounceService{}
	served := make(chan error, 1)
	go func() { served <- service.Serve(conn) }()
	client, err := (&net.Dialer{}).DialContext(t.Context(), "udp", conn.LocalAddr().String())
	require.NoError(t, err)
	defer client.Close()
	for _, report := range []string{"noise", "announce n2 true", "announce n1 true", "announce n3 false"} {
		_, err = client.Write([]byte(report))
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return len(service.AcceptingServers()) == 2 }, time.Minute, time.Millisecond)
	require.Equal(t, []string{"n1", "n2"}, service.AcceptingServers())
	require.NoError(t, conn.Close())
	require.ErrorIs(t, <-served, net.ErrClosed)
}

// A dial to an unresponsive listener must time out. It must neither succeed nor be refused.
func TestDialOfUnresponsiveListenerTimesOut(t *testing.T) {
	listener, err := NewUnresponsiveListener()
	require.NoError(t, err)
	defer listener.Close()
	_, err = (&net.Dialer{Timeout: 50 * time.Millisecond}).DialContext(t.Context(), "tcp", listener.Addr)
	var netErr net.Error
	require.ErrorAs(t, err, &netErr)
	require.True(t, netErr.Timeout(), "%v", err)
}
