package server

import (
	"bytes"
	"encoding/json"
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"falldeal/admission"
	"falldeal/internal/handover"
	"falldeal/internal/sharelock"

	"github.com/stretchr/testify/require"
)

// openTestLocks opens the locks of a process, which exits at the end of the test.
func openTestLocks(t *testing.T, path string) *sharelock.Locks {
	t.Helper()
	locks, err := sharelock.Open(path)
	require.NoError(t, err)
	t.Cleanup(func() { _ = locks.Close() }) // fails if the test has closed it
	return locks
}

// retainResults completes runs with results of the given size, each with a different key.
func (f *handoverFixture) retainResults(count, size int) {
	for i := range count {
		key := fmt.Sprintf("%04x", i)
		request := requestWithKey(1000+i, f.clock.now+time.Duration(i)*time.Millisecond)
		request.attempt.IdempotencyKey = key
		f.idempotency.register(request)
		f.idempotency.markRunning(request)
		f.idempotency.runEnded(request, admission.OutcomeOK, make([]byte, size))
		f.idempotency.release(request)
	}
}

// receivePost handles the next event that another goroutine puts into the inbox.
func (f *handoverFixture) receivePost() {
	f.t.Helper()
	select {
	case posted := <-f.inbox.events:
		posted.handle(f.Server)
	case <-time.After(30 * time.Second):
		f.t.Fatal("nothing was posted")
	}
}

// A predecessor must release memory before its successor gets any keys: both together were killed for memory, since each used
// the whole limit. The results whose windows end last must stay.
func TestPredecessorShrinksBeforeKeysAreSent(t *testing.T) {
	fixture := newHandoverFixture(t)
	released, limited := make(chan struct{}), make(chan int, 10)
	fixture.ShareLimits(nil, 1, func(processes int) {
		limited <- processes
		<-released
	})
	alone := maxResultBytes(fixture.config.Limits.MemoryMB, 1)
	const results = 64
	fixture.retainResults(results, alone/results)
	require.Equal(t, alone, fixture.idempotency.resultBytes)

	fixture.successorJoined(fixture.link)
	require.Equal(t, 2, <-limited)
	require.LessOrEqual(t, fixture.idempotency.resultBytes, maxResultBytes(fixture.config.Limits.MemoryMB, 2))
	require.False(t, fixture.idempotency.entries["0000"].reusable)
	require.True(t, fixture.idempotency.entries[fmt.Sprintf("%04x", results-1)].reusable)
	require.Zero(t, fixture.link.Unwritten())

	close(released)
	fixture.receivePost()
	require.NotZero(t, fixture.link.Unwritten())
	fixture.peerEnded(fixture.link)
	require.Equal(t, 1, <-limited)
	require.Equal(t, alone, fixture.idempotency.maxResultBytes)
}

// Few keys may be encoded at a time. All results encoded together took more memory than the results.
func TestKeysAreEncodedAsTheyAreWritten(t *testing.T) {
	fixture := newHandoverFixture(t)
	const results, size = 200, 4 << 10
	fixture.retainResults(results, size)
	fixture.successorJoined(fixture.link)
	const batchBytes = 2 * keyBatchBytes // base64 needs a third more
	perBatch := keyBatchBytes/size + 1
	unsent := len(fixture.handover.outboxes[fixture.link].unsent)
	require.GreaterOrEqual(t, unsent, results-(maxUnwrittenSync+2)*perBatch, "batches of up to %d bytes", batchBytes)

	// A key that changes before it was sent is sent once, with its last state. One that is added is sent at once.
	added := fixture.submitWithKey("aa")
	known := map[string]int{}
	completed := map[string]int{}
	lines := make(chan []byte)
	go func() {
		defer close(lines)
		for fixture.published.Scan() {
			lines <- bytes.Clone(fixture.published.Bytes())
		}
	}()
	for synced := false; !synced; {
		fixture.clock.now += outboxInterval
		fixture.deadlines.Sweep(fixture.clock.now)
		select {
		case line := <-lines:
			synced = countKeyMessage(t, line, known, completed)
		case <-time.After(time.Millisecond): // the next keys are encoded once this is written
		}
	}
	require.Len(t, known, results+1)
	require.Len(t, completed, results)
	require.Equal(t, 1, known[added.attempt.IdempotencyKey])
	for key, count := range known {
		require.Equal(t, 1, count, key)
	}
	require.True(t, fixture.handover.synchronized())
}

// A key whose run ends before the key was sent must reach the successor as completed, and only once.
func TestChangesBeforeKeyIsSentAreNotSentTwice(t *testing.T) {
	fixture := newHandoverFixture(t)
	release := make(chan struct{})
	fixture.ShareLimits(nil, 1, func(int) { <-release })
	running := fixture.submitWithKey("aa")
	fixture.successorJoined(fixture.link)
	fixture.completeRun(running, admission.OutcomeOK, []byte("x"))
	require.Zero(t, fixture.link.Unwritten(), "the state of all keys follows")
	close(release)
	fixture.receivePost()
	fixture.expect("known")
	fixture.expect("over")
	fixture.expect("synced")
}

// publishedMessage is a message to another process, with its fields on the wire.
type publishedMessage struct {
	Command string `json:"cmd"`
	Key     string `json:"once"`
	OK      bool   `json:"ok"`
	Body    []byte `json:"body"`
}

func parsePublished(t *testing.T, line []byte) (message publishedMessage) {
	t.Helper()
	require.NoError(t, json.Unmarshal(line, &message))
	return message
}

// countKeyMessage counts a message by its key, and reports whether it is the end of a sync.
func countKeyMessage(t *testing.T, line []byte, known, completed map[string]int) (synced bool) {
	t.Helper()
	message := parsePublished(t, line)
	switch message.Command {
	case "known":
		known[message.Key]++
	case "over":
		require.Equal(t, 1, known[message.Key])
		completed[message.Key]++
	}
	return message.Command == "synced"
}

// A process that does not read must not make the other one hold results for it: they would take memory without bound. It is
// sent the end of the run without the result.
func TestResultsAreNotQueuedForProcessThatDoesNotRead(t *testing.T) {
	fixture := newHandoverFixture(t)
	fixture.successorJoined(fixture.link)
	fixture.expect("synced")
	running := fixture.submitWithKey("aa")
	fixture.expect("known")
	for range maxUnwrittenResults + 2 {
		fixture.link.Publish(handover.KeyReleased{IdempotencyKey: "ff"})
	}
	fixture.completeRun(running, admission.OutcomeOK, []byte("x"))
	for {
		require.True(t, fixture.published.Scan())
		message := parsePublished(t, fixture.published.Bytes())
		if message.Command != "free" {
			require.Equal(t, publishedMessage{Command: "over", Key: "aa", Body: []byte{}}, message)
			return
		}
	}
}

// A process must be counted from its start to its exit by its lock, whether or not it is linked, and by its link if it is of
// a version without locks.
func TestProcessesAreCountedByLocksAndLinks(t *testing.T) {
	fixture := newHandoverFixture(t)
	path := filepath.Join(t.TempDir(), "shares")
	fixture.ShareLimits(openTestLocks(t, path), 1, func(int) {})
	fixture.watchProcesses()
	require.Equal(t, 1, fixture.processes.alive)
	alone := fixture.maxConnections() + reservedConnections

	fixture.successorJoined(fixture.link)
	require.Equal(t, 2, fixture.processes.alive, "of a version without locks")
	require.Equal(t, alone/2, fixture.maxConnections()+reservedConnections)
	fixture.peerEnded(fixture.link)
	require.Equal(t, 1, fixture.processes.alive)

	other := openTestLocks(t, path)
	fixture.clock.now += aloneCheckInterval
	fixture.deadlines.Sweep(fixture.clock.now)
	require.Equal(t, 2, fixture.processes.alive, "not linked yet")
	fixture.successorJoined(fixture.link)
	fixture.peerEnded(fixture.link)
	require.Equal(t, 2, fixture.processes.alive, "the link has ended, and the process has not")
	require.NoError(t, other.Close())
	fixture.clock.now += sharedCheckInterval
	fixture.deadlines.Sweep(fixture.clock.now)
	require.Equal(t, 1, fixture.processes.alive)
}
