package msgpackrpc

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"falldeal/internal/logging"
	"falldeal/internal/server"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
)

const (
	acceptRetryDelay     = 50 * time.Millisecond // before the next Accept after a failed one
	pendingAcceptTimeout = 50 * time.Millisecond // of an Accept while a connection is pending
)

// Listener accepts connections of clients and implements server.Front. Serve must be called once. The other methods may be
// called on any goroutine.
type Listener struct {
	ln    net.Listener
	slots chan struct{} // one element for each open connection
	log   *logging.Limiter

	closeOnce sync.Once
	closing   chan struct{} // closed by Close
}

// deadlineListener is a net.Listener whose Accept can be given a deadline.
type deadlineListener interface {
	SetDeadline(deadline time.Time) error
}

func newListener(ln net.Listener, maxConns int, log *logging.Limiter) *Listener {
	return &Listener{ln: ln, slots: make(chan struct{}, maxConns), log: log, closing: make(chan struct{})}
}

// Listen opens a Listener on a TCP address. It accepts up to maxConns connections at a time; further ones wait.
func Listen(address string, maxConns int, log *logging.Limiter) (*Listener, error) {
	var config net.ListenConfig
	ln, err := config.Listen(context.Background(), "tcp", address) // does not block
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return newListener(ln, maxConns, log), nil
}

// ListenInherited is like Listen for a listening socket that another process left open for this one.
func ListenInherited(descriptor uintptr, maxConns int, log *logging.Limiter) (*Listener, error) {
	file := os.NewFile(descriptor, "inherited socket")
	ln, err := net.FileListener(file)
	_ = file.Close() // the listener has its own duplicate of the descriptor
	if err != nil {
		return nil, fmt.Errorf("inherited socket %d: %w", descriptor, err)
	}
	return newListener(ln, maxConns, log), nil
}

// Addr returns the address of the listener.
func (l *Listener) Addr() net.Addr { return l.ln.Addr() }

// Close makes Serve accept the connections that the kernel has accepted already, and then close the listener. Further
// calls have no effect.
func (l *Listener) Close() (err error) {
	l.closeOnce.Do(func() {
		err = l.interruptAccept() // before close(l.closing), because acceptPending replaces this deadline
		close(l.closing)
	})
	return err
}

// interruptAccept ends a blocked Accept. A listener without deadlines is closed for this.
func (l *Listener) interruptAccept() error {
	var err error
	if ln, ok := l.ln.(deadlineListener); ok {
		err = ln.SetDeadline(expiredDeadline)
	} else {
		err = l.ln.Close()
	}
	if err != nil {
		return fmt.Errorf("interrupt accept: %w", err)
	}
	return nil
}

// Serve implements server.Front.
func (l *Listener) Serve(ctx context.Context, g *errgroup.Group, srv *server.Server) error {
	defer l.ln.Close()
	defer context.AfterFunc(ctx, func() { _ = l.ln.Close() })()
	for {
		select {
		case l.slots <- struct{}{}:
		case <-l.closing:
			l.acceptPending(ctx, g, srv)
			return nil
		case <-ctx.Done():
			return nil
		}
		netConn, err := l.ln.Accept()
		if err == nil {
			l.startConn(ctx, g, netConn, srv)
			continue
		}
		<-l.slots
		switch {
		case ctx.Err() != nil, errors.Is(err, net.ErrClosed):
			return nil
		case errors.Is(err, os.ErrDeadlineExceeded): // Close was called
		default:
			l.delayAccept(ctx, err)
		}
	}
}

// delayAccept logs a failed Accept and waits before the next one. Accept fails if descriptors run out or the client
// disconnects early; neither may end the service.
func (l *Listener) delayAccept(ctx context.Context, err error) {
	l.log.WarnFields("accept", "client connection not accepted", err, logrus.Fields{
		"retry_after_ms": acceptRetryDelay.Milliseconds(),
	})
	select {
	case <-ctx.Done():
	case <-time.After(acceptRetryDelay):
	}
}

// acceptPending accepts the connections that are pending in the kernel. Clients may have written requests to them, which
// would be lost if the listener were closed.
func (l *Listener) acceptPending(ctx context.Context, g *errgroup.Group, srv *server.Server) {
	ln, ok := l.ln.(deadlineListener)
	if !ok {
		return
	}
	for l.hasPendingConnection() {
		select {
		case l.slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		// Another process that shares the socket may accept the connection first. Without a deadline, Accept would then
		// wait for the next connection.
		if ln.SetDeadline(time.Now().Add(pendingAcceptTimeout)) != nil {
			return
		}
		netConn, err := l.ln.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			<-l.slots
			continue
		}
		if err != nil {
			return
		}
		l.startConn(ctx, g, netConn, srv)
	}
}

// hasPendingConnection reports whether a connection is waiting to be accepted.
func (l *Listener) hasPendingConnection() bool {
	socket, ok := l.ln.(syscall.Conn)
	return ok && readable(socket)
}

// startConn registers a connection with srv and starts its goroutines in g. Serve calls it directly, so that srv knows
// every connection once Serve has returned.
func (l *Listener) startConn(ctx context.Context, g *errgroup.Group, netConn net.Conn, srv *server.Server) {
	connection := newConn(netConn)
	srv.ConnectionOpened(connection)
	g.Go(func() error {
		connection.writeUntilClosed(ctx)
		<-l.slots
		return nil
	})
	g.Go(func() error {
		connection.serve(srv, func(err error) { l.logReadError(netConn, err) })
		return nil
	})
}

// logReadError logs why reading from a connection ended, unless the error is expected.
func (l *Listener) logReadError(netConn net.Conn, err error) {
	if isExpectedReadError(err) {
		return
	}
	l.log.WarnFields("client connection", "client connection failed", err, logrus.Fields{
		"address": netConn.RemoteAddr().String(),
	})
}

// isExpectedReadError reports whether err ends reading in normal operation.
func isExpectedReadError(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) || errors.Is(err, errReadPaused)
}
