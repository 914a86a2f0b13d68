package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Nothing can be run before the agent is up: requests must be rejected, and health checks must fail.
func TestRequestsBeforeAgentIsUpAreRejected(t *testing.T) {
	server, handleInbox := newServerWithoutLoop(t)
	conn := &recordingConnection{}
	server.ConnectionOpened(conn)
	server.Submit(conn, 1, Attempt{ID: "ab", Class: "preview", ArrivedAt: server.clock.now})
	server.HealthCheck(conn, 2, true)
	handleInbox()
	require.Equal(t, []any{Rejected, Unhealthy}, conn.recorded)
	require.Empty(t, server.requests.byID)
	server.Drain()
	handleInbox()
	require.Empty(t, server.admission.events) // events without a controller would keep the loop busy
	require.Equal(t, []any{Rejected, Unhealthy, "closing"}, conn.recorded)
}

// Requests with implausible times must be invalid. The controller would take an old arrival time for hours in which the
// request was not read, and fail health checks. An arrival time ahead of the clock would extend the window of an
// idempotency key.
func TestImplausibleTimesAreInvalid(t *testing.T) {
	server, handleInbox := newServerWithoutLoop(t)
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
		handleInbox()
	}
	require.Equal(t, []any{Invalid, Invalid, Invalid, Invalid}, conn.recorded)
	require.Empty(t, server.requests.byID)
}
