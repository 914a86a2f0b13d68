package server

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// A full table must evict silent connections first, then those whose front ends were notified of closing, then the one that
// has been idle for longest, and never one with an open request.
func TestEvictionOrder(t *testing.T) {
	server, handleInbox := newServerWithoutLoop(t)
	server.config.Limits.FileDescriptors = 2 * (reservedConnections + 4)
	var busy, quiet, silent, notified recordingConnection
	for _, conn := range []*recordingConnection{&busy, &quiet, &silent, &notified} {
		server.ConnectionOpened(conn)
	}
	handleInbox()
	server.connections.openRequest(server.connections.get(&busy), 1, &activeRequest{})
	server.HealthCheck(&quiet, 1, false)
	server.HealthCheck(&notified, 1, false)
	handleInbox()
	server.clock.now++
	server.notifyClosing(server.connections.get(&notified))
	server.connections.touch(server.connections.get(&silent), server.clock.now) // used last of all
	openBusy := func() *recordingConnection {
		conn := &recordingConnection{}
		server.ConnectionOpened(conn)
		handleInbox()
		if state := server.connections.get(conn); state != nil {
			server.connections.openRequest(state, 1, &activeRequest{})
		}
		return conn
	}
	openBusy()
	require.Equal(t, []any{"pause"}, silent.recorded)
	openBusy()
	require.Equal(t, []any{Unhealthy, "closing", "pause"}, notified.recorded)
	openBusy()
	require.Equal(t, []any{Unhealthy, "pause"}, quiet.recorded)
	require.Equal(t, []any{"pause"}, openBusy().recorded)
	require.Empty(t, busy.recorded)
	require.Equal(t, 4, server.connections.size())
}

// When all front ends of a fleet reconnect at once, there are more connections than the limit. Each new one must evict an
// idle one; those with an open request must stay, and if all are busy, the new one must be closed.
func TestAllReconnectAtOnce(t *testing.T) {
	server, handleInbox := newServerWithoutLoop(t)
	limit := server.maxConnections()
	var busy []*recordingConnection
	for i := range limit {
		conn := &recordingConnection{}
		server.ConnectionOpened(conn)
		handleInbox()
		if i%2 == 0 {
			busy = append(busy, conn)
			server.connections.openRequest(server.connections.get(conn), 1, &activeRequest{})
		}
	}
	closed := 0
	for range 2 * limit {
		conn := &recordingConnection{}
		server.ConnectionOpened(conn)
		handleInbox()
		require.LessOrEqual(t, server.connections.size(), limit)
		if state := server.connections.get(conn); state.closing == closeStateOpen {
			server.connections.openRequest(state, 1, &activeRequest{})
		} else {
			require.Equal(t, []any{"pause"}, conn.recorded)
			closed++
		}
	}
	require.Equal(t, 2*limit-(limit-len(busy)), closed)
	for _, conn := range busy {
		require.Empty(t, conn.recorded)
	}
}

// BenchmarkOpened opens a connection while the table is full.
func BenchmarkOpened(b *testing.B) {
	for _, connections := range []int{10, 150, 500} {
		b.Run(fmt.Sprintf("connections=%d", connections), func(b *testing.B) {
			server, handleInbox := newServerWithoutLoop(b)
			server.config.Limits.FileDescriptors = 2 * (reservedConnections + connections)
			b.ReportAllocs()
			for b.Loop() {
				server.ConnectionOpened(&countingConnection{})
				handleInbox()
			}
		})
	}
}
