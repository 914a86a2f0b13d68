package msgpackrpc

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A server starts cold under overload, and its agent is late. What is read before the agent is there is rejected at
// once, so that clients can go elsewhere, and the connections stay usable. Then no more runs at once than a cold
// server survives, and all that was read is answered.
func TestSlowStartUnderOverload(t *testing.T) {
	const clients, callsPerClient = 20, maxOpenCalls
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	peers := startServerBeforeAgent(t, ln, "", `"ColdUs": 18000000`, `"ColdUs": 18000000000`) // stays cold
	peers.expectCommand("subscribe", "")
	clientConns := make([]*testClient, clients)
	for i := range clientConns {
		clientConns[i] = peers.dial()
		for range callsPerClient {
			clientConns[i].sendRequest("hires-crop", "x")
		}
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
		for range callsPerClient {
			client.sendRequest("hires-crop", "x")
		}
	}
	// Idle cores raise the concurrency, up to the limit of a cold server: four fifths of 2 a core on 6 cores, and one.
	// A warm server would run 13 by then.
	for range 20 {
		await(peers, peers.samples, "sample")
	}
	require.LessOrEqual(t, len(peers.commands), 10)

	// Then the agent completes runs. Each client gets its answers in some order.
	answers := make(chan string)
	for _, client := range clientConns {
		go func() {
			for n := 0; n < callsPerClient; {
				value, err := client.decoder.next()
				if err != nil {
					answers <- err.Error()
					return
				}
				list := value.(arrayValue)
				if list[0] != int64(kindResponse) {
					continue // an idle connection may be closing
				}
				n++
				if fault, failed := list[2].(arrayValue); failed {
					answers <- fmt.Sprint(fault[0])
				} else {
					answers <- "served"
				}
			}
		}()
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
			t.Fatalf("no more answers: %v", outcomes)
		}
	}
	require.Equal(t, runs, outcomes["served"], "%v", outcomes)
	require.Positive(t, runs)
}
