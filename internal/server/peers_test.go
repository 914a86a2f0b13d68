package server

import (
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"falldeal/admission"
	"falldeal/internal/agent"
	"falldeal/internal/handover"
	"falldeal/internal/keyauthority"
	"falldeal/internal/sharelock"

	"github.com/stretchr/testify/require"
)

// newSuccessorFixture returns a server that serves as the successor of the process that the test acts as, whose lock is held
// until exit is called.
func newSuccessorFixture(t *testing.T) (fixture *handoverFixture, exit func()) {
	fixture, other := newFixtureWithOtherProcess(t)
	fixture.predecessorJoined(fixture.link)
	fixture.receive(handover.KeysSynced{})
	require.True(t, fixture.listeners.opened)
	return fixture, func() { require.NoError(t, other.Close()) }
}

// newFixtureWithOtherProcess returns a server that shares its limits with another process, which holds the returned lock.
func newFixtureWithOtherProcess(t *testing.T) (*handoverFixture, *sharelock.Locks) {
	fixture := newHandoverFixture(t)
	path := filepath.Join(t.TempDir(), "shares")
	fixture.ShareLimits(openTestLocks(t, path), 1, func(int) {})
	other := openTestLocks(t, path)
	fixture.watchProcesses()
	return fixture, other
}

// pass lets time pass, with a turn every sharedCheckInterval.
func (f *handoverFixture) pass(time time.Duration) {
	for end := f.clock.now + time; f.clock.now < end; {
		f.clock.now = min(f.clock.now+sharedCheckInterval, end)
		f.deadlines.Sweep(f.clock.now)
		f.step()
	}
}

// The end of the link must not count as the end of the predecessor: both ran every key then, and orders were run twice.
func TestLostLinkIsNotExitOfPredecessor(t *testing.T) {
	fixture, exit := newSuccessorFixture(t)
	known := handover.KeyKnown{IdempotencyKey: "aa", Digest: bodyDigest(&Attempt{}), WindowEnd: fixture.clock.now + time.Hour}
	fixture.receive(known)
	fixture.receive(handover.RunCompleted{IdempotencyKey: "aa", OK: true})
	fixture.submitWithKey("bb")
	require.False(t, fixture.peerEnded(fixture.link))
	require.Empty(t, fixture.recorded, "the predecessor may be about to exit")
	fixture.pass(time.Second)
	require.Equal(t, []any{Failed}, fixture.recorded)

	require.Nil(t, fixture.submitWithKey("cc"), "nobody can be asked")
	require.Nil(t, fixture.submitWithKey("aa"))
	require.Equal(t, []any{Failed, Failed, Served}, fixture.recorded, "a known key is still answered")
	require.EqualValues(t, 2, fixture.stats.KeysUndecided)

	exit()
	fixture.pass(fixture.config.longestIdempotencyWindow())
	require.Nil(t, fixture.submitWithKey("dd"), "the predecessor may have run it without a link")
	require.Zero(t, fixture.stats.Runs)
	fixture.pass(time.Second)
	require.True(t, fixture.submitWithKey("ee").running())
}

// A predecessor that exits with its link must not keep its successor from running keys.
func TestSuccessorRunsKeysAfterExitOfPredecessor(t *testing.T) {
	fixture, exit := newSuccessorFixture(t)
	waiting := fixture.submitWithKey("aa")
	fixture.peerEnded(fixture.link)
	require.False(t, waiting.running())
	exit()
	fixture.pass(sharedCheckInterval)
	require.True(t, waiting.running())
	require.True(t, fixture.submitWithKey("bb").running())
}

// A predecessor that has announced that it runs nothing more must not keep its successor waiting until it exits.
func TestSuccessorRunsKeysOncePredecessorRunsNothing(t *testing.T) {
	fixture, _ := newSuccessorFixture(t)
	waiting := fixture.submitWithKey("aa")
	fixture.receive(handover.RunsEnded{})
	require.True(t, waiting.running())
	fixture.peerEnded(fixture.link)
	fixture.pass(time.Second)
	require.True(t, fixture.submitWithKey("bb").running())
}

// A link that ends before the keys are synchronized must not make this process serve without them: it then ran again what the
// predecessor had run.
func TestLinkLostBeforeSyncIsJoinedAgain(t *testing.T) {
	fixture, other := newFixtureWithOtherProcess(t)
	known := handover.KeyKnown{IdempotencyKey: "aa", Digest: bodyDigest(&Attempt{}), WindowEnd: fixture.clock.now + time.Hour}
	fixture.predecessorJoined(fixture.link)
	fixture.receive(known)
	require.True(t, fixture.peerEnded(fixture.link))
	fixture.pass(time.Second)
	require.False(t, fixture.listeners.opened)

	again := &handover.Link{Queue: fixture.link.Queue}
	fixture.predecessorJoined(again)
	fixture.handlePeerMessage(again, known)
	fixture.handlePeerMessage(again, handover.RunCompleted{IdempotencyKey: "aa", OK: true})
	fixture.handlePeerMessage(again, handover.KeysSynced{})
	require.True(t, fixture.listeners.opened)
	fixture.submitWithKey("aa")
	require.Equal(t, []any{Served}, fixture.recorded)
	require.NoError(t, other.Close())
}

// If the predecessor has exited before its keys were known, they must not run again before their windows have ended.
func TestKeysOfCrashedPredecessorDoNotRunAgain(t *testing.T) {
	fixture, other := newFixtureWithOtherProcess(t)
	fixture.predecessorJoined(fixture.link)
	require.NoError(t, other.Close())
	require.True(t, fixture.peerEnded(fixture.link))
	fixture.predecessorJoined(nil)
	require.True(t, fixture.listeners.opened)
	require.Nil(t, fixture.submitWithKey("aa"))
	require.Equal(t, []any{Failed}, fixture.recorded)
	fixture.pass(fixture.config.longestIdempotencyWindow() + time.Second)
	require.True(t, fixture.submitWithKey("bb").running())
}

// A predecessor that has lost its link to a running successor must continue to decide, and SIGTERM must not announce
// that the image server takes no work: the successor serves. If the successor is of an older version, which then runs keys
// unasked, this process must run no key that it does not know.
func TestPredecessorContinuesWithoutLink(t *testing.T) {
	for _, asks := range []bool{true, false} {
		t.Run(fmt.Sprintf("successor asks: %v", asks), func(t *testing.T) {
			fixture, _ := newFixtureWithOtherProcess(t)
			fixture.successorJoined(fixture.link)
			fixture.receivePost() // the memory was limited
			fixture.expect("synced")
			fixture.receive(handover.KeyClaim{IdempotencyKey: "aa", ArrivedAt: fixture.clock.now, AwaitsExit: asks})
			fixture.expect("grant")
			fixture.peerEnded(fixture.link)
			fixture.pass(time.Second)
			unknown := fixture.submitWithKey("bb")
			if asks {
				require.True(t, unknown.running())
			} else {
				require.Equal(t, []any{Failed}, fixture.recorded)
			}
			runs := fixture.stats.Runs
			fixture.submitWithKey("aa")
			require.Equal(t, runs, fixture.stats.Runs, "it was granted to the successor")
			fixture.Drain()
			fixture.handleInbox()
			require.True(t, fixture.drain.replaced)
		})
	}
}

// Requests that the predecessor rejects must not send anything: clients that repeat what is rejected filled the link, which
// then ended while both processes ran.
func TestRejectedRequestsSendNothing(t *testing.T) {
	fixture := newHandoverFixture(t)
	fixture.successorJoined(fixture.link)
	fixture.expect("synced")
	for i := range 10_000 {
		fixture.lastCall++
		attempt := attemptWithKey(fixture.Server, fmt.Sprintf("%016x", i), fmt.Sprintf("%032x", i))
		attempt.Timeout = time.Millisecond
		fixture.Submit(fixture.recordingConnection, fixture.lastCall, attempt)
		fixture.handleInbox()
		fixture.step()
	}
	require.Len(t, fixture.recorded, 10_000)
	require.Zero(t, fixture.stats.Runs)
	require.Zero(t, fixture.link.Unwritten())
	require.Zero(t, fixture.tables().PeerKeys)
}

// The messages that wait for a process that does not read must be bounded by the number of keys, and not by that of requests.
func TestMessagesToProcessThatDoesNotReadAreBounded(t *testing.T) {
	fixture := newHandoverFixture(t)
	fixture.successorJoined(fixture.link)
	fixture.expect("synced")
	for i := range 500 {
		request := fixture.submitWithKey(fmt.Sprintf("%032x", i))
		require.True(t, request.running())
		fixture.handleCommandRejected(agent.CommandRejection{Command: agent.CommandLaunch, RequestID: request.attempt.ID})
		fixture.step()
	}
	require.LessOrEqual(t, fixture.link.Unwritten(), maxUnwrittenChanges)
	require.LessOrEqual(t, fixture.tables().PeerKeys, maxUnwrittenChanges)
	outbox := fixture.handover.outboxes[fixture.link]
	require.LessOrEqual(t, len(outbox.announced), 2*maxUnwrittenChanges)
}

// submitMany submits requests with different keys on connections of their own, 32 on each.
func (f *handoverFixture) submitMany(count int, timeout time.Duration) {
	var conn *countingConnection
	for i := range count {
		if i%32 == 0 {
			conn = &countingConnection{server: f.Server}
			f.ConnectionOpened(conn)
		}
		attempt := attemptWithKey(f.Server, fmt.Sprintf("%016x", f.lastCall), fmt.Sprintf("%032x", f.lastCall))
		attempt.Timeout = timeout
		f.Submit(conn, uint32(i%32)+1, attempt)
		f.lastCall++
		f.handleInbox()
	}
	f.step()
}

// Clients must not be able to fill the link with claims: no more may be in flight than the predecessor answers. Claims whose
// requests have ended must not be sent, nor kept.
func TestClaimsInFlightAreLimited(t *testing.T) {
	fixture, _ := newSuccessorFixture(t)
	fixture.config.Limits.FileDescriptors = 1 << 20
	fixture.submitMany(10*maxClaimsInFlight, 5*time.Second)
	require.EqualValues(t, maxClaimsInFlight, fixture.stats.Claims)
	require.LessOrEqual(t, fixture.link.Unwritten(), maxClaimsInFlight)
	require.Equal(t, 10*maxClaimsInFlight, fixture.handover.claims.size())

	fixture.expect("claim")
	first := parsePublished(t, fixture.published.Bytes())
	fixture.receive(handover.KeyGranted{IdempotencyKey: first.Key})
	require.EqualValues(t, maxClaimsInFlight+1, fixture.stats.Claims)
	require.Equal(t, maxClaimsInFlight, fixture.handover.claims.inFlight)

	fixture.pass(claimTimeout)
	require.Equal(t, maxClaimsInFlight, fixture.handover.claims.size(), "those that the predecessor has not answered")
	require.Zero(t, fixture.handover.claims.unsent.Len())
	require.EqualValues(t, maxClaimsInFlight+1, fixture.stats.Claims)
	require.Equal(t, 1, fixture.requests.size(), "the one that was granted")
}

// Keys that the successor has claimed and released must leave nothing behind. Their entries were kept until the end of the
// longest window, so that they grew with the rate of requests that the successor rejected.
func TestReleasedKeysLeaveNoDeadlines(t *testing.T) {
	fixture := newHandoverFixture(t)
	fixture.successorJoined(fixture.link)
	fixture.expect("synced")
	deadlines := fixture.deadlines.Len()
	for i := range 1000 {
		key := fmt.Sprintf("%032x", i)
		fixture.receive(handover.KeyClaim{IdempotencyKey: key, ArrivedAt: fixture.clock.now, AwaitsExit: true})
		fixture.expect("grant")
		fixture.receive(handover.KeyReleased{IdempotencyKey: key})
	}
	require.LessOrEqual(t, fixture.deadlines.Len(), deadlines+2, "those of the controller's next step")
	require.Zero(t, fixture.idempotency.size())
	require.Empty(t, fixture.handover.outboxes[fixture.link].announced)
}

// A claim that was answered must leave no deadline behind, which held its request for up to half a second.
func TestAnsweredClaimsLeaveNoDeadlines(t *testing.T) {
	fixture, _ := newSuccessorFixture(t)
	deadlines := fixture.deadlines.Len()
	request := fixture.submitWithKey("aa")
	require.Equal(t, deadlines+1, fixture.deadlines.Len())
	fixture.expect("claim")
	fixture.receive(handover.KeyGranted{IdempotencyKey: "aa"})
	require.True(t, request.running())
	require.Equal(t, deadlines, fixture.deadlines.Len())

	cancelled := fixture.submitWithKey("bb")
	fixture.cancel(cancelled)
	require.Equal(t, deadlines, fixture.deadlines.Len())
	require.Equal(t, 1, fixture.handover.claims.size(), "its answer is still to come")
}

// A key that was run again after the agent had not started its first run must be announced with the window of that run.
func TestSecondRunOfKeyIsAnnounced(t *testing.T) {
	fixture := newHandoverFixture(t)
	fixture.successorJoined(fixture.link)
	fixture.expect("synced")
	first := fixture.submitWithKey("aa")
	fixture.expect("known")
	retry := fixture.submitWithKey("aa")
	fixture.clock.now += time.Second
	fixture.handleCommandRejected(agent.CommandRejection{Command: agent.CommandLaunch, RequestID: first.attempt.ID})
	fixture.step()
	require.False(t, fixture.requests.contains(retry), "it has shared the run that was not started")
	fixture.expect("free")
	second := fixture.submitWithKey("aa")
	require.True(t, second.running())
	fixture.expect("known")
	fixture.completeRun(second, admission.OutcomeOK, []byte("x"))
	fixture.expect("over")
}

// A replaced predecessor must not end before its successor knows its keys, and must then announce that it runs nothing more.
func TestPredecessorAnnouncesThatItRunsNothingMore(t *testing.T) {
	fixture := newHandoverFixture(t)
	release := make(chan struct{})
	fixture.ShareLimits(nil, 1, func(int) { <-release })
	request := fixture.submitWithKey("aa")
	fixture.completeRun(request, admission.OutcomeOK, []byte("x"))
	fixture.successorJoined(fixture.link)
	fixture.Drain()
	fixture.handleInbox()
	fixture.deadlines.Sweep(fixture.clock.now)
	fixture.removeConnection(fixture.connections.get(fixture.recordingConnection))
	require.False(t, fixture.finished(), "the successor does not know its keys")
	close(release)
	fixture.receivePost()
	require.True(t, fixture.finished())
	fixture.shutDown()
	for _, command := range []string{"known", "over", "synced", "synced"} {
		fixture.expect(command)
	}
	require.Contains(t, fixture.published.Text(), `"ended":true`)
	require.Equal(t, keyauthority.Run, fixture.handover.authority.Decide())
}
