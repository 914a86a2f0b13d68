package server

import (
	"fmt"
	"testing"
	"time"

	"falldeal/admission"
	"falldeal/internal/agent"

	"github.com/stretchr/testify/require"
)

// floodServer is a server whose client sends the next request of one class once the last one was answered.
type floodServer struct {
	*simulatedServer
	connection *countingConnection
	sent       int
}

func newFloodServer(t *testing.T) *floodServer {
	server := newSimulatedServer(t)
	flood := &floodServer{simulatedServer: server, connection: &countingConnection{server: server.Server}}
	server.ConnectionOpened(flood.connection)
	server.turn()
	return flood
}

// send submits a request with the given ID, and lets the controller decide on it. It returns the request if that is still active.
func (f *floodServer) send(id string, timeout time.Duration) *activeRequest {
	f.sent++
	attempt := Attempt{ID: id, Class: "hires-crop", ArrivedAt: time.Duration(f.time.UnixNano()), Timeout: timeout, MemoryKB: 1}
	f.Submit(f.connection, uint32(f.sent), attempt) //nolint:gosec // far below the limit
	f.advance(10 * time.Microsecond)
	return f.requests.byAttemptID[id]
}

// Clients that send the next request as soon as one is rejected must not make the table of IDs grow with their rate. It was
// bounded by a time only, and took the server over its memory.
func TestIDsOfRejectedRequestsAreBounded(t *testing.T) {
	server := newFloodServer(t)
	const requests = 10 * maxRecentIDs
	for i := range requests {
		require.Nil(t, server.send(fmt.Sprintf("%016x", i), time.Millisecond))
	}
	require.Equal(t, requests, server.connection.answers)
	require.Zero(t, server.stats.Runs)
	require.LessOrEqual(t, server.completed.size(), 2*maxRecentIDs)

	// A copy of a recent request is still recognized.
	server.send(fmt.Sprintf("%016x", requests-1), time.Millisecond)
	require.EqualValues(t, 1, server.stats.Invalid)
}

// Requests that the agent rejects never ran. Their IDs must not be kept like those of requests that ran.
func TestIDsOfRunsThatNeverStartedAreBounded(t *testing.T) {
	server := newFloodServer(t)
	for i := range 3 * maxRecentIDs {
		id := fmt.Sprintf("%016x", i)
		require.NotNil(t, server.send(id, time.Second))
		server.handleCommandRejected(agent.CommandRejection{Command: agent.CommandLaunch, RequestID: id})
		server.turn()
	}
	require.EqualValues(t, 3*maxRecentIDs, server.stats.Runs)
	require.Zero(t, server.completed.ran.size())
	require.LessOrEqual(t, server.completed.size(), 2*maxRecentIDs)
}

// The ID of a request that was run must be known while a copy of it is valid, however many requests are rejected
// until then. If there is no room for another ID, a request must be rejected, and not run with a copy that might run as well.
func TestIDsOfRunsAreKeptDuringFlood(t *testing.T) {
	server := newFloodServer(t)
	ran := server.send("aa", time.Second)
	require.True(t, ran.running())
	server.completeRun(ran, admission.OutcomeOK, nil)
	for i := range 3 * maxRecentIDs {
		server.send(fmt.Sprintf("%016x", i), time.Millisecond)
	}
	server.send("aa", time.Second)
	require.EqualValues(t, 1, server.stats.Invalid)
	require.EqualValues(t, 1, server.stats.Runs)

	server.completed.maxRan = server.completed.ran.size()
	answers := server.connection.answers
	require.Nil(t, server.send("bb", time.Second))
	require.Equal(t, answers+1, server.connection.answers)
	require.EqualValues(t, 1, server.stats.Runs)
	rejected := server.stats.Class("hires-crop").Rejected
	require.EqualValues(t, 3*maxRecentIDs+1, rejected)

	server.advance(2 * server.config.maxArrivalAge())
	require.Nil(t, server.send("cc", time.Second))
	server.advance(2 * server.config.maxArrivalAge())
	server.completed.maxRan = 1
	require.NotNil(t, server.send("dd", time.Second), "room again once no copy can be valid any more")
}
