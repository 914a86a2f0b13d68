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

// recordingConnection records the kinds of its answers, and the names of the other calls.
type recordingConnection struct {
	recorded                    []any
	closeAttempts, failedCloses int // calls of TryClose, and how many of them fail
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

// newIdleServer returns a server whose loop does not run, and a function that handles the events in its inbox.
func newIdleServer(t testing.TB) (server *Server, runPosted func()) {
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

// countingConnection only counts its answers, so that nothing grows while it is measured.
type countingConnection struct {
	answers int
	server  *Server // notified when reading has paused; nil: none
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

// newReadyServer returns an idle server whose agent is up, with one connection.
func newReadyServer(t *testing.T) (server *Server, conn *recordingConnection, runPosted func()) {
	server, runPosted = newIdleServer(t)
	startAgent(server)
	conn = &recordingConnection{}
	server.ConnectionOpened(conn)
	runPosted()
	server.step()
	return server, conn, runPosted
}

// startAgent lets the agent of a server report that it is up and warm.
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
