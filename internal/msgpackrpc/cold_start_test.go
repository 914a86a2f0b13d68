package msgpackrpc

import (
	"fmt"
	"testing"
	"time"

	"falldeal/lab/loopback"

	"github.com/stretchr/testify/require"
)

// A server starts cold under overload, and its agent starts late. Requests read before the agent is ready must be rejected
// at once, so that clients can go elsewhere, and the connections must stay usable. After that, no more requests may run at
// a time than a cold server can handle, and every request must be answered.
func TestColdStartUnderOverload(t *testing.T) {
	const clients, callsPerClient = 20, maxOpenCalls
	ln := loopback.Listen(t)
	peers := startServerBeforeAgent(t, ln, "", `"ColdUs": 18000000`, `"ColdUs": 18000000000`) // stays cold
	peers.expectCommand("subscribe", "")
	clientConns := make([]*testClient, clients)
	for i := range clientConns {
		clientConns[i] = peers.dial()
		clientConns[i].sendRequests(callsPerClient)
	}
	for _, client := range clientConns {
		for call := range callsPerClient {
			client.expectAnswer(call+1, codeOverloaded)
		}
	}
	require.Empty(t, peers.commands)
	peers.handshake <- "booting"
	peers.expectNoCommand()
	for _, client := range clientConns {
		client.sendRequests(callsPerClient)
	}
	// Idle cores raise the concurrency up to the limit of a cold server: four fifths of 2 per core on 6 cores, plus 1. A
	// warm server would run 13 requests by then.
	for range 20 {
		await(peers, peers.samples, "sample")
	}
	require.LessOrEqual(t, len(peers.commands), 10)

	// The agent now completes runs. Each client receives its answers in any order.
	answers := make(chan string)
	for _, client := range clientConns {
		go client.forwardAnswers(callsPerClient, answers)
	}
	outcomes, runs := map[string]int{}, 0
	for outcomes["served"]+outcomes[codeOverloaded]+outcomes[codeInternal] < clients*callsPerClient {
		select {
		case command := <-peers.commands:
			require.Equal(t, "launch", command.Cmd)
			runs++
			peers.agentSends("outcome", command.Req, "success", []byte("x"))
		case outcome := <-answers:
			require.Contains(t, []string{"served", codeOverloaded, codeInternal}, outcome)
			outcomes[outcome]++
		case <-time.After(testTimeout):
			t.Fatalf("no further answer within %v, outcomes so far: %v", testTimeout, outcomes)
		}
	}
	require.Equal(t, runs, outcomes["served"], "%v", outcomes)
	require.Positive(t, runs)
}

func (c *testClient) sendRequests(count int) {
	c.Helper()
	for range count {
		c.sendRequest("hires-crop", "x")
	}
}

// forwardAnswers reads count responses and sends the error code of each, or "served". If reading fails, it sends the text
// of that error and returns.
func (c *testClient) forwardAnswers(count int, answers chan<- string) {
	for passed := 0; passed < count; {
		value, err := c.decoder.next()
		if err != nil {
			answers <- err.Error()
			return
		}
		list, ok := value.(arrayValue)
		if !ok {
			answers <- fmt.Sprintf("%T in place of a message", value)
			return
		}
		if list[0] != int64(kindResponse) {
			continue // "closing" on an idle connection
		}
		passed++
		if rpcError, failed := list[2].(arrayValue); failed {
			answers <- fmt.Sprint(rpcError[0])
		} else {
			answers <- "served"
		}
	}
}
