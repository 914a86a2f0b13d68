package server

import (
	"os"
	"testing"
	"time"

	"falldeal/internal/agent"
	"falldeal/internal/config"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
)

// recordingConnection records the kinds of its answers, and the names of the other methods that are called.
type recordingConnection struct {
	recorded      []any
	closeAttempts int // number of calls of TryClose so far
	failedCloses  int // TryClose returns false in this many calls, from the first one on
}

func (c *recordingConnection) Answer(call uint32, a Answer) {
	c.recorded = append(c.recorded, a.Kind)
}
func (c *recordingConnection) NotifyClosing() { c.recorded = append(c.recorded, "closing") }
func (c *recordingConnection) Close()         { c.recorded = append(c.recorded, "close") }
func (c *recordingConnection) PauseReading()  { c.recorded = append(c.recorded, "pause") }
func (c *recordingConnection) ResumeReading() { c.recorded = append(c.recorded, "resume") }
func (c *recordingConnection) TryClose() bool {
	c.recorded = append(c.recorded, "end")
	c.closeAttempts++
	return c.closeAttempts > c.failedCloses
}
func (c *recordingConnection) MaxOpenCalls() int { return 2 }

// newServerWithoutLoop returns a server whose loop does not run, and a function that handles the events in its inbox.
func newServerWithoutLoop(t testing.TB) (server *Server, handleInbox func()) {
	text, err := os.ReadFile("../config/testdata/config.json")
	require.NoError(t, err)
	cfg, err := config.Parse(text, func(string) string { return "" })
	require.NoError(t, err)
	log, _ := test.NewNullLogger()
	server = New(cfg, log)
	return server, func() {
		for server.inbox.waiting() > 0 {
			(<-server.inbox.events).handle(server)
		}
	}
}

// countingConnection only counts its answers, so that it uses no further memory during a measurement.
type countingConnection struct {
	answers int
	server  *Server // PauseReading reports to it that reading has paused; nil: PauseReading does nothing
}

func (c *countingConnection) Answer(uint32, Answer) { c.answers++ }
func (c *countingConnection) NotifyClosing()        {}
func (c *countingConnection) Close()                {}
func (c *countingConnection) PauseReading() {
	if c.server != nil {
		c.server.ReadEnded(c, ReadPaused)
	}
}
func (c *countingConnection) ResumeReading()    {}
func (c *countingConnection) TryClose() bool    { return true }
func (c *countingConnection) MaxOpenCalls() int { return 32 }

// newReadyServer returns a server whose agent is up, with one connection. Its loop does not run.
func newReadyServer(t *testing.T) (server *Server, conn *recordingConnection, handleInbox func()) {
	server, handleInbox = newServerWithoutLoop(t)
	startAgent(server)
	conn = &recordingConnection{}
	server.ConnectionOpened(conn)
	handleInbox()
	server.step()
	return server, conn, handleInbox
}

// startAgent makes the agent of a server report that it is up and warm.
func startAgent(server *Server) {
	server.handleHandshake(agent.Handshake{State: agent.Steady})
}

// newAttempt returns an attempt that arrives now.
func newAttempt(server *Server, id, class string) Attempt {
	return Attempt{ID: id, Class: class, ArrivedAt: server.clock.now, Timeout: 3 * time.Second, MemoryKB: 1}
}

// attemptWithKey returns an attempt with an idempotency key that arrives now.
func attemptWithKey(server *Server, id, key string) Attempt {
	attempt := newAttempt(server, id, "licence-order")
	attempt.IdempotencyKey = key
	return attempt
}
