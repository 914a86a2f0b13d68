package msgpackrpc

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Each request must get exactly one answer, even if its run is slow or the link to the agent breaks. Bodies and store replies
// must pass through unchanged.
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

	// The outcome of a run arrives after the deadline: the client is answered at the deadline, and only once.
	slowID := client.sendRequest("hires-crop", "slow", "wait", "150")
	peers.expectCommand("launch", slowID)
	client.expectAnswer(2, codeInternal)
	peers.agentSends("outcome", slowID, "success", []byte("late"))

	// The link breaks during a run: neither its outcome nor a request sent before the link is restored is lost.
	runID := client.sendRequest("hires-crop", "x")
	peers.expectCommand("launch", runID)
	peers.agentSends("request", runID, "", nil) // proves that the launch was read
	await(peers, peers.storeCalls, "call")      // the server calls the store after it has read the notification
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

// Guards against a run that gets the reply to its first call again, for its second: the agent has read the first reply when its
// link breaks, and the run then comes to its second call.
func TestReplyReadBeforeLinkBreakIsNotDeliveredAgain(t *testing.T) {
	t.Parallel()
	for _, class := range []string{"licence-order", "preview"} {
		t.Run(class, func(t *testing.T) {
			t.Parallel()
			peers := startServer(t)
			client := peers.dial()
			id := client.sendRequest(class, "x", "once", "ab12")
			peers.expectCommand("launch", id)
			peers.agentSends("request", id, "", []byte("first call"))
			call := await(peers, peers.storeCalls, "call")
			peers.breakOnReply.Store(true)
			fmt.Fprintf(call, "%s OK 5\r\nfirst\r\n", id)
			require.Equal(t, "first", string(peers.expectCommand("deliver", id).Payload))
			peers.expectCommand("subscribe", "")
			peers.breakOnReply.Store(false)
			peers.handshake <- "steady"
			if class == "preview" { // may do without its call: the agent ignores the command for a call that has its reply
				require.Equal(t, 1, peers.expectCommand("forgo", id).Offset)
			}
			peers.expectNoCommand()
			peers.agentSends("request", id, "", []byte("second call"))
			call = await(peers, peers.storeCalls, "call")
			require.Equal(t, "second call", call.body)
			fmt.Fprintf(call, "%s OK 6\r\nsecond\r\n", id)
			require.Equal(t, "second", string(peers.expectCommand("deliver", id).Payload))
			peers.agentSends("outcome", id, "success", []byte("result"))
			client.expectAnswer(1, "result")
		})
	}
}

// A client cancels or disconnects before or after the outcome of its run arrives. It must get no further answer, nothing may
// run twice, and a retry must be answered with the result.
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
			other.sendRequest("licence-order", "order", once...) // a retry
			other.expectAnswer(1, "done")
			peers.expectNoCommand()
		})
	}
}

// The agent restarts during a run, so no outcome will arrive. The link used to ignore all notifications of the restarted
// agent, because its offsets start at 1 again. The request must fail at once, and its idempotency key must not run again.
func TestAgentRestartFailsRunsInFlight(t *testing.T) {
	t.Parallel()
	peers := startServer(t, noIdleClose...)
	client := peers.dial()
	for range 3 { // advances the offset
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
	client.expectAnswer(5, codeInternal) // the lost run may have had an effect
	next := client.sendRequest("preview", "y")
	peers.expectCommand("launch", next)
	peers.agentSends("outcome", next, "success", []byte("y"))
	client.expectAnswer(6, "y")
}
