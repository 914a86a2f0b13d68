package msgpackrpc

import (
	"net"
	"syscall"
	"testing"
	"time"

	"falldeal/internal/logging"
	"falldeal/lab/loopback"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// failingListener is a listener whose first Accept finds no descriptor free.
type failingListener struct {
	*net.TCPListener
	failed bool
}

func (l *failingListener) Accept() (net.Conn, error) {
	if !l.failed {
		l.failed = true
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.TCPListener.Accept()
}

// serveListener serves clients of a running server on a listener of its own, with so many connections at a time.
func serveListener(t *testing.T, ln net.Listener, maxConns int) (*testPeers, *Listener, <-chan error) {
	t.Helper()
	peers := startServer(t, noIdleClose...)
	log, _ := test.NewNullLogger()
	front := newListener(ln, maxConns, logging.NewLimiter(log))
	group, ctx := errgroup.WithContext(t.Context())
	done := make(chan error, 1)
	go func() { done <- front.Serve(ctx, group, peers.server) }()
	peers.addr = ln.Addr().String()
	return peers, front, done
}

// Where all descriptors are in use the next connection waits, and the listener goes on.
func TestAcceptContinuesAfterDescriptorsRunOut(t *testing.T) {
	t.Parallel()
	peers, listener, done := serveListener(t, &failingListener{TCPListener: loopback.Listen(t)}, 4)
	client := peers.dial()
	client.write(encodeHealthCheck(1, nil))
	client.expectHealthy(1)
	require.NoError(t, listener.Close())
	require.NoError(t, await(peers, done, "end of the listener"))
}

// blockingListener holds the call of SetDeadline that interrupts Accept until it is released.
type blockingListener struct {
	*net.TCPListener
	interrupting chan struct{} // the call has come
	release      chan struct{}
	lifted       chan struct{} // holds a signal once the deadline was set to another time
}

func (l *blockingListener) SetDeadline(deadline time.Time) error {
	if deadline.Equal(expiredDeadline) {
		close(l.interrupting)
		<-l.release
		return l.TCPListener.SetDeadline(deadline)
	}
	err := l.TCPListener.SetDeadline(deadline)
	select {
	case l.lifted <- struct{}{}:
	default:
	}
	return err
}

// A connection waits for a slot while the listener is closed: it is accepted and answered. Close used to announce itself
// before it interrupted Accept, and could so interrupt the Accept of the pending connection, which was then reset.
func TestCloseAcceptsPendingConnection(t *testing.T) {
	t.Parallel()
	blocking := &blockingListener{TCPListener: loopback.Listen(t), interrupting: make(chan struct{}), release: make(chan struct{}),
		lifted: make(chan struct{}, 1)}
	peers, front, done := serveListener(t, blocking, 1)
	client := peers.dial()
	client.write(encodeHealthCheck(1, nil))
	client.expectHealthy(1) // it has the only slot
	pending := peers.dial()
	pending.write(encodeHealthCheck(1, nil))
	closed := make(chan error, 1)
	go func() { closed <- front.Close() }()
	<-blocking.interrupting
	select {
	case <-blocking.lifted: // the wrong order: pending connections are accepted before the interruption
	case <-time.After(200 * time.Millisecond):
	}
	close(blocking.release)
	require.NoError(t, await(peers, closed, "end of Close"))
	client.netConn.Close()
	pending.expectHealthy(1)
	require.NoError(t, await(peers, done, "end of the listener"))
}

// sharedListener has another process take each connection that is accepted after take is set.
type sharedListener struct {
	*net.TCPListener
	take chan struct{}
}

func (l *sharedListener) Accept() (net.Conn, error) {
	select {
	case <-l.take:
		taken, err := l.TCPListener.Accept()
		if err != nil {
			return nil, err
		}
		_ = taken.Close()
	default:
	}
	return l.TCPListener.Accept()
}

// A successor process that shares the socket accepts the pending connection first: the listener still ends. It waited for
// another connection, and with it the predecessor, up to its stop timeout.
func TestCloseEndsThoughPendingConnectionWasTaken(t *testing.T) {
	t.Parallel()
	shared := &sharedListener{TCPListener: loopback.Listen(t), take: make(chan struct{})}
	peers, front, done := serveListener(t, shared, 1)
	client := peers.dial()
	client.write(encodeHealthCheck(1, nil))
	client.expectHealthy(1) // it has the only slot
	peers.dial()
	close(shared.take)
	require.NoError(t, front.Close())
	client.netConn.Close()
	require.NoError(t, await(peers, done, "end of the listener"))
}
