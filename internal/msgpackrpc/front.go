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

const acceptPause = 50 * time.Millisecond // after a failed accept

// Front is a listener for front ends; it implements server.Front.
type Front struct {
	ln    net.Listener
	slots chan struct{} // one for each connection that is open
	log   *logging.Limiter

	once sync.Once
	shut chan struct{} // closed when no more connections are to come
}

func newFront(ln net.Listener, most int, log *logging.Limiter) *Front {
	return &Front{ln: ln, slots: make(chan struct{}, most), log: log, shut: make(chan struct{})}
}

// Listen opens a Front on addr that accepts up to most connections at a time; further ones wait.
func Listen(addr string, most int, log *logging.Limiter) (*Front, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return newFront(ln, most, log), nil
}

// Inherit opens a Front on a socket that listens already and was left open for this process.
func Inherit(fd uintptr, most int, log *logging.Limiter) (*Front, error) {
	f := os.NewFile(fd, "inherited socket")
	defer f.Close()
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("inherited socket %d: %w", fd, err)
	}
	return newFront(ln, most, log), nil
}

// Addr is where the Front listens.
func (f *Front) Addr() net.Addr { return f.ln.Addr() }

// Close has Serve accept what the machine has accepted already, and then close the listener.
func (f *Front) Close() error {
	f.once.Do(func() { close(f.shut) })
	if ln, ok := f.ln.(interface{ SetDeadline(time.Time) error }); ok {
		return ln.SetDeadline(passed) // no Accept waits any more
	}
	return f.ln.Close()
}

// waits reports whether a connection waits to be accepted.
func (f *Front) waits() bool {
	sc, ok := f.ln.(syscall.Conn)
	return ok && readable(sc)
}

// rest accepts what waits already: a request may have been written to it, and would be lost with the listener.
func (f *Front) rest(ctx context.Context, g *errgroup.Group, s *server.Server) {
	ln, ok := f.ln.(interface{ SetDeadline(time.Time) error })
	if !ok || ln.SetDeadline(time.Time{}) != nil {
		return
	}
	for f.waits() {
		select {
		case f.slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		nc, err := f.ln.Accept()
		if err != nil {
			return
		}
		f.start(ctx, g, newConn(nc), s)
	}
}

// Serve implements server.Front.
func (f *Front) Serve(ctx context.Context, g *errgroup.Group, s *server.Server) error {
	defer f.ln.Close()
	defer context.AfterFunc(ctx, func() { f.ln.Close() })()
	for {
		select {
		case f.slots <- struct{}{}:
		case <-f.shut:
			f.rest(ctx, g, s)
			return nil
		case <-ctx.Done():
			return nil
		}
		nc, err := f.ln.Accept()
		if err == nil {
			f.start(ctx, g, newConn(nc), s)
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
		case <-time.After(acceptPause):
		}
	}
}

func (f *Front) start(ctx context.Context, g *errgroup.Group, c *conn, s *server.Server) {
	s.ConnectionOpened(c) // before Serve returns: then no connection is left that the server does not know
	g.Go(func() error {
		defer context.AfterFunc(ctx, c.Close)()
		if c.Run() == nil { // the reader tells of a connection that broke
			select {
			case <-c.readDone:
			case <-time.After(lingerMost):
			}
		}
		c.Close() // a reader that waits
		c.net.Close()
		<-f.slots
		return nil
	})
	g.Go(func() error {
		c.serve(s, func(err error) {
			if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) && !errors.Is(err, errFinished) {
				f.log.Warn("front end", "connection of a front end ended", err)
			}
		})
		return nil
	})
}

// endOf tells why reading a connection ended.
func endOf(err error) server.EndReason {
	var broken net.Error
	switch {
	case errors.Is(err, errFinished):
		return server.ReadPaused
	case errors.Is(err, os.ErrDeadlineExceeded):
		return server.ReadTimeout
	case errors.Is(err, io.EOF), errors.As(err, &broken):
		return server.Disconnected
	}
	return server.MalformedInput
}
