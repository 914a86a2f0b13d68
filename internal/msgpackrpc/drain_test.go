package msgpackrpc

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"falldeal/lab/loopback"

	"github.com/stretchr/testify/require"
)

// Replacements in the sample configuration. longStopTimeout rules out that a process ends because of its stop timeout.
// With briefDrainGrace, requests that arrive after the start of a drain are rejected.
var (
	longStopTimeout = []string{`"stop_ms": 3200`, `"stop_ms": 3000000`}
	briefDrainGrace = []string{`"StopSendingWithinUs": 2500000`, `"StopSendingWithinUs": 1`}
)

// A drain answers requests that were read, rejects requests that arrive after the grace period, and ends the server.
func TestDrainAnswersRequestsInFlight(t *testing.T) {
	peers := startServer(t, append([]string{`"stop_ms": 3200`, `"stop_ms": 60000`}, briefDrainGrace...)...)
	client := peers.dial()
	idle := peers.dial()
	runID := client.sendRequest("preview", "x")
	peers.expectCommand("launch", runID)
	peers.server.Drain()
	peers.server.Drain()
	client.expectClosing()
	idle.expectClosing()
	idle.netConn.Close()
	peers.expectNoCommand() // the loop iteration in which the drain began is over; requests read in it are in time
	// The arrival time is in the future, and thus certainly after the start of the drain.
	client.sendRequest("preview", "too late", "at", fmt.Sprint(time.Now().Add(500*time.Millisecond).UnixMilli()))
	client.expectAnswer(2, codeOverloaded)
	peers.agentSends("outcome", runID, "success", []byte("done"))
	client.expectAnswer(1, "done")
	require.Empty(t, peers.commands)
	client.netConn.Close()
	require.NoError(t, await(peers, peers.serverDone, "end of the server"))
	var dialer net.Dialer
	_, err := dialer.DialContext(t.Context(), "tcp", peers.addr)
	require.Error(t, err)
}

// A client that stays connected must not keep the process running past its stop timeout.
func TestDrainEndsAtStopTimeout(t *testing.T) {
	peers := startServer(t, `"stop_ms": 3200`, `"stop_ms": 500`)
	client := peers.dial()
	runID := client.sendRequest("preview", "x")
	peers.expectCommand("launch", runID)
	peers.server.Drain()
	require.Equal(t, methodClosing, client.readMessage()[1])
	client.expectAnswer(1, codeInternal)
	require.NoError(t, await(peers, peers.serverDone, "end of the server"))
	client.expectConnectionEnd()
}

// A drain closes the listener while the kernel has accepted a connection that the server has not, with a request on it.
// That connection used to be reset. The request must be read and rejected.
func TestDrainAnswersConnectionsNotYetAccepted(t *testing.T) {
	t.Parallel()
	for _, acceptedBefore := range []bool{true, false} {
		t.Run(fmt.Sprint("accepted before: ", acceptedBefore), func(t *testing.T) {
			t.Parallel()
			ln := loopback.Listen(t)
			maxConns := 1
			if acceptedBefore {
				maxConns = 2
			}
			peers := startServerWithLimit(t, ln, "", maxConns, slices.Concat(longStopTimeout, briefDrainGrace)...)
			peers.handshake <- "steady"
			peers.expectCommand("subscribe", "")
			peers.expectNoCommand() // the handshake is done
			client := peers.dial()
			runID := client.sendRequest("preview", "x")
			peers.expectCommand("launch", runID) // with maxConns = 1, client has the only slot
			other := peers.dial()
			if acceptedBefore {
				other.write(encodeHealthCheck(1, nil))
				other.expectHealthy(1)
				other.lastCall = 1
			}
			late := []string{"at", fmt.Sprint(time.Now().Add(500 * time.Millisecond).UnixMilli())} // after the start of the drain
			if !acceptedBefore {
				other.sendRequest("preview", "y", late...)
			}
			peers.server.Drain()
			client.expectClosing()
			peers.expectNoCommand() // the listener is closed
			if acceptedBefore {
				other.sendRequest("preview", "y", late...)
			}
			peers.agentSends("outcome", runID, "success", []byte("x"))
			client.expectAnswer(1, "x")
			client.netConn.Close()
			other.expectClosing()
			other.expectAnswer(int(other.lastCall), codeOverloaded)
			other.netConn.Close()
			require.NoError(t, await(peers, peers.serverDone, "end of the server"))
			require.Empty(t, peers.commands)
		})
	}
}

// inFlightEvent is an event that ends a request in flight.
type inFlightEvent struct {
	name         string
	timeout      string // of the request, in milliseconds
	trigger      func(client *testClient, runID string)
	expectAnswer func(client *testClient)
}

var inFlightEvents = []inFlightEvent{
	{
		name:    "outcome",
		timeout: "600000",
		trigger: func(client *testClient, runID string) {
			client.agentSends("outcome", runID, "success", []byte("x"))
		},
		expectAnswer: func(client *testClient) { client.expectAnswer(1, "x") },
	},
	{
		name:         "cancel",
		timeout:      "600000",
		trigger:      func(client *testClient, _ string) { client.write(encodeCancel(1)) },
		expectAnswer: func(*testClient) {},
	},
	{
		name:         "disconnect",
		timeout:      "600000",
		trigger:      func(client *testClient, _ string) { client.netConn.Close() },
		expectAnswer: func(*testClient) {},
	},
	{
		name:         "deadline",
		timeout:      "3000",
		trigger:      func(*testClient, string) {},
		expectAnswer: func(client *testClient) { client.expectAnswer(1, codeInternal) },
	},
}

// A request in flight is answered, cancelled or timed out, or its client disconnects, before or after a drain begins. The
// request must be answered at most once, and the process must end with its last connection, long before its stop timeout.
func TestDrainEndsAfterRequestsInFlight(t *testing.T) {
	t.Parallel()
	for _, event := range inFlightEvents {
		t.Run(event.name+", first "+event.name, func(t *testing.T) {
			t.Parallel()
			client, runID := startRunToDrain(t, event.timeout)
			event.trigger(client, runID)
			event.expectAnswer(client)
			client.server.Drain()
			client.server.Drain()
			if event.name != "disconnect" {
				client.expectClosing()
			}
			client.netConn.Close()
			require.NoError(t, await(client.testPeers, client.serverDone, "end of the server"))
		})
		t.Run(event.name+", first drain", func(t *testing.T) {
			t.Parallel()
			client, runID := startRunToDrain(t, event.timeout)
			client.server.Drain()
			client.server.Drain()
			if event.name == "deadline" {
				client.expectAnswerAndClosing()
			} else {
				client.expectClosing()
				event.trigger(client, runID)
				event.expectAnswer(client)
			}
			client.netConn.Close()
			require.NoError(t, await(client.testPeers, client.serverDone, "end of the server"))
		})
	}
}

// startRunToDrain starts a server and sends it a request with this timeout, in milliseconds, which is then running.
func startRunToDrain(t *testing.T, timeout string) (client *testClient, runID string) {
	t.Helper()
	peers := startServer(t, slices.Concat(longStopTimeout, briefDrainGrace, noIdleClose)...)
	client = peers.dial()
	runID = client.sendRequest("preview", "x", "wait", timeout)
	peers.expectCommand("launch", runID)
	return client, runID
}

// expectAnswerAndClosing reads a response and the "closing" notification in either order: on a slow machine the deadline
// may pass before the drain begins.
func (c *testClient) expectAnswerAndClosing() {
	c.Helper()
	var kinds []any
	for range 2 {
		kinds = append(kinds, c.readMessage()[0])
	}
	require.ElementsMatch(c, []any{int64(kindResponse), int64(kindNotification)}, kinds)
}

// A configuration with a longer drain grace is loaded before or after a drain begins. The grace in force at the start of
// the drain must apply to requests that arrive later.
func TestReloadDuringDrainKeepsDrainGrace(t *testing.T) {
	t.Parallel()
	for _, first := range []string{"reload", "drain"} {
		t.Run(first, func(t *testing.T) {
			t.Parallel()
			peers := startServer(t, slices.Concat(longStopTimeout, briefDrainGrace, noIdleClose)...)
			client := peers.dial()
			client.write(encodeHealthCheck(1, nil))
			client.expectHealthy(1)
			client.lastCall = 1
			longer := *peers.cfg
			longer.Settings.DrainGrace = time.Hour
			if first == "reload" {
				peers.server.Reload(&longer)
			}
			peers.server.Drain()
			client.expectClosing()
			if first == "drain" {
				peers.server.Reload(&longer)
			}
			peers.expectNoCommand() // the loop iteration in which the drain began is over
			afterDrain := fmt.Sprint(time.Now().Add(500 * time.Millisecond).UnixMilli())
			runID := client.sendRequest("preview", "x", "at", afterDrain)
			if first == "reload" {
				peers.expectCommand("launch", runID)
				peers.agentSends("outcome", runID, "success", []byte("x"))
				client.expectAnswer(2, "x")
				return
			}
			client.expectAnswer(2, codeOverloaded)
			require.Empty(t, peers.commands)
			client.netConn.Close()
			require.NoError(t, await(peers, peers.serverDone, "end of the server"))
		})
	}
}

// A successor process replaces this one. No connection may be rejected or left unread, and each process must answer the
// requests that it has read. A request with an idempotency key must run in only one of the processes, and its result must
// answer the attempts at both.
func TestReplacementAnswersEveryRequest(t *testing.T) {
	ln := loopback.Listen(t)
	path := filepath.Join(t.TempDir(), "s")
	predecessor := startServerOn(t, ln, path, longStopTimeout...)
	require.Eventually(t, func() bool { _, err := os.Stat(path); return err == nil }, testTimeout, time.Millisecond)
	client := predecessor.dial()
	runID := client.sendRequest("licence-order", "a", "once", "aa")
	predecessor.expectCommand("launch", runID)
	successor := startServerOn(t, ln, path)
	successor.attempts = 100 // gives its requests other IDs
	predecessor.server.Drain()
	client.expectClosing()
	other := successor.dial()
	for other.isClosing() { // the predecessor accepted the connection
		other.netConn.Close()
		other = successor.dial()
	}
	other.lastCall = 1
	other.sendRequest("licence-order", "a", "once", "aa")
	successor.expectNoCommand()
	predecessor.agentSends("outcome", runID, "success", []byte("done"))
	client.expectAnswer(1, "done")
	other.expectAnswer(2, "done")

	successorRunID := other.sendRequest("licence-order", "b", "once", "bb")
	successor.expectCommand("launch", successorRunID)
	client.sendRequest("licence-order", "b", "once", "bb")
	predecessor.expectNoCommand()
	successor.agentSends("outcome", successorRunID, "success", []byte("other"))
	other.expectAnswer(3, "other")
	client.expectAnswer(2, "other")
	client.netConn.Close()
	require.NoError(t, await(predecessor, predecessor.serverDone, "end of the predecessor"))

	other.sendRequest("licence-order", "a", "once", "aa")
	other.expectAnswer(4, "done")
	successor.expectNoCommand()
}
