package reconnect

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"falldeal/internal/backoff"
	"falldeal/internal/writequeue"
	"falldeal/lab/loopback"

	"github.com/stretchr/testify/require"
)

const testTimeout = 30 * time.Second

// receive returns the next value, and fails the test if none arrives within testTimeout.
func receive[T any](t *testing.T, values <-chan T) T {
	t.Helper()
	select {
	case value := <-values:
		return value
	case <-time.After(testTimeout):
		require.Fail(t, "no value received in time")
		panic("unreachable")
	}
}

// recorder is a Handler that sends the arguments of its calls to channels.
type recorder struct {
	opened chan string
	queues chan *writequeue.Queue
	closed chan *writequeue.Queue
	failed chan error
}

func newRecorder() *recorder {
	return &recorder{opened: make(chan string, 100), queues: make(chan *writequeue.Queue, 100),
		closed: make(chan *writequeue.Queue, 100), failed: make(chan error, 100)}
}

func (r *recorder) Opened(address string, queue *writequeue.Queue) {
	r.opened <- address
	r.queues <- queue
}

func (r *recorder) Read(conn net.Conn, _ *writequeue.Queue) error {
	_, err := io.Copy(io.Discard, conn)
	if err == nil {
		return io.EOF
	}
	return err
}

func (r *recorder) Closed(queue *writequeue.Queue) { r.closed <- queue }

func (r *recorder) Failed(_ string, err error) { r.failed <- err }

// startLink runs a Link until the end of the test, and waits for Run to return.
func startLink(t *testing.T, link *Link, handler Handler) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		link.Run(ctx, handler)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		receive(t, done)
	})
}

var testConfig = Config{
	Backoff: backoff.Config{
		BaseDelay: time.Millisecond,
		MaxDelay:  4 * time.Millisecond,
		Seed:      1,
		Stream:    2,
	},
	WriteQueueSize: 4,
}

// A failed dial must be distinguishable from a later failure, and its text must be that of the dial error.
func TestFailedDialIsUnreachable(t *testing.T) {
	address := loopback.ClosedAddress(t)
	_, err := Dial(context.Background(), "tcp", address, DialTimeout)
	var unreachable *UnreachableError
	require.ErrorAs(t, err, &unreachable)
	require.Equal(t, address, unreachable.Address)
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	require.EqualError(t, err, "dial tcp "+address+": connect: connection refused")
}

// A peer that does not listen yet must be dialed until it does, and dialed again after its connection breaks.
func TestFailedConnectionIsRedialed(t *testing.T) {
	address := loopback.ClosedAddress(t)
	handler := newRecorder()
	startLink(t, New(address, testConfig), handler)
	var unreachable *UnreachableError
	for range 3 {
		require.ErrorAs(t, receive(t, handler.failed), &unreachable)
	}
	listener := loopback.ListenAt(t, address)
	for range 3 {
		conn, err := listener.Accept()
		require.NoError(t, err)
		require.Equal(t, address, receive(t, handler.opened))
		require.NoError(t, conn.Close())
		require.Same(t, receive(t, handler.queues), receive(t, handler.closed))
	}
}

// Messages that are queued when the context ends must be written before the connection is closed.
func TestServeWritesQueuedMessages(t *testing.T) {
	local, remote := net.Pipe()
	queue := writequeue.New(local, 4)
	ctx, cancel := context.WithCancel(context.Background())
	queue.Send([]byte("a"))
	queue.Send([]byte("b"))
	cancel()
	done := make(chan error, 1)
	go func() {
		done <- Serve(ctx, queue, func() error {
			_, err := local.Read(make([]byte, 1))
			return err
		})
	}()
	text, err := io.ReadAll(remote)
	require.NoError(t, err)
	require.Equal(t, "ab", string(text))
	require.ErrorIs(t, receive(t, done), io.ErrClosedPipe)
}

// A new address must be dialed at once, while the connection to the old one stays open until the Handler closes it. The
// end of the old connection must not be reported as a failure.
func TestAddressChangeKeepsOldConnection(t *testing.T) {
	first, second := loopback.Listen(t), loopback.Listen(t)
	link := New(first.Addr().String(), testConfig)
	handler := newRecorder()
	startLink(t, link, handler)
	firstConn, err := first.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { firstConn.Close() })
	require.Equal(t, first.Addr().String(), receive(t, handler.opened))
	firstQueue := receive(t, handler.queues)
	link.SetAddress(second.Addr().String())
	require.Equal(t, second.Addr().String(), link.Address())
	secondConn, err := second.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { secondConn.Close() })
	require.Equal(t, second.Addr().String(), receive(t, handler.opened))
	require.Empty(t, handler.closed)
	firstQueue.Close()
	require.Same(t, firstQueue, receive(t, handler.closed))
	require.Empty(t, handler.failed)
}

// An address that was replaced before Run starts must not be dialed.
func TestAddressReplacedBeforeRun(t *testing.T) {
	listener := loopback.Listen(t)
	link := New(loopback.ClosedAddress(t), testConfig)
	link.SetAddress(listener.Addr().String())
	handler := newRecorder()
	startLink(t, link, handler)
	require.Equal(t, listener.Addr().String(), receive(t, handler.opened))
	require.Empty(t, handler.failed)
}

// A connection to a replaced address must end after DrainTimeout if the Handler does not close it.
func TestReplacedConnectionEndsAfterDrainTimeout(t *testing.T) {
	first, second := loopback.Listen(t), loopback.Listen(t)
	link := New(first.Addr().String(), testConfig)
	handler := newRecorder()
	startLink(t, link, handler)
	require.Equal(t, first.Addr().String(), receive(t, handler.opened))
	firstQueue := receive(t, handler.queues)
	start := time.Now()
	link.SetAddress(second.Addr().String())
	require.Same(t, firstQueue, receive(t, handler.closed))
	require.GreaterOrEqual(t, time.Since(start), DrainTimeout)
	require.Empty(t, handler.failed)
}

// Setting the current address again must not cause another dial.
func TestSameAddressIsNoChange(t *testing.T) {
	link := New("agent:1", testConfig)
	require.Equal(t, "agent:1", receive(t, link.addresses.C()))
	link.SetAddress("agent:1")
	require.Empty(t, link.addresses.C())
	link.SetAddress("agent:2")
	require.Equal(t, "agent:2", receive(t, link.addresses.C()))
}
