package server

import (
	"testing"
	"time"

	"falldeal/admission"
	"falldeal/internal/agent"

	"github.com/stretchr/testify/require"
)

// Tests of events that occur at almost the same time, so that the loop may handle them in either order. docs/races.md lists
// them.

// A second attempt of a request waits for the first, which is cancelled in the turn in which a third arrives. The third
// must not be treated as a first attempt: the second and the third would both run.
func TestFirstAttemptCancelledAgainstThird(t *testing.T) {
	for _, order := range []string{"before the third", "after the third"} {
		t.Run(order, func(t *testing.T) {
			server, conn, handleInbox := newReadyServer(t)
			server.Submit(conn, 1, attemptWithKey(server, "a", "k"))
			server.Submit(conn, 2, attemptWithKey(server, "b", "k"))
			handleInbox()
			if order == "before the third" {
				server.Cancel(conn, 1)
			}
			other := &recordingConnection{}
			server.ConnectionOpened(other)
			server.Submit(other, 1, attemptWithKey(server, "c", "k"))
			if order == "after the third" {
				server.Cancel(conn, 1)
			}
			handleInbox()
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

// A request that is read just as the loop of a drain ends must not be left in the inbox, but be answered before its
// connection closes. The listeners have closed some time before that, so no later requests arrive on new connections.
func TestLastReadDuringShutdown(t *testing.T) {
	server, conn, handleInbox := newReadyServer(t)
	server.config.StopTimeout = time.Second // shorter than the time in which arrivals may be run
	server.Drain()
	server.Drain() // a second SIGTERM
	handleInbox()
	server.step()
	require.Equal(t, server.drain.stopAt-listenerCloseMargin, server.drain.closeListenersAt)
	server.Submit(conn, 1, newAttempt(server, "a", "preview"))
	handleInbox()
	server.step()
	require.True(t, server.requests.byAttemptID["a"].running())
	server.clock.now = server.drain.stopAt
	require.True(t, server.finished())
	server.Submit(conn, 2, newAttempt(server, "b", "preview"))
	server.shutDown()
	require.ElementsMatch(t, []any{"closing", Failed, Rejected, "close"}, conn.recorded)
	require.Equal(t, "close", conn.recorded[3])
}

// Readers may be blocked on a full inbox when the loop ends. The requests that they have read must be answered, too.
func TestBlockedReadersDuringShutdown(t *testing.T) {
	server, conn, handleInbox := newReadyServer(t)
	server.Drain()
	handleInbox()
	server.step()
	server.clock.now = server.drain.stopAt
	server.post(func() { // a blocked reader takes the room that this event leaves
		server.Submit(conn, 1, newAttempt(server, "a", "preview"))
	})
	for server.inbox.waiting() < inboxCapacity {
		server.post(func() {})
	}
	server.shutDown()
	require.Equal(t, []any{"closing", Rejected, "close"}, conn.recorded)
}

// The link to the agent must be checked until the handshake and no longer: an idle server has no timer for it.
func TestAgentIsCheckedUntilHandshake(t *testing.T) {
	server, _ := newServerWithoutLoop(t)
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

// If SIGTERM arrives while the agent boots, the time in which new requests may run must count from the signal, not from
// when the controller learns of it.
func TestDrainDuringAgentStart(t *testing.T) {
	for _, drainFirst := range []bool{true, false} {
		server, handleInbox := newServerWithoutLoop(t)
		server.config.StopTimeout = time.Minute
		handshake := func() {
			startAgent(server)
			server.step()
		}
		if !drainFirst {
			handshake()
		}
		server.Drain()
		handleInbox()
		server.step()
		server.clock.now += 2 * time.Second
		if drainFirst {
			handshake()
		}
		conn := &recordingConnection{}
		server.ConnectionOpened(conn)
		server.clock.now += server.config.Settings.DrainGrace - time.Second
		server.Submit(conn, 1, newAttempt(server, "a", "preview"))
		handleInbox()
		server.step()
		require.Equal(t, []any{"closing", Rejected}, conn.recorded, "drain first: %v", drainFirst)
		require.Zero(t, server.stats.Runs)
	}
}

// A longer grace period in a configuration that is loaded during a drain must not replace the one with which the drain
// started.
func TestReloadDuringDrainKeepsGracePeriod(t *testing.T) {
	server, _, handleInbox := newReadyServer(t)
	loaded := *server.config.Config
	loaded.Settings.DrainGrace *= 2
	server.Drain()
	gracePeriod := server.config.Settings.DrainGrace
	server.Reload(&loaded)
	handleInbox()
	require.Equal(t, gracePeriod, server.config.Settings.DrainGrace)
	require.EqualValues(t, 1, server.stats.Reloads)
}

// If a successor joins while this process drains, this process must stop its announcements, so that the successor is listed.
func TestSuccessorJoinsDuringDrain(t *testing.T) {
	fixture := newHandoverFixture(t)
	fixture.Drain()
	fixture.handleInbox()
	fixture.successorJoined(fixture.link)
	fixture.announcer.SetAccepting(false)
	require.True(t, fixture.announcer.Stopped())
	fixture.expect("synced")
}

// If the clock is set back after a request was stamped and before it is read, the request must not be rejected for an
// arrival time in the future.
func TestClockSetBackBeforeRequest(t *testing.T) {
	server, conn, handleInbox := newReadyServer(t)
	at := time.Now()
	server.clock.read = func() time.Time { return at }
	server.clock.advance()
	stamped := newAttempt(server, "a", "preview")
	stamped.ArrivedAt = time.Duration(at.UnixNano())
	at = at.Round(0).Add(-time.Hour)
	server.clock.advance()
	server.Submit(conn, 1, stamped)
	handleInbox()
	server.step()
	require.Empty(t, conn.recorded)
	require.True(t, server.requests.byAttemptID["a"].running())
	stamped.ID, stamped.ArrivedAt = "b", stamped.ArrivedAt+time.Hour // an arrival time in the future is still invalid
	server.Submit(conn, 2, stamped)
	handleInbox()
	require.Equal(t, []any{Invalid}, conn.recorded)
}

// If all runs are lost with the agent, each request that waits for them must get one answer, and none may run again.
func TestRunsLostAgainstRetry(t *testing.T) {
	for _, first := range []string{"retry", "loss"} {
		server, conn, handleInbox := newReadyServer(t)
		server.Submit(conn, 1, attemptWithKey(server, "a", "k"))
		handleInbox()
		server.step()
		if first == "loss" {
			server.handleRunsLost()
		}
		server.Submit(conn, 2, attemptWithKey(server, "b", "k"))
		handleInbox()
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

// If the window of a key ends during its run, the entry must stay until the run has ended, so that its result is found.
func TestIdempotencyWindowEndsDuringRun(t *testing.T) {
	server, conn, handleInbox := newReadyServer(t)
	server.Submit(conn, 1, attemptWithKey(server, "a", "k"))
	handleInbox()
	server.step()
	request := server.requests.byAttemptID["a"]
	server.clock.now += server.config.Settings.Classes[2].IdempotencyWindow / 2
	server.deadlines.Sweep(server.clock.now)
	server.step()
	require.Equal(t, []any{Failed}, conn.recorded)           // answered in time, although the run continues
	server.Submit(conn, 2, attemptWithKey(server, "b", "k")) // within the window
	handleInbox()
	server.step()
	server.clock.now += 10 * server.config.Settings.Classes[2].IdempotencyWindow
	server.completeRun(request, admission.OutcomeOK, []byte("done"))
	require.Equal(t, []any{Failed, Served}, conn.recorded)
	require.EqualValues(t, 1, server.stats.Runs)
	server.clock.now += server.config.maxArrivalAge()
	server.deadlines.Sweep(server.clock.now)
	require.Zero(t, server.idempotency.size())
}

// A predecessor that drains must wait for the results of the requests that it runs, which answer retries at the successor.
func TestPredecessorWaitsForItsRuns(t *testing.T) {
	fixture := newHandoverFixture(t)
	run := fixture.submitWithKey("aa")
	fixture.successorJoined(fixture.link)
	fixture.expect("known")
	fixture.expect("synced")
	fixture.Drain()
	fixture.handleInbox()
	fixture.step()
	fixture.deadlines.Sweep(fixture.clock.now)
	fixture.listeners.serving = 0
	fixture.ReadEnded(fixture.recordingConnection, Disconnected)
	fixture.handleInbox()
	require.False(t, fixture.finished())
	fixture.completeRun(run, admission.OutcomeOK, []byte("done"))
	fixture.expect("over")
	require.True(t, fixture.finished())
}
