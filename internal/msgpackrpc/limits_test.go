package msgpackrpc

import (
	"testing"
	"time"

	"falldeal/internal/server"
)

// Clients may take half of the descriptors; the connection that is idle for longest is closed for a new one.
func TestConnectionLimit(t *testing.T) {
	peers := startServer(t, `"sockets": 1024`, `"sockets": 64`)
	var clients []*testClient
	for i := range 25 { // 8 of 32 are in reserve
		client := peers.dial()
		client.write(encodeHealthCheck(1, nil))
		client.expectHealthy(1)
		if i == 0 {
			peers.expectCommand("launch", client.sendRequest("preview", "busy"))
		}
		clients = append(clients, client)
	}
	clients[1].expectConnectionEnd()
	clients[2].write(encodeHealthCheck(2, nil))
	clients[2].expectHealthy(2)
}

// However many requests are read, no more run at once than the server survives, nor than fit into its memory.
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

// blockingConnection is a connection that blocks the server's loop while it is answered blockingCall, until release.
type blockingConnection struct {
	blocked, release chan struct{}
}

const blockingCall = 1

func (h *blockingConnection) Answer(call uint32, _ server.Answer) {
	if call == blockingCall {
		h.blocked <- struct{}{}
		<-h.release
	}
}

func (h *blockingConnection) NotifyClosing() {}

func (h *blockingConnection) PauseReading() {}

func (h *blockingConnection) ResumeReading() {}

func (h *blockingConnection) TryClose() bool { return true }

func (h *blockingConnection) Close() {}

func (h *blockingConnection) MaxOpenCalls() int { return maxOpenCalls }

// silentConnection is a connection that sends nothing and ignores answers.
type silentConnection struct{ blockingConnection }

func (*silentConnection) Answer(uint32, server.Answer) {}

// The connection that is idle for longest is closed for another one, while a request on it has been read and waits
// for the server's loop: the request is answered first. It was passed over, and lost.
func TestEvictedConnectionAnswersItsRequests(t *testing.T) {
	t.Parallel()
	peers := startServer(t, `"sockets": 1024`, `"sockets": 64`, `"IdleUs": 30000000`, `"IdleUs": 0`)
	client := peers.dial()
	client.write(encodeHealthCheck(1, nil))
	client.expectHealthy(1)
	client.lastCall = 1
	blocker := &blockingConnection{make(chan struct{}), make(chan struct{})}
	peers.server.ConnectionOpened(blocker)
	peers.server.HealthCheck(blocker, blockingCall, false)
	<-blocker.blocked
	for range 64/2 - 8 - 2 { // up to the limit, all used later than client
		silent := &silentConnection{}
		peers.server.ConnectionOpened(silent)
		peers.server.HealthCheck(silent, 1, false)
	}
	peers.server.ConnectionOpened(&silentConnection{}) // evicts client
	runID := client.sendRequest("preview", "x")
	blocker.release <- struct{}{}
	peers.expectCommand("launch", runID)
	client.expectClosing() // so that no more requests come on it
	crossed := client.sendRequest("preview", "y")
	peers.expectCommand("launch", crossed)
	peers.agentSends("outcome", runID, "success", []byte("x"))
	client.expectAnswer(2, "x")
	peers.agentSends("outcome", crossed, "success", []byte("y"))
	client.expectAnswer(3, "y")
	client.expectConnectionEnd()
}

// All connections are in use, and one more arrives with a request on it: the request is answered before that
// connection is closed. The connection was closed unread.
func TestConnectionOverLimitAnswersItsRequest(t *testing.T) {
	t.Parallel()
	peers := startServer(t, append([]string{`"sockets": 1024`, `"sockets": 64`}, noIdleClose...)...)
	const capacity = 64/2 - 8
	blocker := &blockingConnection{make(chan struct{}), make(chan struct{})}
	peers.server.ConnectionOpened(blocker)
	peers.server.Submit(blocker, blockingCall+1, server.Attempt{
		ID:        "feed",
		Class:     "preview",
		ArrivedAt: time.Duration(time.Now().UnixNano()),
		Timeout:   10 * time.Minute,
		MemoryKB:  1,
	})
	for range capacity - 1 {
		other := peers.dial()
		other.sendRequest("preview", "x")
		other.write(encodeHealthCheck(2, nil))
		other.expectHealthy(2) // so that the request has been read
	}
	peers.server.HealthCheck(blocker, blockingCall, false)
	<-blocker.blocked // so that the request is there when the connection is accepted
	client := peers.dial()
	client.sendRequest("preview", "x")
	blocker.release <- struct{}{}
	client.expectClosing()
	for range capacity + 1 {
		peers.agentSends("outcome", await(peers, peers.commands, "launch").Req, "success", []byte("x"))
	}
	client.expectAnswer(1, "x")
	client.expectConnectionEnd()
}
