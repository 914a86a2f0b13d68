package server

import (
	"testing"
	"time"

	"falldeal/admission"

	"github.com/stretchr/testify/require"
)

// The body of a request must not be retained until the window of its idempotency key ends: bodies would fill the memory
// within a day. The entry of the key must be dropped after its window.
func TestBodiesAreNotRetained(t *testing.T) {
	server, handleInbox := newServerWithoutLoop(t)
	startAgent(server)
	conn := &recordingConnection{}
	server.ConnectionOpened(conn)
	attempt := attemptWithKey(server, "ab", "k")
	attempt.Timeout, attempt.Body = time.Second, []byte("x")
	server.Submit(conn, 1, attempt)
	handleInbox()
	server.step()
	request := server.requests.byAttemptID["ab"]
	require.True(t, request.running())
	require.Nil(t, request.attempt.Body)
	server.completeRun(request, admission.OutcomeOK, nil)
	require.Empty(t, server.requests.byID)
	require.Equal(t, 1, server.idempotency.size())
	window := server.config.Settings.Classes[2].IdempotencyWindow
	server.clock.now += window + server.config.maxArrivalAge() + windowSlack
	server.deadlines.Sweep(server.clock.now)
	require.Zero(t, server.idempotency.size())
}
