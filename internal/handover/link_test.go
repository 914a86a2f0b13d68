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
	told  chan any
	links chan *Link // joined
	busy  sync.Mutex // held by a test that keeps the loop from its turns
	stop  func()     // and wait until all is written
}

func start(t *testing.T, path string) *process {
	p := &process{T: t, told: make(chan any, 100), links: make(chan *Link, 10)}
	joined := func(name string) func(*Link) {
		return func(l *Link) {
			p.links <- l
			p.told <- name
		}
	}
	in := make(chan func())
	ctx, cancel := context.WithCancel(context.Background())
	loop := Loop{Post: func(f func()) { in <- f }, OnPredecessor: joined("older"), OnSuccessor: joined("newer"),
		OnMessage: func(_ *Link, m Message) { p.told <- m }, OnEnd: func(*Link) { p.told <- "ended" }}
	serves, over := make(chan struct{}), make(chan error, 1)
	close(serves)
	log, _ := test.NewNullLogger()
	go func() { over <- Run(ctx, path, serves, loop, logging.NewLimiter(log)) }()
	go func() {
		for f := range in {
			p.busy.Lock()
			f()
			p.busy.Unlock()
		}
	}()
	p.stop = func() {
		cancel()
		select {
		case err := <-over:
			require.NoError(t, err)
		case <-time.After(30 * time.Second):
			t.Fatal("Run does not end")
		}
	}
	return p
}

func (p *process) expect(want any) {
	p.Helper()
	select {
	case got := <-p.told:
		require.Equal(p, want, got)
	case <-time.After(30 * time.Second):
		p.Fatalf("%v did not come", want)
	}
}

// listening waits until a process has taken its place at path. Whoever finds the file there is not refused.
func listening(t *testing.T, path string) {
	require.Eventually(t, func() bool { _, err := os.Stat(path); return err == nil }, 30*time.Second, time.Millisecond)
}

// A process that is started between another's bind and listen took itself for the only one; so did one that was started
// before the other served, and one of two that were started at the same time. The place is taken in one step, and as soon
// as a process has found nobody there; nobody looks while another takes it.
func TestTheOnlyOne(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	older, ln, err := join(path) // listens, though it accepts nobody yet
	require.NoError(t, err)
	require.Nil(t, older)
	defer ln.Close()
	second, none, err := join(path)
	require.NoError(t, err)
	require.NotNil(t, second)
	require.Nil(t, none)
	second.Close()

	// The place changes hands while others look: nobody ever finds it empty.
	stop, lookers := make(chan struct{}), make(chan error, 4)
	for range cap(lookers) {
		go func() {
			for {
				select {
				case <-stop:
					lookers <- nil
					return
				default:
				}
				nc, err := net.Dial("unix", path)
				if err != nil {
					lookers <- err
					return
				}
				nc.Close()
			}
		}()
	}
	var places []*net.UnixListener
	for range 50 {
		ln, err := listen(path)
		require.NoError(t, err)
		places = append(places, ln)
		go func() {
			for {
				nc, err := ln.Accept()
				if err != nil {
					return
				}
				nc.Close()
			}
		}()
	}
	close(stop)
	for range cap(lookers) {
		require.NoError(t, <-lookers)
	}
	for _, ln := range places {
		ln.Close()
	}

	// Who looks while another holds the lock waits for it.
	empty := filepath.Join(t.TempDir(), "s")
	unlock := lock(empty + ".lock")
	found := make(chan bool, 1)
	go func() {
		older, ln, _ := join(empty)
		if ln != nil {
			ln.Close()
		}
		found <- older != nil
	}()
	ln, err = listen(empty)
	require.NoError(t, err)
	defer ln.Close()
	unlock()
	require.True(t, <-found)
}

// Each process finds the one before it, what is told last still arrives, and the socket of one that has ended
// is no hindrance to the next.
func TestChain(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	first := start(t, path)
	first.expect("older")
	require.Nil(t, <-first.links)
	listening(t, path)
	second := start(t, path)
	second.expect("older")
	first.expect("newer")
	(<-second.links).Publish(Message{Kind: Claim, IdempotencyKey: "a"})
	first.expect(Message{Kind: Claim, IdempotencyKey: "a"})
	link := <-first.links
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
	third := start(t, path)
	third.expect("older")
	require.Nil(t, <-third.links)
	third.stop()
}

// What the older process told last must not be lost because the newer one fails to write to it meanwhile.
func TestLastWords(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	first := start(t, path)
	first.expect("older")
	listening(t, path)
	second := start(t, path)
	second.expect("older")
	first.expect("newer")
	<-first.links
	first.busy.Lock()
	second.busy.Lock()
	link := <-first.links
	last := Message{Kind: Completed, IdempotencyKey: "a", OK: true, Body: make([]byte, 2<<10)} // more than is read ahead
	for range 20 {
		link.Publish(last)
	}
	first.busy.Unlock()
	first.stop()
	to := <-second.links
	for range outRoom { // so many that some fail before the next line
		to.Publish(Message{Kind: Claim, IdempotencyKey: "b"})
	}
	second.busy.Unlock()
	for range 20 {
		second.expect(last)
	}
	second.expect("ended")
	second.stop()
}
