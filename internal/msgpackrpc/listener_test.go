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

// failingListener is a listener whose first Accept fails because no descriptor is free.
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

// serveListener starts a server and accepts its clients on ln instead, up to maxConns at a time.
func serveListener(t *testing.T, ln net.Listener, maxConns int) (*testPeers, *Listener, <-chan error) {
	t.Helper()
	peers := startServer(t, noIdleClose...)
	log, _ := test.NewNullLogger()
	listener := newListener(ln, maxConns, logging.NewLimiter(log))
	group, ctx := errgroup.WithContext(t.Context())
	done := make(chan error, 1)
	go func() { done <- listener.Serve(ctx, group, peers.server) }()
	peers.addr = ln.Addr().String()
	return peers, listener, done
}

// If no descriptor is free, Accept fails. The listener must continue, and the next connection must be accepted later.
func TestAcceptContinuesAfterDescriptorsRunOut(t *testing.T) {
	t.Parallel()
	peers, listener, done := serveListener(t, &failingListener{TCPListener: loopback.Listen(t)}, 4)
	client := peers.dial()
	client.write(encodeHealthCheck(1, nil))
	client.expectHealthy(1)
	require.NoError(t, listener.Close())
	require.NoError(t, await(peers, done, "end of the listener"))
}

// blockingListener blocks the SetDeadline call that interrupts Accept until release is closed.
type blockingListener struct {
	*net.TCPListener
	interrupting chan struct{} // closed when SetDeadline is called to interrupt Accept
	release      chan struct{}
	replaced     chan struct{} // receives a signal when another deadline is set
}

func (l *blockingListener) SetDeadline(deadline time.Time) error {
	if deadline.Equal(expiredDeadline) {
		close(l.interrupting)
		<-l.release
		return l.TCPListener.SetDeadline(deadline)
	}
	err := l.TCPListener.SetDeadline(deadline)
	select {
	case l.replaced <- struct{}{}:
	default:
	}
	return err
}

// A connection is pending while the listener is closed. Close used to close l.closing before it interrupted Accept, and
// could thus interrupt the Accept of the pending connection, which was then reset. The connection must be answered.
func TestCloseAcceptsPendingConnection(t *testing.T) {
	t.Parallel()
	blocking := &blockingListener{TCPListener: loopback.Listen(t), interrupting: make(chan struct{}), release: make(chan struct{}),
		replaced: make(chan struct{}, 1)}
	peers, listener, done := serveListener(t, blocking, 1)
	client := peers.dial()
	client.write(encodeHealthCheck(1, nil))
	client.expectHealthy(1) // client has the only slot
	pending := peers.dial()
	pending.write(encodeHealthCheck(1, nil))
	closed := make(chan error, 1)
	go func() { closed <- listener.Close() }()
	<-blocking.interrupting
	select {
	case <-blocking.replaced: // wrong order: pending connections are accepted before the interruption
	case <-time.After(200 * time.Millisecond):
	}
	close(blocking.release)
	require.NoError(t, await(peers, closed, "end of Close"))
	client.netConn.Close()
	pending.expectHealthy(1)
	require.NoError(t, await(peers, done, "end of the listener"))
}

// sharedListener simulates another process that accepts each connection first once take is closed.
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

// A successor process that shares the socket accepts the pending connection first. The listener used to wait for another
// connection, which kept the predecessor running up to its stop timeout. It must end.
func TestCloseEndsIfAnotherProcessTakesPendingConnection(t *testing.T) {
	t.Parallel()
	shared := &sharedListener{TCPListener: loopback.Listen(t), take: make(chan struct{})}
	peers, listener, done := serveListener(t, shared, 1)
	client := peers.dial()
	client.write(encodeHealthCheck(1, nil))
	client.expectHealthy(1) // client has the only slot
	peers.dial()
	close(shared.take)
	require.NoError(t, listener.Close())
	client.netConn.Close()
	require.NoError(t, await(peers, done, "end of the listener"))
}
