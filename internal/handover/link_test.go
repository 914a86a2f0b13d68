package handover

import (
	"context"
	"os"
	"path/filepath"
	"strings"
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
	loop := Loop{Post: func(f func()) { in <- f }, Older: joined("older"), Newer: joined("newer"),
		Got: func(_ *Link, m Message) { p.told <- m }, Ended: func(*Link) { p.told <- "ended" }}
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

// listening waits until a process listens at path. The file is there a little earlier, and who calls then is refused:
// a machine that was busy stood still between the two, once.
func listening(t *testing.T, path string) {
	const accepts = "00010000" // the flag of a socket that listens; Linux
	require.Eventually(t, func() bool {
		text, err := os.ReadFile("/proc/net/unix")
		require.NoError(t, err)
		for _, line := range strings.Split(string(text), "\n") {
			if f := strings.Fields(line); len(f) > 7 && f[7] == path && f[3] == accepts {
				return true
			}
		}
		return false
	}, 30*time.Second, time.Millisecond)
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
	(<-second.links).Tell(Message{Kind: Claim, Once: "a"})
	first.expect(Message{Kind: Claim, Once: "a"})
	link := <-first.links
	for range 3 {
		link.Tell(Message{Kind: Grant, Once: "a"}, Message{Kind: Synced})
	}
	first.stop()
	for range 3 {
		second.expect(Message{Kind: Grant, Once: "a"})
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
	last := Message{Kind: Over, Once: "a", OK: true, Body: make([]byte, 2<<10)} // more than is read ahead
	for range 20 {
		link.Tell(last)
	}
	first.busy.Unlock()
	first.stop()
	to := <-second.links
	for range outRoom { // so many that some fail before the next line
		to.Tell(Message{Kind: Claim, Once: "b"})
	}
	second.busy.Unlock()
	for range 20 {
		second.expect(last)
	}
	second.expect("ended")
	second.stop()
}
