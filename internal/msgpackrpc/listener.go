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

	"golang.org/x/sync/errgroup"
)

const (
	acceptRetryDelay     = 50 * time.Millisecond // after a failed Accept
	pendingAcceptTimeout = 50 * time.Millisecond // of an Accept for which a connection was pending
)

// Front is a listener for clients; it implements server.Front.
type Front struct {
	ln    net.Listener
	slots chan struct{} // holds one element for each open connection
	log   *logging.Limiter

	closeOnce sync.Once
	closing   chan struct{} // closed by Close
}

func newFront(ln net.Listener, maxConns int, log *logging.Limiter) *Front {
	return &Front{ln: ln, slots: make(chan struct{}, maxConns), log: log, closing: make(chan struct{})}
}

// Listen opens a Front on addr that accepts up to maxConns connections at a time; further ones wait.
func Listen(addr string, maxConns int, log *logging.Limiter) (*Front, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return newFront(ln, maxConns, log), nil
}

// Inherit is Listen on a socket that listens already and was left open for this process.
func Inherit(fd uintptr, maxConns int, log *logging.Limiter) (*Front, error) {
	file := os.NewFile(fd, "inherited socket")
	ln, err := net.FileListener(file)
	_ = file.Close() // the listener has a descriptor of its own
	if err != nil {
		return nil, fmt.Errorf("inherited socket %d: %w", fd, err)
	}
	return newFront(ln, maxConns, log), nil
}

// Addr returns the address of the listener.
func (f *Front) Addr() net.Addr { return f.ln.Addr() }

// Close has Serve accept the connections that the kernel has accepted already, and then close the listener. Further calls
// do nothing.
func (f *Front) Close() (err error) {
	f.closeOnce.Do(func() {
		err = f.interruptAccept() // first, as Serve lifts the deadline to accept pending connections
		close(f.closing)
	})
	return err
}

// interruptAccept ends an Accept that waits.
func (f *Front) interruptAccept() error {
	if ln, ok := f.ln.(interface{ SetDeadline(time.Time) error }); ok {
		return ln.SetDeadline(expiredDeadline)
	}
	return f.ln.Close()
}

// Serve implements server.Front.
func (f *Front) Serve(ctx context.Context, g *errgroup.Group, srv *server.Server) error {
	defer f.ln.Close()
	defer context.AfterFunc(ctx, func() { f.ln.Close() })()
	for {
		select {
		case f.slots <- struct{}{}:
		case <-f.closing:
			f.acceptPending(ctx, g, srv)
			return nil
		case <-ctx.Done():
			return nil
		}
		netConn, err := f.ln.Accept()
		if err == nil {
			f.startConn(ctx, g, netConn, srv)
			continue
		}
		<-f.slots
		switch {
		case ctx.Err() != nil, errors.Is(err, net.ErrClosed):
			return nil
		case errors.Is(err, os.ErrDeadlineExceeded): // Close was called
		default:
			f.delayAccept(ctx, err)
		}
	}
}

// delayAccept logs a failed Accept and waits before the next. Neither a lack of descriptors nor a client that has
// gone ends the service.
func (f *Front) delayAccept(ctx context.Context, err error) {
	f.log.Warn("accept", "front end not accepted", err)
	select {
	case <-ctx.Done():
	case <-time.After(acceptRetryDelay):
	}
}

// acceptPending accepts the connections that wait already: requests may have been written to them, and would be lost
// with the listener.
func (f *Front) acceptPending(ctx context.Context, g *errgroup.Group, srv *server.Server) {
	ln, ok := f.ln.(interface{ SetDeadline(time.Time) error })
	if !ok {
		return
	}
	for f.hasPendingConnection() {
		select {
		case f.slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		// A newer process that shares the socket may accept the connection first, so Accept must not wait for ever.
		if ln.SetDeadline(time.Now().Add(pendingAcceptTimeout)) != nil {
			return
		}
		netConn, err := f.ln.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			<-f.slots
			continue
		}
		if err != nil {
			return
		}
		f.startConn(ctx, g, netConn, srv)
	}
}

// hasPendingConnection reports whether a connection waits to be accepted.
func (f *Front) hasPendingConnection() bool {
	sc, ok := f.ln.(syscall.Conn)
	return ok && readable(sc)
}

// startConn announces a connection to srv and starts its goroutines in g. It is called within Serve, so that srv knows
// every connection once Serve has returned.
func (f *Front) startConn(ctx context.Context, g *errgroup.Group, netConn net.Conn, srv *server.Server) {
	connection := newConn(netConn)
	srv.ConnectionOpened(connection)
	g.Go(func() error {
		connection.writeUntilClosed(ctx)
		<-f.slots
		return nil
	})
	g.Go(func() error {
		connection.serve(srv, f.logReadError)
		return nil
	})
}

// logReadError logs why reading a connection ended, unless that is ordinary.
func (f *Front) logReadError(err error) {
	if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) && !errors.Is(err, errReadPaused) {
		f.log.Warn("front end", "connection of a front end ended", err)
	}
}
