package server

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// A full table evicts silent connections first, then those that were notified of closing, then the one that has been idle for
// longest, and never one with an open request.
func TestFullConnectionTable(t *testing.T) {
	server, runPosted := newIdleServer(t)
	server.config.Limits.FileDescriptors = 2 * (reservedConnections + 4)
	var busy, quiet, silent, notified recordingConnection
	for _, conn := range []*recordingConnection{&busy, &quiet, &silent, &notified} {
		server.ConnectionOpened(conn)
	}
	runPosted()
	server.connections.openRequest(server.connections.get(&busy), 1, &activeRequest{})
	server.HealthCheck(&quiet, 1, false)
	server.HealthCheck(&notified, 1, false)
	runPosted()
	server.clock.now++
	server.notifyClosing(server.connections.get(&notified))
	server.connections.touch(server.connections.get(&silent), server.clock.now) // the latest
	openBusy := func() *recordingConnection {
		conn := &recordingConnection{}
		server.ConnectionOpened(conn)
		runPosted()
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

// All front ends of a fleet reconnect at once, with more connections than the limit. Each new one evicts an idle one;
// those with an open request stay, and where all are busy the new one is closed.
func TestAllReconnectAtOnce(t *testing.T) {
	server, runPosted := newIdleServer(t)
	limit := server.maxConnections()
	var busy []*recordingConnection
	for i := range limit {
		conn := &recordingConnection{}
		server.ConnectionOpened(conn)
		runPosted()
		if i%2 == 0 {
			busy = append(busy, conn)
			server.connections.openRequest(server.connections.get(conn), 1, &activeRequest{})
		}
	}
	closed := 0
	for range 2 * limit {
		conn := &recordingConnection{}
		server.ConnectionOpened(conn)
		runPosted()
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

// BenchmarkOpened is a connection that arrives while the table is full.
func BenchmarkOpened(b *testing.B) {
	for _, connections := range []int{10, 150, 500} {
		b.Run(fmt.Sprintf("connections=%d", connections), func(b *testing.B) {
			server, runPosted := newIdleServer(b)
			server.config.Limits.FileDescriptors = 2 * (reservedConnections + connections)
			b.ReportAllocs()
			for b.Loop() {
				server.ConnectionOpened(&countingConnection{})
				runPosted()
			}
		})
	}
}
