package handover

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"falldeal/internal/logging"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
)

const (
	testTimeout  = 30 * time.Second
	maxUnhandled = maxUnhandledBytes / messageBytes // messages without a result
)

// process runs one side of a handover, and records what its event loop is given.
type process struct {
	*testing.T
	events   chan any    // names of joins, messages and ends, in order
	joined   chan *Link  // links that were passed to OnPredecessor and OnSuccessor
	loopLock sync.Mutex  // held by a test to block the event loop
	stop     func()      // cancels Run, and waits until it has returned
	rejoins  atomic.Bool // result of OnEnd
}

// startProcess starts a process that may listen at once, as serving is closed.
func startProcess(t *testing.T, path string) *process {
	t.Helper()
	serving := make(chan struct{})
	close(serving)
	return startProcessServing(t, path, serving)
}

// startProcessServing starts a process that may listen once serving is closed.
func startProcessServing(t *testing.T, path string, serving <-chan struct{}) *process {
	t.Helper()
	started := &process{T: t, events: make(chan any, 100), joined: make(chan *Link, 10)}
	joined := func(name string) func(*Link) {
		return func(l *Link) {
			started.joined <- l
			started.events <- name
		}
	}
	posted := make(chan func())
	ctx, cancel := context.WithCancel(context.Background())
	loop := Loop{Post: func(f func()) { posted <- f }, OnPredecessor: joined("predecessor"), OnSuccessor: joined("successor"),
		OnMessage: func(_ *Link, m Message) { started.events <- m }, OnEnd: func(*Link) bool {
			started.events <- "ended"
			return started.rejoins.Load()
		}}
	runDone := make(chan error, 1)
	log, _ := test.NewNullLogger()
	go func() { runDone <- Run(ctx, path, serving, loop, logging.NewLimiter(log)) }()
	go func() {
		for f := range posted {
			started.loopLock.Lock()
			f()
			started.loopLock.Unlock()
		}
	}()
	started.stop = func() {
		cancel()
		select {
		case err := <-runDone:
			require.NoError(t, err)
		case <-time.After(testTimeout):
			t.Fatal("Run did not return in time")
		}
	}
	return started
}

func (p *process) expect(want any) {
	p.Helper()
	select {
	case got := <-p.events:
		require.Equal(p, want, got)
	case <-time.After(testTimeout):
		p.Fatalf("%v was not received in time", want)
	}
}

// waitForListener waits until a process listens at path, which is as soon as the file exists.
func waitForListener(t *testing.T, path string) {
	t.Helper()
	exists := func() bool {
		_, err := os.Stat(path)
		return err == nil
	}
	require.Eventually(t, exists, testTimeout, time.Millisecond)
}

// A process must find a predecessor that listens but does not accept connections yet. Otherwise a process that starts
// before the other one serves would consider itself the only one.
func TestJoinFindsListenerBeforeItServes(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	first := join(path)
	require.NoError(t, first.dialErr)
	require.NoError(t, first.listenErr)
	require.Nil(t, first.predecessor)
	defer first.listener.Close()
	second := join(path)
	require.NoError(t, second.dialErr)
	require.NoError(t, second.listenErr)
	require.NotNil(t, second.predecessor)
	require.Nil(t, second.listener)
	second.predecessor.Close()
}

// dialUntil dials path repeatedly until stop is closed or a dial fails.
func dialUntil(stop <-chan struct{}, path string) error {
	for {
		select {
		case <-stop:
			return nil
		default:
		}
		conn, err := (&net.Dialer{}).DialContext(context.Background(), "unix", path)
		if err != nil {
			return err
		}
		conn.Close()
	}
}

// acceptAndClose accepts connections, and closes them, until listener is closed.
func acceptAndClose(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		conn.Close()
	}
}

// No dial may fail while the listener is replaced. If a process bound to path directly, dials between its bind and its
// listen would fail.
func TestListenReplacesListenerAtomically(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	first, err := listen(path)
	require.NoError(t, err)
	defer first.Close()
	stop, dialers := make(chan struct{}), make(chan error, 4)
	for range cap(dialers) {
		go func() { dialers <- dialUntil(stop, path) }()
	}
	for range 50 {
		listener, err := listen(path)
		require.NoError(t, err)
		defer listener.Close()
		go acceptAndClose(listener)
	}
	close(stop)
	for range cap(dialers) {
		require.NoError(t, <-dialers)
	}
}

// Of two processes that start at the same time, one must wait at the lock until the other one listens.
func TestJoinBlocksOnLock(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	unlock := acquireLock(path + ".lock")
	found := make(chan bool, 1)
	go func() {
		result := join(path)
		if result.listener != nil {
			result.listener.Close()
		}
		found <- result.predecessor != nil
	}()
	listener, err := listen(path)
	require.NoError(t, err)
	defer listener.Close()
	unlock()
	require.True(t, <-found)
}

// Each process must find its predecessor, messages sent just before a process ends must arrive, and the socket of a process
// that has ended must not hinder the next one.
func TestSuccessiveProcesses(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	first := startProcess(t, path)
	first.expect("predecessor")
	require.Nil(t, <-first.joined)
	waitForListener(t, path)
	second := startProcess(t, path)
	second.expect("predecessor")
	first.expect("successor")
	(<-second.joined).Publish(KeyClaim{IdempotencyKey: "a"})
	first.expect(KeyClaim{IdempotencyKey: "a"})
	link := <-first.joined
	for range 3 {
		link.Publish(KeyGranted{IdempotencyKey: "a"}, KeysSynced{})
	}
	first.stop()
	for range 3 {
		second.expect(KeyGranted{IdempotencyKey: "a"})
		second.expect(KeysSynced{})
	}
	second.expect("ended")
	second.stop()
	third := startProcess(t, path)
	third.expect("predecessor")
	require.Nil(t, <-third.joined)
	third.stop()
}

// The last messages of the predecessor must not be lost if the successor fails to write to it before it has read them.
func TestLastMessagesSurviveWriteFailure(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	first := startProcess(t, path)
	first.expect("predecessor")
	waitForListener(t, path)
	second := startProcess(t, path)
	second.expect("predecessor")
	first.expect("successor")
	<-first.joined
	first.loopLock.Lock()
	second.loopLock.Lock()
	link := <-first.joined
	last := RunCompleted{IdempotencyKey: "a", OK: true, Result: make([]byte, 2<<10)} // 20 of them exceed what is read ahead
	for range 20 {
		link.Publish(last)
	}
	first.loopLock.Unlock()
	first.stop()
	toFirst := <-second.joined
	for range writeQueueSize { // enough for some writes to fail before the loop is unblocked below
		toFirst.Publish(KeyClaim{IdempotencyKey: "b"})
	}
	second.loopLock.Unlock()
	for range 20 {
		second.expect(last)
	}
	second.expect("ended")
	second.stop()
}

// A process must not read ahead of its loop without bound: the results that it had read took memory beside those that it kept.
func TestReaderWaitsForLoop(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	first := startProcess(t, path)
	first.expect("predecessor")
	waitForListener(t, path)
	posted := make(chan func(), 10*maxUnhandled)
	received := 0
	loop := Loop{
		Post:          func(f func()) { posted <- f },
		OnPredecessor: func(*Link) {},
		OnMessage:     func(*Link, Message) { received++ },
		OnEnd:         func(*Link) bool { return false },
	}
	ctx, cancel := context.WithCancel(context.Background())
	log, _ := test.NewNullLogger()
	runDone := make(chan error, 1)
	go func() { runDone <- Run(ctx, path, make(chan struct{}), loop, logging.NewLimiter(log)) }()
	first.expect("successor")
	<-first.joined
	link := <-first.joined
	const sent = 4 * maxUnhandled
	for range sent {
		link.Publish(KeyClaim{IdempotencyKey: "a"})
	}
	(<-posted)() // the predecessor has connected
	require.Eventually(t, func() bool { return len(posted) == maxUnhandled }, testTimeout, time.Millisecond)
	for received < sent {
		require.LessOrEqual(t, len(posted), maxUnhandled)
		(<-posted)()
	}
	// The reader must end with its context even if messages wait that no loop will handle.
	for range sent {
		link.Publish(KeyClaim{IdempotencyKey: "a"})
	}
	require.Eventually(t, func() bool { return len(posted) == maxUnhandled }, testTimeout, time.Millisecond)
	cancel()
	require.NoError(t, <-runDone)
	first.stop()
}

// A link that ends before this process serves must be opened again while the predecessor runs. Once that has ended, this process
// must take its place, and be found by the next one.
func TestPredecessorIsJoinedAgain(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	first := startProcess(t, path)
	first.expect("predecessor")
	require.Nil(t, <-first.joined)
	waitForListener(t, path)
	second := startProcessServing(t, path, make(chan struct{}))
	second.rejoins.Store(true)
	for range 3 {
		second.expect("predecessor")
		require.NotNil(t, <-second.joined)
		first.expect("successor")
		(<-first.joined).Abort()
		first.expect("ended")
		second.expect("ended")
	}
	second.expect("predecessor")
	require.NotNil(t, <-second.joined)
	first.expect("successor")
	first.stop()
	second.expect("ended")
	second.expect("predecessor")
	require.Nil(t, <-second.joined)

	third := startProcess(t, path)
	third.expect("predecessor")
	require.NotNil(t, <-third.joined)
	second.expect("successor")
	third.stop()
	second.stop()
}
