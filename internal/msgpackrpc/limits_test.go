package msgpackrpc

import (
	"testing"
	"time"

	"falldeal/internal/server"
)

// Client connections may use half of the descriptors, less a reserve. If the limit is reached, the connection that has been
// idle longest is closed for a new one.
func TestConnectionLimit(t *testing.T) {
	peers := startServer(t, `"sockets": 1024`, `"sockets": 64`)
	var clients []*testClient
	for i := range 25 { // the limit is 24: 64/2 less a reserve of 8
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

// However many requests are read, the number of runs at a time must stay within the concurrency limit and the memory limit.
func TestConcurrencyStaysWithinLimits(t *testing.T) {
	for name, replacements := range map[string][]string{
		"concurrency": {`"Cpus": 6`, `"Cpus": 1`, `"FallMultiple": 5.0`, `"FallMultiple": 1.0`},
		"memory":      {`"MemoryKb": 43152.0`, `"MemoryKb": 700`}, // one run takes 392 KB
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

// blockingConnection is a connection that blocks the server's loop in Answer for blockingCall until the test sends to
// release.
type blockingConnection struct {
	blocked, release chan struct{}
}

const blockingCall = 1

func (c *blockingConnection) Answer(call uint32, _ server.Answer) {
	if call == blockingCall {
		c.blocked <- struct{}{}
		<-c.release
	}
}

func (c *blockingConnection) NotifyClosing() {}

func (c *blockingConnection) PauseReading() {}

func (c *blockingConnection) ResumeReading() {}

func (c *blockingConnection) TryClose() bool { return true }

func (c *blockingConnection) Close() {}

func (c *blockingConnection) MaxOpenCalls() int { return maxOpenCalls }

// silentConnection is a connection that sends nothing and ignores answers.
type silentConnection struct{ blockingConnection }

func (*silentConnection) Answer(uint32, server.Answer) {}

// The connection that has been idle longest is evicted for a new one, while a request on it has been read and waits for the
// server's loop. The request used to be ignored and lost. It must be answered before the connection is closed.
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
	for range 64/2 - 8 - 2 { // fills the limit with connections used later than client's
		silent := &silentConnection{}
		peers.server.ConnectionOpened(silent)
		peers.server.HealthCheck(silent, 1, false)
	}
	peers.server.ConnectionOpened(&silentConnection{}) // evicts client
	runID := client.sendRequest("preview", "x")
	blocker.release <- struct{}{}
	peers.expectCommand("launch", runID)
	client.expectClosing() // asks for no more requests, but one may already be on its way
	crossed := client.sendRequest("preview", "y")
	peers.expectCommand("launch", crossed)
	peers.agentSends("outcome", runID, "success", []byte("x"))
	client.expectAnswer(2, "x")
	peers.agentSends("outcome", crossed, "success", []byte("y"))
	client.expectAnswer(3, "y")
	client.expectConnectionEnd()
}

// All connections are in use and one more arrives with a request on it. It used to be closed unread. The request must be
// answered before the connection is closed.
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
		other.expectHealthy(2) // the request has been read
	}
	peers.server.HealthCheck(blocker, blockingCall, false)
	<-blocker.blocked // the request arrives before the loop handles the new connection
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
