package server

import (
	"bufio"
	"net"
	"strings"
	"testing"
	"time"

	"falldeal/admission"
	"falldeal/internal/handover"
	"falldeal/internal/writequeue"

	"github.com/stretchr/testify/require"
)

// handoverFixture is a server that is up, with one connection. The test acts as the other process of the handover.
type handoverFixture struct {
	*Server
	*recordingConnection
	t           *testing.T
	handleInbox func()
	link        *handover.Link // to the process that the test acts as
	published   *bufio.Scanner // messages that the server has sent on link
	lastCall    uint32         // call number of the last attempt
}

func newHandoverFixture(t *testing.T) *handoverFixture {
	server, handleInbox := newServerWithoutLoop(t)
	startAgent(server)
	fixture := &handoverFixture{
		Server:              server,
		recordingConnection: &recordingConnection{},
		t:                   t,
		handleInbox:         handleInbox,
	}
	here, there := net.Pipe()
	require.NoError(t, there.SetDeadline(time.Now().Add(30*time.Second)))
	fixture.link = &handover.Link{Queue: writequeue.New(here, 4096)}
	fixture.published = bufio.NewScanner(there)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = fixture.link.Run() // fails if the test has left messages unread
	}()
	t.Cleanup(func() {
		here.Close()
		there.Close()
		fixture.link.Close()
		<-ended
	})
	server.ConnectionOpened(fixture.recordingConnection)
	handleInbox()
	return fixture
}

// submitWithKey submits an attempt with an idempotency key, and lets the controller decide on it.
func (f *handoverFixture) submitWithKey(key string) *activeRequest {
	f.lastCall++
	id := string(rune('a' + f.lastCall))
	f.Submit(f.recordingConnection, f.lastCall, attemptWithKey(f.Server, id, key))
	f.handleInbox()
	f.step()
	return f.requests.byAttemptID[id]
}

// receive handles a message from the other process.
func (f *handoverFixture) receive(message handover.Message) {
	f.handlePeerMessage(f.link, message)
	f.step()
}

// expect reads the next message to the other process, which must have the given command.
func (f *handoverFixture) expect(cmd string) {
	f.t.Helper()
	require.True(f.t, f.published.Scan(), "%v", f.published.Err())
	require.Contains(f.t, f.published.Text(), `{"cmd":"`+cmd+`"`)
}

// The successor must not run anything with a key before the predecessor has granted that key.
func TestSuccessorClaimsKeys(t *testing.T) {
	fixture := newHandoverFixture(t)
	fixture.predecessorJoined(fixture.link)
	fixture.receive(handover.KeysSynced{})
	require.True(t, fixture.listeners.opened)
	digest := bodyDigest(&Attempt{})
	windowEnd := fixture.clock.now + time.Minute

	first, retry := fixture.submitWithKey("aa"), fixture.submitWithKey("aa")
	fixture.expect("claim")
	require.False(t, first.running())
	fixture.receive(handover.KeyGranted{IdempotencyKey: "aa"})
	require.True(t, first.running())
	require.False(t, retry.running())
	fixture.expect("known")
	fixture.completeRun(first, admission.OutcomeOK, nil)
	fixture.expect("over")
	require.Equal(t, []any{Served, Served}, fixture.recorded)

	// A key that the predecessor owns: the predecessor's result is the answer.
	known := fixture.submitWithKey("bb")
	fixture.expect("claim")
	fixture.receive(handover.KeyKnown{IdempotencyKey: "bb", Digest: digest, WindowEnd: windowEnd})
	require.False(t, known.running())
	require.Len(t, fixture.recorded, 2)
	fixture.receive(handover.RunCompleted{IdempotencyKey: "bb", OK: true, Result: []byte("x")})
	require.Equal(t, Served, fixture.recorded[2])
	fixture.submitWithKey("bb") // no further claim
	require.Equal(t, Served, fixture.recorded[3])

	// A known key with another body.
	fixture.receive(handover.KeyKnown{IdempotencyKey: "cc", Digest: digest + 1, WindowEnd: windowEnd})
	fixture.submitWithKey("cc")
	require.Equal(t, Invalid, fixture.recorded[4])

	// A claim without an answer in time: nothing is run, and a late grant is released.
	unanswered := fixture.submitWithKey("dd")
	fixture.expect("claim")
	fixture.clock.now += claimTimeout
	fixture.deadlines.Sweep(fixture.clock.now)
	require.False(t, unanswered.running())
	require.Equal(t, Failed, fixture.recorded[5])
	fixture.receive(handover.KeyGranted{IdempotencyKey: "dd"})
	fixture.expect("free")

	// After the end of the predecessor, its runs may have had their effect. A key that it did not know may run.
	fixture.receive(handover.KeyKnown{IdempotencyKey: "ee", Digest: digest, WindowEnd: windowEnd})
	fixture.submitWithKey("ee")
	unknown := fixture.submitWithKey("ff")
	fixture.expect("claim")
	fixture.peerEnded(fixture.link)
	fixture.step()
	require.Equal(t, Failed, fixture.recorded[6])
	require.True(t, unknown.running())
	require.Nil(t, fixture.submitWithKey("ee"))
	require.Equal(t, Failed, fixture.recorded[7])
	require.EqualValues(t, 2, fixture.stats.Runs)
}

// The predecessor must send all keys that it knows, grant those that it does not, and not run the granted ones itself.
func TestPredecessorGrantsKeys(t *testing.T) {
	fixture := newHandoverFixture(t)
	completed, running := fixture.submitWithKey("aa"), fixture.submitWithKey("bb")
	fixture.completeRun(completed, admission.OutcomeOK, []byte("x"))
	require.True(t, running.running())
	fixture.successorJoined(fixture.link)
	count := map[string]int{}
	for count["synced"] == 0 {
		require.True(t, fixture.published.Scan())
		cmd, _, _ := strings.Cut(strings.TrimPrefix(fixture.published.Text(), `{"cmd":"`), `"`)
		count[cmd]++
	}
	require.Equal(t, map[string]int{"known": 2, "over": 1, "synced": 1}, count)
	claim := handover.KeyClaim{IdempotencyKey: "cc", Digest: bodyDigest(&Attempt{}), ArrivedAt: fixture.clock.now}
	fixture.receive(claim)
	fixture.expect("grant")
	granted := fixture.submitWithKey("cc")
	require.False(t, granted.running())
	fixture.receive(handover.RunCompleted{IdempotencyKey: "cc", OK: true})
	require.Equal(t, []any{Served, Served}, fixture.recorded)
	fixture.receive(handover.KeyClaim{IdempotencyKey: "bb", ArrivedAt: fixture.clock.now})
	fixture.expect("known")
	fixture.completeRun(running, admission.OutcomeFailed, nil)
	fixture.expect("over")

	// A key that the successor has released may be run here.
	claim.IdempotencyKey = "dd"
	fixture.receive(claim)
	fixture.expect("grant")
	fixture.receive(handover.KeyReleased{IdempotencyKey: "dd"})
	require.True(t, fixture.submitWithKey("dd").running())
	last := string(rune('a' + fixture.lastCall))
	fixture.expect("known")

	// SIGTERM with a successor: no front end is sent elsewhere, and new connections go to the successor.
	fixture.Drain()
	fixture.handleInbox()
	fixture.step()
	require.True(t, fixture.health.healthy)
	require.True(t, fixture.drain.started())
	fixture.deadlines.Sweep(fixture.clock.now)
	require.Equal(t, drainListenersClosed, fixture.drain.phase)
	require.False(t, fixture.finished()) // a front end is still there
	fixture.removeConnection(fixture.connections.get(fixture.recordingConnection))
	require.False(t, fixture.finished()) // the successor still waits for the last result
	fixture.completeRun(fixture.requests.byAttemptID[last], admission.OutcomeOK, nil)
	fixture.expect("over")
	require.True(t, fixture.finished())
}

// Two processes share the file descriptors of one: when a successor joins, the predecessor must close idle connections, but
// no busy ones.
func TestPredecessorClosesIdleConnectionsForSuccessor(t *testing.T) {
	fixture := newHandoverFixture(t)
	fixture.config.Limits.FileDescriptors = 4 * (reservedConnections + 3) // 3 connections for each of two
	busy := fixture.submitWithKey("aa").connection
	var idle []*recordingConnection
	for range 2*(reservedConnections+3) - reservedConnections - 1 {
		conn := &recordingConnection{}
		fixture.ConnectionOpened(conn)
		idle = append(idle, conn)
	}
	fixture.handleInbox()
	fixture.successorJoined(fixture.link)
	require.Equal(t, 3, fixture.connections.size())
	require.NotNil(t, fixture.connections.get(busy))
	fixture.peerEnded(fixture.link)
	fixture.ConnectionOpened(&recordingConnection{})
	fixture.handleInbox()
	require.Equal(t, 4, fixture.connections.size())
	closed := 0
	for _, conn := range idle {
		closed += len(conn.recorded)
	}
	require.Equal(t, len(idle)-2, closed)
}
