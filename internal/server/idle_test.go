package server

import (
	"testing"
	"time"

	"falldeal/admission"

	"github.com/stretchr/testify/require"
)

// The front ends of idle connections must be notified that they close, and connections that then stay open must be closed;
// busy ones must remain. A server without connections must have no timer for this.
func TestIdleConnectionsAreClosed(t *testing.T) {
	server, handleInbox := newServerWithoutLoop(t)
	conn := &recordingConnection{}
	server.connections.idleTimer.timeout = time.Second
	advance := func(d time.Duration) {
		server.clock.now += d
		server.deadlines.Sweep(server.clock.now)
		server.scheduleIdleCheck()
	}
	server.scheduleIdleCheck()
	_, scheduled := server.deadlines.Next()
	require.False(t, scheduled)
	server.ConnectionOpened(conn)
	handleInbox()
	server.scheduleIdleCheck()
	state := server.connections.get(conn)
	server.connections.openRequest(state, 1, &activeRequest{})
	advance(2 * time.Second)
	advance(0)
	require.Empty(t, conn.recorded)
	server.connections.closeRequest(state, 1)
	advance(minIdleCheckInterval)
	advance(minIdleCheckInterval)
	require.Equal(t, []any{"closing"}, conn.recorded)
	advance(closeGracePeriod - minIdleCheckInterval)
	require.Equal(t, []any{"closing"}, conn.recorded)
	advance(2 * minIdleCheckInterval)
	require.Equal(t, []any{"closing", "pause"}, conn.recorded)
	require.Zero(t, server.connections.size())
	advance(0)
	_, scheduled = server.deadlines.Next()
	require.False(t, scheduled)
}

// A shorter idle timeout must take effect even if the next check was scheduled for much later.
func TestShorterIdleTimeoutTakesEffect(t *testing.T) {
	server, handleInbox := newServerWithoutLoop(t)
	conn := &recordingConnection{}
	server.connections.idleTimer.timeout = time.Hour
	server.ConnectionOpened(conn)
	handleInbox()
	server.scheduleIdleCheck()
	server.dispatch(admission.Action{Kind: admission.ActionIdleTimeout, Duration: time.Second})
	server.scheduleIdleCheck()
	server.clock.now += time.Second
	server.deadlines.Sweep(server.clock.now)
	require.Equal(t, []any{"closing"}, conn.recorded)
}
