package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Before the agent is up nothing can be run: requests are rejected, and health checks fail.
func TestBeforeAgentIsUp(t *testing.T) {
	server, runPosted := newIdleServer(t)
	conn := &recordingConnection{}
	server.ConnectionOpened(conn)
	server.Submit(conn, 1, Attempt{ID: "ab", Class: "preview", ArrivedAt: server.clock.now})
	server.HealthCheck(conn, 2, true)
	runPosted()
	require.Equal(t, []any{Rejected, Unhealthy}, conn.recorded)
	require.Empty(t, server.requests.byID)
	server.Drain()
	runPosted()
	require.Empty(t, server.admission.events) // they would keep the loop busy
	require.Equal(t, []any{Rejected, Unhealthy, "closing"}, conn.recorded)
}

// Implausible times are rejected as invalid: the controller would take an old arrival for hours spent unread and fail
// health checks, and one ahead of the clock would extend the window of an idempotency key.
func TestImplausibleTimes(t *testing.T) {
	server, runPosted := newIdleServer(t)
	startAgent(server)
	conn := &recordingConnection{}
	server.ConnectionOpened(conn)
	now, deadline := server.clock.now, server.config.Settings.Classes[0].Deadline
	for i, attempt := range []Attempt{
		{ArrivedAt: now + maxClockAhead + time.Second, Timeout: time.Second},
		{ArrivedAt: 0, Timeout: time.Second},
		{ArrivedAt: now - deadline - arrivalSlack - time.Second, Timeout: time.Second},
		{ArrivedAt: now, Timeout: deadline + 1},
	} {
		attempt.ID, attempt.Class, attempt.MemoryKB = "ab", "preview", 1
		server.Submit(conn, uint32(i), attempt)
		runPosted()
	}
	require.Equal(t, []any{Invalid, Invalid, Invalid, Invalid}, conn.recorded)
	require.Empty(t, server.requests.byID)
}
