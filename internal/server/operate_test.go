package server

import (
	"context"
	"testing"
	"time"

	"falldeal/internal/agent"

	"github.com/stretchr/testify/require"
)

// newRunningServer lets the loop of an idle server take its turns.
func newRunningServer(t *testing.T) *Server {
	server, _ := newIdleServer(t)
	ctx, cancel := context.WithCancel(context.Background())
	server.listeners.open()
	go server.loop(ctx)
	t.Cleanup(func() { cancel(); <-server.inbox.closed })
	return server
}

// Front ends that an operator sends away see bad health checks until they are asked back, while the requests
// that still come are served. It holds for a server whose agent is not up yet, too.
func TestDeregister(t *testing.T) {
	server := newRunningServer(t)
	ctx := context.Background()
	conn := &recordingConnection{}
	server.ConnectionOpened(conn)
	health := func() any {
		for range 2 { // what was asked for is decided by the end of a turn
			_, err := query(ctx, server, func() int { return 0 })
			require.NoError(t, err)
		}
		server.HealthCheck(conn, 1, false)
		last, err := query(ctx, server, func() any { return conn.received[len(conn.received)-1] })
		require.NoError(t, err)
		return last
	}
	ready := func() bool {
		is, err := server.Ready(ctx)
		require.NoError(t, err)
		return is
	}
	require.False(t, ready())
	require.NoError(t, server.Deregister(ctx))
	server.post(func() { server.handleHandshake(agent.Notification{Kind: agent.Handshake, Result: agent.Steady}) })
	require.Equal(t, Unhealthy, health())
	require.False(t, ready())
	require.NoError(t, server.Reregister(ctx))
	require.Equal(t, Healthy, health())
	require.True(t, ready())
	require.NoError(t, server.Deregister(ctx))
	require.Equal(t, Unhealthy, health())
	server.Submit(conn, 2, Attempt{ID: "ab", Class: "preview", ArrivedAt: time.Duration(time.Now().UnixNano()), Timeout: time.Second, MemoryKB: 1})
	require.Equal(t, Unhealthy, health())
	figures, err := server.AppendMetrics(ctx, nil)
	require.NoError(t, err)
	require.Contains(t, string(figures), "app.backend_calls:1|c\napp.inflight:1|g\n")

	// A process that is told to leave does not come back.
	server.Drain()
	require.ErrorIs(t, server.Reregister(ctx), errDraining)
	require.False(t, ready())
}
