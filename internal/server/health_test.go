package server

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A deep health check must be passed to the agent only if the controller leaves the answer open.
func TestDeepCheckAsksAgentOnlyIfLeftOpen(t *testing.T) {
	server, handleInbox := newServerWithoutLoop(t)
	conn := &recordingConnection{}
	server.ConnectionOpened(conn)
	server.health.healthy, server.health.cached = true, true
	server.HealthCheck(conn, 1, true)
	handleInbox()
	require.Equal(t, []any{Healthy}, conn.recorded)
	server.health.cached = false
	server.HealthCheck(conn, 2, false)
	server.HealthCheck(conn, 3, true) // there is no link to the agent
	handleInbox()
	require.Equal(t, []any{Healthy, Healthy, Unhealthy}, conn.recorded)
	server.health.deepChecks["x"] = healthCheck{conn, 4}
	server.completeDeepCheck("x", true)
	server.completeDeepCheck("x", true) // the timeout, after the answer
	require.Equal(t, []any{Healthy, Healthy, Unhealthy, Healthy}, conn.recorded)
}
