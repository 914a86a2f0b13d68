package server

import (
	"slices"
	"testing"
	"time"

	"falldeal/admission"
	"falldeal/internal/agent"
	"falldeal/internal/handover"

	"github.com/stretchr/testify/require"
)

// Events that cross in one turn of the loop, in both orders; docs/races.md lists them.

// newReadyServer is a server whose agent is up, and a front end on it.
func newReadyServer(t *testing.T) (server *Server, conn *recordingConnection, runPosted func()) {
	server, runPosted = newIdleServer(t)
	server.handleHandshake(agent.Notification{Kind: agent.Handshake, Result: agent.Steady})
	conn = &recordingConnection{}
	server.ConnectionOpened(conn)
	runPosted()
	server.step()
	return server, conn, runPosted
}

func keyedAttempt(server *Server, id string) Attempt {
	return Attempt{ID: id, IdempotencyKey: "k", Class: "licence-order", ArrivedAt: server.clock.now, Timeout: 3 * time.Second, MemoryKB: 1}
}

// The first try of an order goes in the turn in which a third comes, while a second waits for the first: the third was
// taken for a first one beside the second, and both ran.
func TestFirstAttemptCancelledAgainstThird(t *testing.T) {
	for _, order := range []string{"before the third", "after the third"} {
		t.Run(order, func(t *testing.T) {
			server, conn, runPosted := newReadyServer(t)
			server.Submit(conn, 1, keyedAttempt(server, "a"))
			server.Submit(conn, 2, keyedAttempt(server, "b"))
			runPosted()
			if order == "before the third" {
				server.Cancel(conn, 1)
			}
			other := &recordingConnection{}
			server.ConnectionOpened(other)
			server.Submit(other, 1, keyedAttempt(server, "c"))
			if order == "after the third" {
				server.Cancel(conn, 1)
			}
			runPosted()
			server.step()
			require.EqualValues(t, 1, server.stats.Runs)
			for _, id := range []string{"b", "c"} {
				if r := server.requests.byAttemptID[id]; r != nil && r.running() {
					server.completeRun(r, admission.OutcomeOK, []byte("done"))
				}
			}
			server.step()
			require.Equal(t, []any{Served}, conn.received)
			require.Equal(t, []any{Served}, other.received)
			require.EqualValues(t, 1, server.stats.Runs)
		})
	}
}

// A request is read just as the loop of a drain ends: it is still answered, before the connection is closed. It was left
// in the input, and lost. One that comes later finds the listener closed: that is some time before the end.
func TestLastReadDuringShutdown(t *testing.T) {
	server, conn, runPosted := newReadyServer(t)
	server.config.StopTimeout = time.Second // shorter than the time in which arrivals may be run
	server.Drain()
	server.Drain() // a second SIGTERM
	runPosted()
	server.step()
	require.Equal(t, server.drain.stopAt-listenerCloseLead, server.drain.closeListenersAt)
	server.Submit(conn, 1, Attempt{ID: "a", Class: "preview", ArrivedAt: server.clock.now, Timeout: 3 * time.Second, MemoryKB: 1})
	runPosted()
	server.step()
	require.True(t, server.requests.byAttemptID["a"].running())
	server.clock.now = server.drain.stopAt
	require.True(t, server.finished())
	server.Submit(conn, 2, Attempt{ID: "b", Class: "preview", ArrivedAt: server.clock.now, Timeout: 3 * time.Second, MemoryKB: 1})
	server.shutDown()
	require.ElementsMatch(t, []any{"closing", Failed, Rejected, "close"}, conn.received)
	require.Equal(t, "close", conn.received[3])
}

// A connection that is to be closed is found to be in use: something comes before it was read, between its last reading and
// the close, or while what came has no answer yet. All of it is answered, and then the connection goes. One on which
// messages come without an end goes as well.
func TestMessageDuringClose(t *testing.T) {
	const finish, shut = "close", "close" // as peer notes them
	for name, testCase := range map[string]struct {
		comes []string
		want  []any
	}{
		"nothing":      {nil, []any{finish, "end", shut}},
		"before":       {[]string{"before"}, []any{finish, "closing", "resume", Served, finish, "end", shut}},
		"between":      {[]string{"between"}, []any{finish, "end", "closing", "resume", Served, finish, "end", shut}},
		"while in use": {[]string{"before", "after"}, []any{finish, "closing", "resume", Served, Served, finish, "end", shut}},
		"without end":  {},
	} {
		t.Run(name, func(t *testing.T) {
			server, conn, runPosted := newReadyServer(t)
			calls := uint32(0)
			submitIf := func(when string) {
				if !slices.Contains(testCase.comes, when) {
					return
				}
				calls++
				server.Submit(conn, calls, Attempt{ID: when, Class: "preview", ArrivedAt: server.clock.now, Timeout: 3 * time.Second, MemoryKB: 1})
			}
			turn := func() {
				runPosted()
				server.step()
				server.advanceClosing()
			}
			server.beginClose(server.connections.get(conn))
			turn()
			if name == "without end" {
				conn.failedCloses = 100
				for range maxDrainReads {
					require.False(t, server.connections.empty())
					server.ReadEnded(conn, ReadPaused)
					turn()
				}
				server.ReadEnded(conn, ReadPaused)
				turn()
				require.Equal(t, shut, conn.received[len(conn.received)-1])
				require.Len(t, conn.received, maxDrainReads+2)
				require.True(t, server.connections.empty())
				return
			}
			submitIf("before")
			if name == "between" {
				conn.failedCloses = 1
			}
			server.ReadEnded(conn, ReadPaused)
			turn()
			if name == "between" {
				submitIf("between")
				server.ReadEnded(conn, ReadPaused)
				turn()
			}
			submitIf("after")
			turn()
			for _, when := range testCase.comes {
				server.completeRun(server.requests.byAttemptID[when], admission.OutcomeOK, nil)
			}
			turn()
			if len(testCase.comes) > 0 {
				server.ReadEnded(conn, ReadPaused)
				turn()
			}
			require.Equal(t, testCase.want, conn.received)
			require.True(t, server.connections.empty())
		})
	}
}

// Readers wait for room in the input of the loop as that ends: what they have read is answered like what was in it. It was
// left unread.
func TestBlockedReadersDuringShutdown(t *testing.T) {
	server, conn, runPosted := newReadyServer(t)
	server.Drain()
	runPosted()
	server.step()
	server.clock.now = server.drain.stopAt
	server.post(func() { // room is made, and taken by one that waited
		server.Submit(conn, 1, Attempt{ID: "a", Class: "preview", ArrivedAt: server.clock.now, Timeout: 3 * time.Second, MemoryKB: 1})
	})
	for server.inbox.waiting() < inboxCapacity {
		server.post(func() {})
	}
	server.shutDown()
	require.Equal(t, []any{"closing", Rejected, "close"}, conn.received)
}

// The link to an agent that has not greeted is looked at, and no longer once it has: a server at rest has no timer for it.
func TestAgentIsCheckedUntilHandshake(t *testing.T) {
	server, _ := newIdleServer(t)
	server.checkAgentUntilUp()
	for range 3 {
		at, ok := server.deadlines.Next()
		require.True(t, ok)
		require.Equal(t, server.clock.now+agentCheckInterval, at)
		server.clock.now = at
		server.deadlines.Sweep(at)
	}
	server.handleHandshake(agent.Notification{Kind: agent.Handshake, Result: agent.Booting})
	server.clock.now += agentCheckInterval
	server.deadlines.Sweep(server.clock.now)
	require.Zero(t, server.deadlines.Len())
}

// SIGTERM comes while the agent boots: the time in which arrivals may be run counts from the notice, not from when the
// controller heard of it.
func TestDrainDuringAgentStart(t *testing.T) {
	for _, drainFirst := range []bool{true, false} {
		server, runPosted := newIdleServer(t)
		server.config.StopTimeout = time.Minute
		handshake := func() {
			server.handleHandshake(agent.Notification{Kind: agent.Handshake, Result: agent.Steady})
			server.step()
		}
		if !drainFirst {
			handshake()
		}
		server.Drain()
		runPosted()
		server.step()
		server.clock.now += 2 * time.Second
		if drainFirst {
			handshake()
		}
		conn := &recordingConnection{}
		server.ConnectionOpened(conn)
		server.clock.now += server.config.Settings.DrainGrace - time.Second
		server.Submit(conn, 1, Attempt{ID: "a", Class: "preview", ArrivedAt: server.clock.now, Timeout: 3 * time.Second, MemoryKB: 1})
		runPosted()
		server.step()
		require.Equal(t, []any{"closing", Rejected}, conn.received, "notice first: %v", drainFirst)
		require.Zero(t, server.stats.Runs)
	}
}

// A configuration with a longer time for arrivals comes during a drain: the notice was given under the old one.
func TestReloadDuringDrain(t *testing.T) {
	server, _, runPosted := newReadyServer(t)
	fresh := *server.config.Config
	fresh.Settings.DrainGrace *= 2
	server.Drain()
	gracePeriod := server.config.Settings.DrainGrace
	server.Reload(&fresh, nil)
	runPosted()
	require.Equal(t, gracePeriod, server.config.Settings.DrainGrace)
	require.EqualValues(t, 1, server.stats.Reloads)
}

// A newer process joins while this one drains: it is to be listed, and this one must not report that it is not.
func TestSuccessorJoinsDuringDrain(t *testing.T) {
	fixture := newHandoverFixture(t)
	fixture.Drain()
	fixture.runPosted()
	fixture.successorJoined(fixture.link)
	fixture.announcer.Set(false)
	require.True(t, fixture.announcer.Silent())
	fixture.expect("synced")
}

// The clock is set back between the stamp of a request and its reading: it is no request from the future.
func TestClockSetBackBeforeRequest(t *testing.T) {
	server, conn, runPosted := newReadyServer(t)
	at := time.Now()
	server.clock.read = func() time.Time { return at }
	server.clock.advance()
	stamped := Attempt{ID: "a", Class: "preview", ArrivedAt: time.Duration(at.UnixNano()), Timeout: 3 * time.Second, MemoryKB: 1}
	at = at.Round(0).Add(-time.Hour)
	server.clock.advance()
	server.Submit(conn, 1, stamped)
	runPosted()
	server.step()
	require.Empty(t, conn.received)
	require.True(t, server.requests.byAttemptID["a"].running())
	stamped.ID, stamped.ArrivedAt = "b", stamped.ArrivedAt+time.Hour // one from the future is still wrong
	server.Submit(conn, 2, stamped)
	runPosted()
	require.Equal(t, []any{Invalid}, conn.received)
}

// All runs are lost with the agent: what waits for them is answered, once, and no order of theirs runs again.
func TestRunsLostAgainstRetry(t *testing.T) {
	for _, first := range []string{"repeat", "loss"} {
		server, conn, runPosted := newReadyServer(t)
		server.Submit(conn, 1, keyedAttempt(server, "a"))
		runPosted()
		server.step()
		if first == "loss" {
			server.handleRunsLost()
		}
		server.Submit(conn, 2, keyedAttempt(server, "b"))
		runPosted()
		server.step()
		if first == "repeat" {
			server.handleRunsLost()
		}
		server.step()
		require.Equal(t, []any{Failed, Failed}, conn.received, first)
		require.EqualValues(t, 1, server.stats.Runs, first)
		require.Empty(t, server.requests.byID, first)
	}
}

// The entry of an order runs out while its run goes on: the run keeps it until its end, and its end finds it.
func TestIdempotencyWindowEndsDuringRun(t *testing.T) {
	server, conn, runPosted := newReadyServer(t)
	server.Submit(conn, 1, keyedAttempt(server, "a"))
	runPosted()
	server.step()
	request := server.requests.byAttemptID["a"]
	server.clock.now += server.config.Settings.Classes[2].IdempotencyWindow / 2
	server.deadlines.Sweep(server.clock.now)
	server.step()
	require.Equal(t, []any{Failed}, conn.received)    // in time, though it runs
	server.Submit(conn, 2, keyedAttempt(server, "b")) // within the window
	runPosted()
	server.step()
	server.clock.now += 10 * server.config.Settings.Classes[2].IdempotencyWindow
	server.completeRun(request, admission.OutcomeOK, []byte("done"))
	require.Equal(t, []any{Failed, Served}, conn.received)
	require.EqualValues(t, 1, server.stats.Runs)
	server.clock.now += server.config.maxArrivalAge()
	server.deadlines.Sweep(server.clock.now)
	require.Zero(t, server.idempotency.size())
}

// The older process ends while an order that it ran has not ended, or just after: its result answers tries at the newer.
func TestPredecessorEndsDuringItsRun(t *testing.T) {
	fixture := newHandoverFixture(t)
	run := fixture.submitKeyed("aa")
	fixture.successorJoined(fixture.link)
	fixture.expect("known")
	fixture.expect("synced")
	fixture.Drain()
	fixture.runPosted()
	fixture.step()
	fixture.deadlines.Sweep(fixture.clock.now)
	fixture.listeners.serving = 0
	fixture.ReadEnded(fixture.recordingConnection, Disconnected)
	fixture.runPosted()
	require.False(t, fixture.finished())
	fixture.completeRun(run, admission.OutcomeOK, []byte("done"))
	fixture.expect(string(handover.Completed))
	require.True(t, fixture.finished())
}
