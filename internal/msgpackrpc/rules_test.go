package msgpackrpc

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Lost: what was read gets one final answer, bodies and replies pass unchanged, and neither a slow run
// nor a broken link to the agent keeps an answer back.
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

	// A run that does not end: its caller is answered in time, and only once.
	slowID := client.sendRequest("hires-crop", "slow", "wait", "150")
	peers.expectCommand("launch", slowID)
	client.expectAnswer(2, codeInternal)
	peers.agentSends("outcome", slowID, "success", []byte("late"))

	// The link breaks during a run. Its end, and a request of that time, are not lost.
	runID := client.sendRequest("hires-crop", "x")
	peers.expectCommand("launch", runID)
	peers.agentSends("request", runID, "", nil) // proves that the launch was read
	await(peers, peers.storeCalls, "call")      // the server has read the notice once it calls
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

// Duplicate: however often a keyed request comes within its window, it is run once, and its result
// answers every try.
func TestIdempotentRequestRunsOnce(t *testing.T) {
	peers := startServer(t)
	client := peers.dial()
	once := []string{"once", "ab12"}
	firstID, firstFrame := client.newRequest("licence-order", "order", once...)
	_, secondFrame := client.newRequest("licence-order", "order", once...)
	client.write(append(firstFrame, secondFrame...)) // both may be read in one turn
	peers.expectCommand("launch", firstID)
	client.sendRequest("licence-order", "order", once...) // during the run
	peers.expectNoCommand()
	peers.agentSends("outcome", firstID, "success", []byte("done"))
	client.expectAnswer(1, "done")
	client.expectAnswer(2, "done")
	client.expectAnswer(3, "done")
	other := peers.dial()
	other.sendRequest("licence-order", "order", once...) // after it
	other.expectAnswer(1, "done")
	peers.expectNoCommand()

	// A run that failed may have had its effect: no other try may run.
	past := time.Now().Add(-time.Minute).UnixMilli() // longer than its window
	failedID := other.sendRequest("licence-order", "order", "once", "cd34", "at", fmt.Sprint(past))
	peers.expectCommand("launch", failedID)
	peers.agentSends("outcome", failedID, "failure", nil)
	other.expectAnswer(2, codeInternal)
	other.sendRequest("licence-order", "order", "once", "cd34", "at", fmt.Sprint(past+1000))
	other.expectAnswer(3, codeInternal)

	// The window counts from the try that ran; past it the order is a new one.
	repeatedID := other.sendRequest("licence-order", "order", "once", "cd34")
	peers.expectCommand("launch", repeatedID)
}

// A newer process takes the place of this one: no connection is refused or left unread, what each has read it
// answers, and a keyed request is run by one of them, whose result answers tries at both.
func TestReplacementAnswersEveryRequest(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	path := filepath.Join(t.TempDir(), "s")
	older := startServerOn(t, ln, path, `"stop_ms": 3200`, `"stop_ms": 3000000`)
	require.Eventually(t, func() bool { _, err := os.Stat(path); return err == nil }, testTimeout, time.Millisecond)
	client := older.dial()
	runID := client.sendRequest("licence-order", "a", "once", "aa")
	older.expectCommand("launch", runID)
	newer := startServerOn(t, ln, path)
	newer.attempts = 100 // ids are new with every try
	older.server.Drain()
	client.expectClosing()
	other := newer.dial()
	for other.isClosing() { // the older one took it just before
		other.netConn.Close()
		other = newer.dial()
	}
	other.lastCall = 1
	other.sendRequest("licence-order", "a", "once", "aa")
	newer.expectNoCommand()
	older.agentSends("outcome", runID, "success", []byte("done"))
	client.expectAnswer(1, "done")
	other.expectAnswer(2, "done")

	crossingID := other.sendRequest("licence-order", "b", "once", "bb")
	newer.expectCommand("launch", crossingID)
	client.sendRequest("licence-order", "b", "once", "bb")
	older.expectNoCommand()
	newer.agentSends("outcome", crossingID, "success", []byte("other"))
	other.expectAnswer(3, "other")
	client.expectAnswer(2, "other")
	client.netConn.Close()
	require.NoError(t, await(older, older.serverDone, "end of the older process"))

	other.sendRequest("licence-order", "a", "once", "aa")
	other.expectAnswer(4, "done")
	newer.expectNoCommand()
}

// Drain: what was read is answered, what arrives after the grace is not run, and the server ends.
func TestDrainAnswersRequestsInFlight(t *testing.T) {
	peers := startServer(t, `"stop_ms": 3200`, `"stop_ms": 60000`, `"StopSendingWithinUs": 2500000`, `"StopSendingWithinUs": 1`)
	client := peers.dial()
	idle := peers.dial()
	runID := client.sendRequest("preview", "x")
	peers.expectCommand("launch", runID)
	peers.server.Drain()
	peers.server.Drain()
	client.expectClosing()
	idle.expectClosing()
	idle.netConn.Close()
	client.sendRequest("preview", "too late", "at", fmt.Sprint(time.Now().Add(time.Second).UnixMilli()))
	client.expectAnswer(2, codeOverloaded)
	peers.agentSends("outcome", runID, "success", []byte("done"))
	client.expectAnswer(1, "done")
	require.Empty(t, peers.commands)
	client.netConn.Close()
	require.NoError(t, await(peers, peers.serverDone, "end of the server"))
	_, err := net.Dial("tcp", peers.addr)
	require.Error(t, err)
}

// A front end that stays must not keep the process past its time.
func TestDrainEndsInTime(t *testing.T) {
	peers := startServer(t, `"stop_ms": 3200`, `"stop_ms": 500`)
	client := peers.dial()
	runID := client.sendRequest("preview", "x")
	peers.expectCommand("launch", runID)
	peers.server.Drain()
	value, err := client.decoder.next()
	require.NoError(t, err)
	require.Equal(t, methodClosing, value.(arrayValue)[1])
	client.expectAnswer(1, codeInternal)
	require.NoError(t, await(peers, peers.serverDone, "end of the server"))
	client.expectConnectionEnd()
}

// Fall-over: no more runs at once than the crowd that a server survives, and no more than fit into
// its memory, whatever is read.
func TestConcurrencyStaysWithinLimits(t *testing.T) {
	for name, replacements := range map[string][]string{
		"crowd":  {`"Cpus": 6`, `"Cpus": 1`, `"FallMultiple": 5.0`, `"FallMultiple": 1.0`},
		"memory": {`"MemoryKb": 43152.0`, `"MemoryKb": 700`}, // a run takes 392
	} {
		t.Run(name, func(t *testing.T) {
			peers := startServer(t, replacements...)
			client := peers.dial()
			for range 3 {
				client.sendRequest("hires-crop", "x", "cost", "1")
			}
			for call := 1; call <= 3; call++ {
				command := await(peers, peers.commands, "launch")
				peers.expectNoCommand()
				peers.agentSends("outcome", command.Req, "success", []byte(command.Req))
				client.expectAnswer(call, command.Req)
			}
		})
	}
}
