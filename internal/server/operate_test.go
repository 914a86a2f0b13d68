package server

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newRunningServer returns a server whose loop runs until the end of the test.
func newRunningServer(t *testing.T) *Server {
	server, _ := newServerWithoutLoop(t)
	ctx, cancel := context.WithCancel(context.Background())
	server.listeners.open()
	go server.loop(ctx)
	t.Cleanup(func() { cancel(); <-server.inbox.closed })
	return server
}

// While an operator has deregistered the server, health checks must fail, but requests that still arrive must be served.
// Deregistering must also work before the agent is up.
func TestDeregister(t *testing.T) {
	server := newRunningServer(t)
	ctx := context.Background()
	conn := &recordingConnection{}
	server.ConnectionOpened(conn)
	health := func() any {
		for range 2 { // the controller decides at the end of a turn
			_, err := query(ctx, server, func() int { return 0 })
			require.NoError(t, err)
		}
		server.HealthCheck(conn, 1, false)
		last, err := query(ctx, server, func() any { return conn.recorded[len(conn.recorded)-1] })
		require.NoError(t, err)
		return last
	}
	ready := func() bool {
		ready, err := server.Ready(ctx)
		require.NoError(t, err)
		return ready
	}
	require.False(t, ready())
	require.NoError(t, server.Deregister(ctx))
	server.post(func() { startAgent(server) })
	require.Equal(t, Unhealthy, health())
	require.False(t, ready())
	require.NoError(t, server.Reregister(ctx))
	require.Equal(t, Healthy, health())
	require.True(t, ready())
	require.NoError(t, server.Deregister(ctx))
	require.Equal(t, Unhealthy, health())
	server.Submit(conn, 2, Attempt{
		ID:        "ab",
		Class:     "preview",
		ArrivedAt: time.Duration(time.Now().UnixNano()),
		Timeout:   time.Second,
		MemoryKB:  1,
	})
	require.Equal(t, Unhealthy, health())
	metrics, err := server.AppendMetrics(ctx, nil)
	require.NoError(t, err)
	require.Contains(t, string(metrics), "app.backend_calls:1|c\napp.inflight:1|g\n")

	// A process that drains can't be registered again.
	server.Drain()
	require.ErrorIs(t, server.Reregister(ctx), errDraining)
	require.False(t, ready())
}

// Operators must get an error, rather than wait forever, while the loop does not respond.
func TestStalledLoopIsReportedToOperators(t *testing.T) {
	server, _ := newServerWithoutLoop(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := server.Ready(ctx)
	require.ErrorIs(t, err, context.Canceled)
	require.ErrorContains(t, err, "event loop does not respond")
	_, err = server.AppendMetrics(ctx, nil)
	require.ErrorIs(t, err, context.Canceled)
	require.ErrorIs(t, server.Deregister(ctx), context.Canceled)
}
