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

const acceptRetryDelay = 50 * time.Millisecond // after a failed accept

// Front is a listener for front ends; it implements server.Front.
type Front struct {
	ln    net.Listener
	slots chan struct{} // one for each connection that is open
	log   *logging.Limiter

	closeOnce sync.Once
	closing   chan struct{} // closed when no more connections are to come
}

func newFront(ln net.Listener, maxConns int, log *logging.Limiter) *Front {
	return &Front{ln: ln, slots: make(chan struct{}, maxConns), log: log, closing: make(chan struct{})}
}

// Listen opens a Front on addr that accepts up to most connections at a time; further ones wait.
func Listen(addr string, maxConns int, log *logging.Limiter) (*Front, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return newFront(ln, maxConns, log), nil
}

// Inherit opens a Front on a socket that listens already and was left open for this process.
func Inherit(fd uintptr, maxConns int, log *logging.Limiter) (*Front, error) {
	f := os.NewFile(fd, "inherited socket")
	defer f.Close()
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("inherited socket %d: %w", fd, err)
	}
	return newFront(ln, maxConns, log), nil
}

// Addr is where the Front listens.
func (f *Front) Addr() net.Addr { return f.ln.Addr() }

// Close has Serve accept what the machine has accepted already, and then close the listener.
func (f *Front) Close() error {
	f.closeOnce.Do(func() { close(f.closing) })
	if ln, ok := f.ln.(interface{ SetDeadline(time.Time) error }); ok {
		return ln.SetDeadline(expiredDeadline) // no Accept waits any more
	}
	return f.ln.Close()
}

// hasPendingConnection reports whether a connection waits to be accepted.
func (f *Front) hasPendingConnection() bool {
	sc, ok := f.ln.(syscall.Conn)
	return ok && readable(sc)
}

// acceptPending accepts what waits already: a request may have been written to it, and would be lost with the listener.
func (f *Front) acceptPending(ctx context.Context, g *errgroup.Group, srv *server.Server) {
	ln, ok := f.ln.(interface{ SetDeadline(time.Time) error })
	if !ok || ln.SetDeadline(time.Time{}) != nil {
		return
	}
	for f.hasPendingConnection() {
		select {
		case f.slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		nc, err := f.ln.Accept()
		if err != nil {
			return
		}
		f.startConn(ctx, g, newConn(nc), srv)
	}
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
		nc, err := f.ln.Accept()
		if err == nil {
			f.startConn(ctx, g, newConn(nc), srv)
			continue
		}
		<-f.slots
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue // it is being shut
		}
		// Out of descriptors, or the peer has gone: neither ends the service.
		f.log.Warn("accept", "front end not accepted", err)
		select {
		case <-ctx.Done():
		case <-time.After(acceptRetryDelay):
		}
	}
}

func (f *Front) startConn(ctx context.Context, g *errgroup.Group, connection *conn, srv *server.Server) {
	srv.ConnectionOpened(connection) // before Serve returns: then no connection is left that the server does not know
	g.Go(func() error {
		defer context.AfterFunc(ctx, connection.Close)()
		if connection.Run() == nil { // the reader tells of a connection that broke
			select {
			case <-connection.readDone:
			case <-time.After(lingerTimeout):
			}
		}
		connection.Close() // a reader that waits
		connection.netConn.Close()
		<-f.slots
		return nil
	})
	g.Go(func() error {
		connection.serve(srv, func(err error) {
			if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) && !errors.Is(err, errReadPaused) {
				f.log.Warn("front end", "connection of a front end ended", err)
			}
		})
		return nil
	})
}

// endReason tells why reading a connection ended.
func endReason(err error) server.EndReason {
	var broken net.Error
	switch {
	case errors.Is(err, errReadPaused):
		return server.ReadPaused
	case errors.Is(err, os.ErrDeadlineExceeded):
		return server.ReadTimeout
	case errors.Is(err, io.EOF), errors.As(err, &broken):
		return server.Disconnected
	}
	return server.MalformedInput
}
