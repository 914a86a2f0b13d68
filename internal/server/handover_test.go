package server

import (
	"bufio"
	"net"
	"strings"
	"testing"
	"time"

	"falldeal/admission"
	"falldeal/internal/agent"
	"falldeal/internal/handover"
	"falldeal/internal/writequeue"

	"github.com/stretchr/testify/require"
)

// handoverFixture is a server that is up, whose partner is played by the test.
type handoverFixture struct {
	*Server
	*recordingConnection
	testing   *testing.T
	runPosted func()
	link      *handover.Link
	published *bufio.Scanner
	lastCall  uint32
}

func newHandoverFixture(t *testing.T) *handoverFixture {
	server, runPosted := newIdleServer(t)
	server.handleHandshake(agent.Notification{Kind: agent.Handshake, Result: agent.Steady})
	fixture := &handoverFixture{Server: server, recordingConnection: &recordingConnection{}, testing: t, runPosted: runPosted}
	here, there := net.Pipe()
	t.Cleanup(func() { here.Close(); there.Close() })
	require.NoError(t, there.SetDeadline(time.Now().Add(30*time.Second)))
	fixture.link, fixture.published = &handover.Link{Queue: writequeue.New(here, 100)}, bufio.NewScanner(there)
	go func() { _ = fixture.link.Run() }()
	server.ConnectionOpened(fixture.recordingConnection)
	runPosted()
	return fixture
}

// submitKeyed sends a try of a keyed request and has the controller decide on it.
func (o *handoverFixture) submitKeyed(key string) *activeRequest {
	o.lastCall++
	id := string(rune('a' + o.lastCall))
	o.Submit(o.recordingConnection, o.lastCall, Attempt{ID: id, IdempotencyKey: key, Class: "licence-order", ArrivedAt: o.clock.now, Timeout: 3 * time.Second, MemoryKB: 1})
	o.runPosted()
	o.step()
	return o.requests.byAttemptID[id]
}

// receive plays what the other process tells.
func (o *handoverFixture) receive(kind handover.Kind, m handover.Message) {
	m.Kind = kind
	o.handlePeerMessage(o.link, m)
	o.step()
}

// expect reads what the other process is told.
func (o *handoverFixture) expect(cmd string) {
	o.testing.Helper()
	require.True(o.testing, o.published.Scan(), "%v", o.published.Err())
	require.Contains(o.testing, o.published.Text(), `{"cmd":"`+cmd+`"`)
}

// The newer process runs nothing under a key before the older one has said that it may.
func TestSuccessorClaimsKeys(t *testing.T) {
	fixture := newHandoverFixture(t)
	fixture.predecessorJoined(fixture.link)
	fixture.receive(handover.Synced, handover.Message{})
	require.True(t, fixture.listeners.opened)
	digest := bodyDigest(&Attempt{})
	windowEnd := fixture.clock.now + time.Minute

	first, retry := fixture.submitKeyed("aa"), fixture.submitKeyed("aa")
	fixture.expect("claim")
	require.False(t, first.running())
	fixture.receive(handover.Grant, handover.Message{IdempotencyKey: "aa"})
	require.True(t, first.running())
	require.False(t, retry.running())
	fixture.expect("known")
	fixture.completeRun(first, admission.OutcomeOK, nil)
	fixture.expect("over")
	require.Equal(t, []any{Served, Served}, fixture.received)

	// One that the older process has is answered with what that tells of its end.
	b := fixture.submitKeyed("bb")
	fixture.expect("claim")
	fixture.receive(handover.Known, handover.Message{IdempotencyKey: "bb", Digest: digest, At: windowEnd})
	require.False(t, b.running())
	require.Len(t, fixture.received, 2)
	fixture.receive(handover.Completed, handover.Message{IdempotencyKey: "bb", OK: true, Body: []byte("x")})
	require.Equal(t, Served, fixture.received[2])
	fixture.submitKeyed("bb") // not claimed any more
	require.Equal(t, Served, fixture.received[3])

	// A key under another body is nobody's.
	fixture.receive(handover.Known, handover.Message{IdempotencyKey: "cc", Digest: digest + 1, At: windowEnd})
	fixture.submitKeyed("cc")
	require.Equal(t, Invalid, fixture.received[4])

	// Without an answer nothing is run, and a grant that comes too late is given back.
	d := fixture.submitKeyed("dd")
	fixture.expect("claim")
	fixture.clock.now += claimTimeout
	fixture.deadlines.Sweep(fixture.clock.now)
	require.False(t, d.running())
	require.Equal(t, Failed, fixture.received[5])
	fixture.receive(handover.Grant, handover.Message{IdempotencyKey: "dd"})
	fixture.expect("free")

	// When the older process has ended, its runs may have had their effect; what it did not know may run.
	fixture.receive(handover.Known, handover.Message{IdempotencyKey: "ee", Digest: digest, At: windowEnd})
	fixture.submitKeyed("ee")
	f := fixture.submitKeyed("ff")
	fixture.expect("claim")
	fixture.peerEnded(fixture.link)
	fixture.step()
	require.Equal(t, Failed, fixture.received[6])
	require.True(t, f.running())
	require.Nil(t, fixture.submitKeyed("ee"))
	require.Equal(t, Failed, fixture.received[7])
	require.EqualValues(t, 2, fixture.stats.Runs)
}

// The older process tells all it knows, grants what it does not know, and from then on leaves that alone.
func TestPredecessorGrantsKeys(t *testing.T) {
	fixture := newHandoverFixture(t)
	over, running := fixture.submitKeyed("aa"), fixture.submitKeyed("bb")
	fixture.completeRun(over, admission.OutcomeOK, []byte("x"))
	require.True(t, running.running())
	fixture.successorJoined(fixture.link)
	count := map[string]int{}
	for count["synced"] == 0 {
		require.True(t, fixture.published.Scan())
		cmd, _, _ := strings.Cut(strings.TrimPrefix(fixture.published.Text(), `{"cmd":"`), `"`)
		count[cmd]++
	}
	require.Equal(t, map[string]int{"known": 2, "over": 1, "synced": 1}, count)
	claim := handover.Message{IdempotencyKey: "cc", Digest: bodyDigest(&Attempt{}), At: fixture.clock.now}
	fixture.receive(handover.Claim, claim)
	fixture.expect("grant")
	c := fixture.submitKeyed("cc")
	require.False(t, c.running())
	fixture.receive(handover.Completed, handover.Message{IdempotencyKey: "cc", OK: true})
	require.Equal(t, []any{Served, Served}, fixture.received)
	fixture.receive(handover.Claim, handover.Message{IdempotencyKey: "bb", At: fixture.clock.now})
	fixture.expect("known")
	fixture.completeRun(running, admission.OutcomeFailed, nil)
	fixture.expect("over")

	// What the newer one gave back may be run here.
	claim.IdempotencyKey = "dd"
	fixture.receive(handover.Claim, claim)
	fixture.expect("grant")
	fixture.receive(handover.Released, handover.Message{IdempotencyKey: "dd"})
	require.True(t, fixture.submitKeyed("dd").running())
	last := string(rune('a' + fixture.lastCall))
	fixture.expect("known")

	// SIGTERM is no drain now: nobody is sent elsewhere, and new connections are the newer one's.
	fixture.Drain()
	fixture.runPosted()
	fixture.step()
	require.True(t, fixture.health.healthy)
	require.True(t, fixture.drain.started())
	fixture.deadlines.Sweep(fixture.clock.now)
	require.Equal(t, drainListenersClosed, fixture.drain.phase)
	require.False(t, fixture.finished()) // a front end is still there
	fixture.removeConnection(fixture.connections.get(fixture.recordingConnection))
	require.False(t, fixture.finished()) // the newer process is still to hear how the last order ends
	fixture.completeRun(fixture.requests.byAttemptID[last], admission.OutcomeOK, nil)
	fixture.expect("over")
	require.True(t, fixture.finished())
}

// The two processes share the descriptors of one: the older gives up idle connections, and none that is busy.
func TestSharedDescriptors(t *testing.T) {
	fixture := newHandoverFixture(t)
	fixture.config.Limits.Sockets = 4 * (reservedConnections + 3) // 3 connections for each of two
	busy := fixture.submitKeyed("aa").connection
	var idle []*recordingConnection
	for range 2*(reservedConnections+3) - reservedConnections - 1 {
		conn := &recordingConnection{}
		fixture.ConnectionOpened(conn)
		idle = append(idle, conn)
	}
	fixture.runPosted()
	fixture.successorJoined(fixture.link)
	require.Equal(t, 3, fixture.connections.size())
	require.NotNil(t, fixture.connections.get(busy))
	fixture.peerEnded(fixture.link)
	fixture.ConnectionOpened(&recordingConnection{})
	fixture.runPosted()
	require.Equal(t, 4, fixture.connections.size())
	closed := 0
	for _, conn := range idle {
		closed += len(conn.received)
	}
	require.Equal(t, len(idle)-2, closed)
}
