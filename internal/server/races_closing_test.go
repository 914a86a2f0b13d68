package server

import (
	"slices"
	"testing"

	"falldeal/admission"

	"github.com/stretchr/testify/require"
)

// closingTurn runs the part of a turn that closes connections.
func closingTurn(server *Server, handleInbox func()) {
	handleInbox()
	server.step()
	server.advanceClosing()
}

// A request may arrive on a connection that is being closed: before its input is drained, between the drain and the close,
// or while another request waits for its answer. All requests must be answered before the connection closes.
func TestRequestsDuringCloseAreAnswered(t *testing.T) {
	const pause, closed = "pause", "close" // as recordingConnection records them
	for name, testCase := range map[string]struct {
		arrivals []string // when a request arrives
		want     []any
	}{
		"nothing": {nil, []any{pause, "end", closed}},
		"before":  {[]string{"before"}, []any{pause, "closing", "resume", Served, pause, "end", closed}},
		"between": {[]string{"between"}, []any{pause, "end", "closing", "resume", Served, pause, "end", closed}},
		"while in use": {
			[]string{"before", "after"},
			[]any{pause, "closing", "resume", Served, Served, pause, "end", closed},
		},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, testCase.want, closeWithArrivals(t, testCase.arrivals))
		})
	}
}

// closeWithArrivals closes a connection on which requests arrive at the given times, and returns the calls of its methods.
func closeWithArrivals(t *testing.T, arrivals []string) []any {
	t.Helper()
	server, conn, handleInbox := newReadyServer(t)
	calls := uint32(0)
	arrive := func(when string) {
		if !slices.Contains(arrivals, when) {
			return
		}
		calls++
		server.Submit(conn, calls, newAttempt(server, when, "preview"))
	}
	turn := func() { closingTurn(server, handleInbox) }
	betweenReads := slices.Contains(arrivals, "between")
	server.beginClose(server.connections.get(conn))
	turn()
	arrive("before")
	if betweenReads {
		conn.failedCloses = 1
	}
	server.ReadEnded(conn, ReadPaused)
	turn()
	if betweenReads {
		arrive("between")
		server.ReadEnded(conn, ReadPaused)
		turn()
	}
	arrive("after")
	turn()
	for _, when := range arrivals {
		server.completeRun(server.requests.byAttemptID[when], admission.OutcomeOK, nil)
	}
	turn()
	if len(arrivals) > 0 {
		server.ReadEnded(conn, ReadPaused)
		turn()
	}
	require.True(t, server.connections.empty())
	return conn.recorded
}

// A connection that is being closed must close after a bounded number of reads, even if its input never ends.
func TestEndlessInputDoesNotPreventClose(t *testing.T) {
	server, conn, handleInbox := newReadyServer(t)
	turn := func() { closingTurn(server, handleInbox) }
	server.beginClose(server.connections.get(conn))
	turn()
	conn.failedCloses = 100
	for range maxDrainReads {
		require.False(t, server.connections.empty())
		server.ReadEnded(conn, ReadPaused)
		turn()
	}
	server.ReadEnded(conn, ReadPaused)
	turn()
	require.Equal(t, "close", conn.recorded[len(conn.recorded)-1])
	require.Len(t, conn.recorded, maxDrainReads+2)
	require.True(t, server.connections.empty())
}
