package msgpackrpc

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Each request that is read gets one final answer, bodies and store replies pass unchanged, and neither a slow run
// nor a broken link to the agent prevents an answer.
func TestEveryRequestIsAnsweredOnce(t *testing.T) {
	peers := startServer(t)
	client := peers.dial()
	body := "\x00\xff\r\n\"body"
	id := client.sendRequest("preview", body)
	launched := peers.expectCommand("launch", id)
	require.Equal(t, "preview", launched.Method)
	require.Equal(t, body, string(launched.Payload))

	peers.agentSends("request", id, "", []byte("call\r\n"))
	call := await(peers, peers.storeCalls, "call")
	require.Equal(t, id+" call\r\n", call.id+" "+call.body)
	fmt.Fprintf(call, "%s OK 7\r\nreply\r\n\r\n", id)
	require.Equal(t, "reply\r\n", string(peers.expectCommand("deliver", id).Payload))
	peers.agentSends("outcome", id, "success", []byte(body))
	client.expectAnswer(1, body)

	// A run that does not end: its client is answered in time, and only once.
	slowID := client.sendRequest("hires-crop", "slow", "wait", "150")
	peers.expectCommand("launch", slowID)
	client.expectAnswer(2, codeInternal)
	peers.agentSends("outcome", slowID, "success", []byte("late"))

	// The link breaks during a run. Its outcome, and a request of that time, are not lost.
	runID := client.sendRequest("hires-crop", "x")
	peers.expectCommand("launch", runID)
	peers.agentSends("request", runID, "", nil) // proves that the launch was read
	await(peers, peers.storeCalls, "call")      // the server has read the event once it calls the store
	peers.breakAgentLink()
	waitingID := client.sendRequest("hires-crop", "y")
	require.Equal(t, peers.lastOffset, peers.expectCommand("subscribe", "").Offset)
	peers.handshake <- "steady"
	peers.expectCommand("launch", waitingID)
	peers.agentSends("outcome", runID, "success", []byte("kept"))
	client.expectAnswer(3, "kept")
	peers.agentSends("outcome", waitingID, "failure", nil)
	client.expectAnswer(4, codeInternal)
}

// A client cancels, or disconnects, before or after the outcome of its run arrives: it is answered nothing more,
// nothing runs twice, and a retry is answered with the result.
func TestCancelAndOutcomeInEitherOrder(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct{ first, second string }{
		"cancel, outcome": {"cancel", "outcome"}, "outcome, cancel": {"outcome", "cancel"},
		"disconnect, outcome": {"disconnect", "outcome"}, "outcome, disconnect": {"outcome", "disconnect"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			peers := startServer(t, noIdleClose...)
			client := peers.dial()
			once := []string{"once", "ab12"}
			runID := client.sendRequest("licence-order", "order", once...)
			peers.expectCommand("launch", runID)
			for _, step := range []string{test.first, test.second} {
				switch step {
				case "cancel":
					client.write(encodeCancel(1))
				case "disconnect":
					client.netConn.Close()
				case "outcome":
					peers.agentSends("outcome", runID, "success", []byte("done"))
				}
				peers.expectNoCommand()
			}
			other := peers.dial()
			other.sendRequest("licence-order", "order", once...) // it ran: the retry gets its result
			other.expectAnswer(1, "done")
			peers.expectNoCommand()
		})
	}
}

// The agent restarts during a run, so no outcome will come: the request is answered as failed at once, and its
// idempotency key is not run again. The link used to ignore all events of the new agent, whose offsets start at 1
// again.
func TestAgentRestartFailsRunsInFlight(t *testing.T) {
	t.Parallel()
	peers := startServer(t, noIdleClose...)
	client := peers.dial()
	for range 3 { // so that the offsets have gone on
		id := client.sendRequest("preview", "x")
		peers.expectCommand("launch", id)
		peers.agentSends("outcome", id, "success", []byte("x"))
		client.expectAnswer(int(client.lastCall), "x")
	}
	runID := client.sendRequest("licence-order", "order", "once", "ab12")
	peers.expectCommand("launch", runID)
	peers.breakAgentLink()
	require.Equal(t, 3, peers.expectCommand("subscribe", "").Offset)
	peers.handshake <- "booting" // the agent has just started
	client.expectAnswer(4, codeInternal)
	require.Zero(t, peers.expectCommand("subscribe", "").Offset)
	peers.lastOffset = 0
	peers.handshake <- "booting"
	client.sendRequest("licence-order", "order", "once", "ab12")
	client.expectAnswer(5, codeInternal) // the run may have had its effect
	next := client.sendRequest("preview", "y")
	peers.expectCommand("launch", next)
	peers.agentSends("outcome", next, "success", []byte("y"))
	client.expectAnswer(6, "y")
}
