package handover

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"falldeal/internal/logging"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
)

// process runs one side and notes what its loop is handed.
type process struct {
	*testing.T
	events   chan any
	joined   chan *Link // joined
	loopLock sync.Mutex // held by a test that keeps the loop from its turns
	stop     func()     // and wait until all is written
}

func startProcess(t *testing.T, path string) *process {
	started := &process{T: t, events: make(chan any, 100), joined: make(chan *Link, 10)}
	joined := func(name string) func(*Link) {
		return func(l *Link) {
			started.joined <- l
			started.events <- name
		}
	}
	posted := make(chan func())
	ctx, cancel := context.WithCancel(context.Background())
	loop := Loop{Post: func(f func()) { posted <- f }, OnPredecessor: joined("older"), OnSuccessor: joined("newer"),
		OnMessage: func(_ *Link, m Message) { started.events <- m }, OnEnd: func(*Link) { started.events <- "ended" }}
	serving, runDone := make(chan struct{}), make(chan error, 1)
	close(serving)
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
		case <-time.After(30 * time.Second):
			t.Fatal("Run does not end")
		}
	}
	return started
}

func (p *process) expect(want any) {
	p.Helper()
	select {
	case got := <-p.events:
		require.Equal(p, want, got)
	case <-time.After(30 * time.Second):
		p.Fatalf("%v did not come", want)
	}
}

// waitForListener waits until a process has taken its place at path. Whoever finds the file there is not refused.
func waitForListener(t *testing.T, path string) {
	require.Eventually(t, func() bool { _, err := os.Stat(path); return err == nil }, 30*time.Second, time.Millisecond)
}

// A process that is started between another's bind and listen took itself for the only one; so did one that was started
// before the other served, and one of two that were started at the same time. The place is taken in one step, and as soon
// as a process has found nobody there; nobody looks while another takes it.
func TestOneListenerAtATime(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	older, listener, err := join(path) // listens, though it accepts nobody yet
	require.NoError(t, err)
	require.Nil(t, older)
	defer listener.Close()
	second, none, err := join(path)
	require.NoError(t, err)
	require.NotNil(t, second)
	require.Nil(t, none)
	second.Close()

	// The place changes hands while others look: nobody ever finds it empty.
	stop, dialers := make(chan struct{}), make(chan error, 4)
	for range cap(dialers) {
		go func() {
			for {
				select {
				case <-stop:
					dialers <- nil
					return
				default:
				}
				conn, err := net.Dial("unix", path)
				if err != nil {
					dialers <- err
					return
				}
				conn.Close()
			}
		}()
	}
	var listeners []*net.UnixListener
	for range 50 {
		listener, err := listen(path)
		require.NoError(t, err)
		listeners = append(listeners, listener)
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				conn.Close()
			}
		}()
	}
	close(stop)
	for range cap(dialers) {
		require.NoError(t, <-dialers)
	}
	for _, listener := range listeners {
		listener.Close()
	}

	// Who looks while another holds the lock waits for it.
	empty := filepath.Join(t.TempDir(), "s")
	unlock := acquireLock(empty + ".lock")
	found := make(chan bool, 1)
	go func() {
		older, listener, _ := join(empty)
		if listener != nil {
			listener.Close()
		}
		found <- older != nil
	}()
	listener, err = listen(empty)
	require.NoError(t, err)
	defer listener.Close()
	unlock()
	require.True(t, <-found)
}

// Each process finds the one before it, what is told last still arrives, and the socket of one that has ended
// is no hindrance to the next.
func TestSuccessiveProcesses(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	first := startProcess(t, path)
	first.expect("older")
	require.Nil(t, <-first.joined)
	waitForListener(t, path)
	second := startProcess(t, path)
	second.expect("older")
	first.expect("newer")
	(<-second.joined).Publish(Message{Kind: Claim, IdempotencyKey: "a"})
	first.expect(Message{Kind: Claim, IdempotencyKey: "a"})
	link := <-first.joined
	for range 3 {
		link.Publish(Message{Kind: Grant, IdempotencyKey: "a"}, Message{Kind: Synced})
	}
	first.stop()
	for range 3 {
		second.expect(Message{Kind: Grant, IdempotencyKey: "a"})
		second.expect(Message{Kind: Synced})
	}
	second.expect("ended")
	second.stop()
	third := startProcess(t, path)
	third.expect("older")
	require.Nil(t, <-third.joined)
	third.stop()
}

// What the older process told last must not be lost because the newer one fails to write to it meanwhile.
func TestLastMessagesSurviveWriteFailure(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	first := startProcess(t, path)
	first.expect("older")
	waitForListener(t, path)
	second := startProcess(t, path)
	second.expect("older")
	first.expect("newer")
	<-first.joined
	first.loopLock.Lock()
	second.loopLock.Lock()
	link := <-first.joined
	last := Message{Kind: Completed, IdempotencyKey: "a", OK: true, Body: make([]byte, 2<<10)} // more than is read ahead
	for range 20 {
		link.Publish(last)
	}
	first.loopLock.Unlock()
	first.stop()
	toFirst := <-second.joined
	for range writeQueueSize { // so many that some fail before the next line
		toFirst.Publish(Message{Kind: Claim, IdempotencyKey: "b"})
	}
	second.loopLock.Unlock()
	for range 20 {
		second.expect(last)
	}
	second.expect("ended")
	second.stop()
}
