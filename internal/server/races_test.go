package server

import (
	"testing"
	"time"

	"falldeal/admission"
	"falldeal/internal/agent"

	"github.com/stretchr/testify/require"
)

// Events that cross in one turn of the loop, in both orders; docs/races.md lists them.

// The first attempt of a request is cancelled in the turn in which a third arrives, while a second waits for the first.
// The third was taken for a first one beside the second, and both ran.
func TestFirstAttemptCancelledAgainstThird(t *testing.T) {
	for _, order := range []string{"before the third", "after the third"} {
		t.Run(order, func(t *testing.T) {
			server, conn, runPosted := newReadyServer(t)
			server.Submit(conn, 1, attemptWithKey(server, "a", "k"))
			server.Submit(conn, 2, attemptWithKey(server, "b", "k"))
			runPosted()
			if order == "before the third" {
				server.Cancel(conn, 1)
			}
			other := &recordingConnection{}
			server.ConnectionOpened(other)
			server.Submit(other, 1, attemptWithKey(server, "c", "k"))
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
			require.Equal(t, []any{Served}, conn.recorded)
			require.Equal(t, []any{Served}, other.recorded)
			require.EqualValues(t, 1, server.stats.Runs)
		})
	}
}

// A request is read just as the loop of a drain ends: it is answered before the connection closes. It was left in the
// inbox, and lost. Later requests find the listener closed, which happens some time before the end.
func TestLastReadDuringShutdown(t *testing.T) {
	server, conn, runPosted := newReadyServer(t)
	server.config.StopTimeout = time.Second // shorter than the time in which arrivals may be run
	server.Drain()
	server.Drain() // a second SIGTERM
	runPosted()
	server.step()
	require.Equal(t, server.drain.stopAt-listenerCloseMargin, server.drain.closeListenersAt)
	server.Submit(conn, 1, newAttempt(server, "a", "preview"))
	runPosted()
	server.step()
	require.True(t, server.requests.byAttemptID["a"].running())
	server.clock.now = server.drain.stopAt
	require.True(t, server.finished())
	server.Submit(conn, 2, newAttempt(server, "b", "preview"))
	server.shutDown()
	require.ElementsMatch(t, []any{"closing", Failed, Rejected, "close"}, conn.recorded)
	require.Equal(t, "close", conn.recorded[3])
}

// Readers wait for room in the inbox as the loop ends: the requests they have read are answered like those in the
// inbox. They were left unread.
func TestBlockedReadersDuringShutdown(t *testing.T) {
	server, conn, runPosted := newReadyServer(t)
	server.Drain()
	runPosted()
	server.step()
	server.clock.now = server.drain.stopAt
	server.post(func() { // a reader that waited takes the room that this event leaves
		server.Submit(conn, 1, newAttempt(server, "a", "preview"))
	})
	for server.inbox.waiting() < inboxCapacity {
		server.post(func() {})
	}
	server.shutDown()
	require.Equal(t, []any{"closing", Rejected, "close"}, conn.recorded)
}

// The link to the agent is checked until the handshake, and no longer: an idle server has no timer for it.
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
	server.handleHandshake(agent.Handshake{State: agent.Booting})
	server.clock.now += agentCheckInterval
	server.deadlines.Sweep(server.clock.now)
	require.Zero(t, server.deadlines.Len())
}

// SIGTERM arrives while the agent boots: the time in which new requests may be run counts from the signal, not from
// when the controller learned of it.
func TestDrainDuringAgentStart(t *testing.T) {
	for _, drainFirst := range []bool{true, false} {
		server, runPosted := newIdleServer(t)
		server.config.StopTimeout = time.Minute
		handshake := func() {
			startAgent(server)
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
		server.Submit(conn, 1, newAttempt(server, "a", "preview"))
		runPosted()
		server.step()
		require.Equal(t, []any{"closing", Rejected}, conn.recorded, "drain first: %v", drainFirst)
		require.Zero(t, server.stats.Runs)
	}
}

// A configuration with a longer grace period arrives during a drain: the one under which the drain began stays.
func TestReloadDuringDrain(t *testing.T) {
	server, _, runPosted := newReadyServer(t)
	loaded := *server.config.Config
	loaded.Settings.DrainGrace *= 2
	server.Drain()
	gracePeriod := server.config.Settings.DrainGrace
	server.Reload(&loaded)
	runPosted()
	require.Equal(t, gracePeriod, server.config.Settings.DrainGrace)
	require.EqualValues(t, 1, server.stats.Reloads)
}

// A successor joins while this process drains: the successor is to be listed, so this process stops its reports.
func TestSuccessorJoinsDuringDrain(t *testing.T) {
	fixture := newHandoverFixture(t)
	fixture.Drain()
	fixture.runPosted()
	fixture.successorJoined(fixture.link)
	fixture.announcer.SetAccepting(false)
	require.True(t, fixture.announcer.Stopped())
	fixture.expect("synced")
}

// The clock is set back after a request was stamped and before it is read: that is no request from the future.
func TestClockSetBackBeforeRequest(t *testing.T) {
	server, conn, runPosted := newReadyServer(t)
	at := time.Now()
	server.clock.read = func() time.Time { return at }
	server.clock.advance()
	stamped := newAttempt(server, "a", "preview")
	stamped.ArrivedAt = time.Duration(at.UnixNano())
	at = at.Round(0).Add(-time.Hour)
	server.clock.advance()
	server.Submit(conn, 1, stamped)
	runPosted()
	server.step()
	require.Empty(t, conn.recorded)
	require.True(t, server.requests.byAttemptID["a"].running())
	stamped.ID, stamped.ArrivedAt = "b", stamped.ArrivedAt+time.Hour // one from the future is still wrong
	server.Submit(conn, 2, stamped)
	runPosted()
	require.Equal(t, []any{Invalid}, conn.recorded)
}

// All runs are lost with the agent: each request that waits for them gets one answer, and none runs again.
func TestRunsLostAgainstRetry(t *testing.T) {
	for _, first := range []string{"retry", "loss"} {
		server, conn, runPosted := newReadyServer(t)
		server.Submit(conn, 1, attemptWithKey(server, "a", "k"))
		runPosted()
		server.step()
		if first == "loss" {
			server.handleRunsLost()
		}
		server.Submit(conn, 2, attemptWithKey(server, "b", "k"))
		runPosted()
		server.step()
		if first == "retry" {
			server.handleRunsLost()
		}
		server.step()
		require.Equal(t, []any{Failed, Failed}, conn.recorded, first)
		require.EqualValues(t, 1, server.stats.Runs, first)
		require.Empty(t, server.requests.byID, first)
	}
}

// The window of a key ends while its run goes on: the entry stays until the run has ended, and its result is found.
func TestIdempotencyWindowEndsDuringRun(t *testing.T) {
	server, conn, runPosted := newReadyServer(t)
	server.Submit(conn, 1, attemptWithKey(server, "a", "k"))
	runPosted()
	server.step()
	request := server.requests.byAttemptID["a"]
	server.clock.now += server.config.Settings.Classes[2].IdempotencyWindow / 2
	server.deadlines.Sweep(server.clock.now)
	server.step()
	require.Equal(t, []any{Failed}, conn.recorded)           // in time, though it runs
	server.Submit(conn, 2, attemptWithKey(server, "b", "k")) // within the window
	runPosted()
	server.step()
	server.clock.now += 10 * server.config.Settings.Classes[2].IdempotencyWindow
	server.completeRun(request, admission.OutcomeOK, []byte("done"))
	require.Equal(t, []any{Failed, Served}, conn.recorded)
	require.EqualValues(t, 1, server.stats.Runs)
	server.clock.now += server.config.maxArrivalAge()
	server.deadlines.Sweep(server.clock.now)
	require.Zero(t, server.idempotency.size())
}

// The predecessor drains while a request that it runs has not ended: it waits for the result, which answers retries at
// the successor.
func TestPredecessorEndsDuringItsRun(t *testing.T) {
	fixture := newHandoverFixture(t)
	run := fixture.submitWithKey("aa")
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
	fixture.expect("over")
	require.True(t, fixture.finished())
}
