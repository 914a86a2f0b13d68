package msgpackrpc

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
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
}

// Listen opens a Front on addr that accepts up to most connections at a time; further ones wait.
func Listen(addr string, most int, log *logging.Limiter) (*Front, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return &Front{ln: ln, slots: make(chan struct{}, most), log: log}, nil
}

// Inherit opens a Front on a socket that listens already and was left open for this process.
func Inherit(fd uintptr, most int, log *logging.Limiter) (*Front, error) {
	f := os.NewFile(fd, "inherited socket")
	defer f.Close()
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("inherited socket %d: %w", fd, err)
	}
	return &Front{ln: ln, slots: make(chan struct{}, most), log: log}, nil
}

// Addr is where the Front listens.
func (f *Front) Addr() net.Addr { return f.ln.Addr() }

// Close closes the listener.
func (f *Front) Close() error { return f.ln.Close() }

// Serve implements server.Front.
func (f *Front) Serve(ctx context.Context, g *errgroup.Group, s *server.Server) error {
	defer context.AfterFunc(ctx, func() { f.ln.Close() })()
	for {
		select {
		case f.slots <- struct{}{}:
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
		// Out of descriptors, or the peer has gone: neither ends the service.
		f.log.Warn("accept", "front end not accepted", err)
		select {
		case <-ctx.Done():
		case <-time.After(acceptPause):
		}
	}
}

func (f *Front) start(ctx context.Context, g *errgroup.Group, c *conn, s *server.Server) {
	s.Opened(c) // before Serve returns: then no connection is left that the server does not know
	g.Go(func() error {
		defer context.AfterFunc(ctx, c.Close)()
		_ = c.Run() // the reader tells of a connection that broke
		<-f.slots
		return nil
	})
	g.Go(func() error {
		err := c.read(s)
		if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
			f.log.Warn("front end", "connection of a front end ended", err)
		}
		c.Close()
		s.Closed(c, endOf(err))
		return nil
	})
}

// endOf tells why reading a connection ended.
func endOf(err error) server.End {
	var broken net.Error
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return server.Silent
	case errors.Is(err, io.EOF), errors.As(err, &broken):
		return server.Left
	}
	return server.Unreadable
}
