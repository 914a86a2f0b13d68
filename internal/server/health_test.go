package server

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A deep health check asks the agent only where the controller leaves the answer open.
func TestDeepCheck(t *testing.T) {
	server, runPosted := newIdleServer(t)
	conn := &recordingConnection{}
	server.ConnectionOpened(conn)
	server.health.healthy, server.health.cached = true, true
	server.HealthCheck(conn, 1, true)
	runPosted()
	require.Equal(t, []any{Healthy}, conn.recorded)
	server.health.cached = false
	server.HealthCheck(conn, 2, false)
	server.HealthCheck(conn, 3, true) // there is no link to the agent
	runPosted()
	require.Equal(t, []any{Healthy, Healthy, Unhealthy}, conn.recorded)
	server.health.deepChecks["x"] = healthCheck{conn, 4}
	server.completeDeepCheck("x", true)
	server.completeDeepCheck("x", true) // the timeout, which comes too late
	require.Equal(t, []any{Healthy, Healthy, Unhealthy, Healthy}, conn.recorded)
}
