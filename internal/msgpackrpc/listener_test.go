package msgpackrpc

import (
	"net"
	"syscall"
	"testing"

	"falldeal/internal/logging"

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

// Where all descriptors are in use the next connection waits, and the listener goes on.
func TestAcceptContinuesAfterDescriptorsRunOut(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	peers := startServer(t, noIdleClose...)
	log, _ := test.NewNullLogger()
	listener := newFront(&failingListener{TCPListener: ln.(*net.TCPListener)}, 4, logging.NewLimiter(log))
	group, ctx := errgroup.WithContext(t.Context())
	done := make(chan error, 1)
	go func() { done <- listener.Serve(ctx, group, peers.server) }()
	peers.addr = ln.Addr().String()
	client := peers.dial()
	client.write(encodeHealthCheck(1, nil))
	client.expectHealthy(1)
	require.NoError(t, listener.Close())
	require.NoError(t, await(peers, done, "end of the listener"))
}
