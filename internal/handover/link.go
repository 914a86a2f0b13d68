// Package handover joins the two processes of one image server while the newer one takes the place of the
// older one, over a Unix socket. What they tell each other keeps a keyed request from being run by both.
package handover

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"time"

	"falldeal/internal/logging"
	"falldeal/internal/outbox"

	"golang.org/x/sync/errgroup"
)

const (
	maxLine     = 32 << 10 // a result of 4 KiB in base64, many times over
	outRoom     = 4096     // messages, or batches of them, that wait to be written
	batch       = 32 << 10 // bytes
	dialTimeout = time.Second
	acceptPause = 50 * time.Millisecond // after a failed accept
)

// Link leads to the other process.
type Link struct{ *outbox.Outbox }

// Tell sends messages, many of them in pieces: one buffer for thousands of results would grow by being copied.
func (l *Link) Tell(ms ...Message) {
	var b []byte
	for _, m := range ms {
		if b = appendMessage(b, m); len(b) >= batch {
			l.Send(b)
			b = nil
		}
	}
	if len(b) > 0 {
		l.Send(b)
	}
}

// Loop is what Run needs of the loop that deals with messages. Post hands it a function, and the others are
// called within it.
type Loop struct {
	Post  func(func())
	Older func(*Link) // the process before this one was joined; nil: there is none
	Newer func(*Link) // a process that is to follow this one has joined
	Got   func(*Link, Message)
	Ended func(*Link)
}

// Run joins the older process, if one listens at path, and from the moment at which serves is closed lets a
// newer one join there. It returns once ctx ends and all that was told is written.
func Run(ctx context.Context, path string, serves <-chan struct{}, loop Loop, log *logging.Limiter) error {
	g, ctx := errgroup.WithContext(ctx)
	nc, err := net.DialTimeout("unix", path, dialTimeout)
	if err == nil {
		g.Go(func() error { serve(ctx, nc.(*net.UnixConn), loop, loop.Older, log); return nil })
	} else {
		if !errors.Is(err, fs.ErrNotExist) {
			log.Warn("handover", "no older process to be reached", err) // one that ended leaves its socket
		}
		loop.Post(func() { loop.Older(nil) })
	}
	g.Go(func() error {
		select {
		case <-serves:
		case <-ctx.Done():
			return nil
		}
		ln, err := listen(path)
		if err != nil {
			log.Warn("handover", "no newer process can join", err)
			return nil
		}
		defer context.AfterFunc(ctx, func() { ln.Close() })()
		for {
			nc, err := ln.AcceptUnix()
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			if err != nil {
				log.Warn("handover", "newer process not accepted", err)
				select {
				case <-ctx.Done():
				case <-time.After(acceptPause):
				}
				continue
			}
			g.Go(func() error { serve(ctx, nc, loop, loop.Newer, log); return nil })
		}
	})
	return g.Wait()
}

// listen takes the place at path of whatever listened there before. The next process does the same, so the
// socket must not go with this one.
func listen(path string) (*net.UnixListener, error) {
	if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("socket of the process before: %w", err)
	}
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return nil, err
	}
	ln.SetUnlinkOnClose(false)
	return ln, nil
}

// half is a connection whose writing side alone is closed: where the other process has ended, what it told last
// may still be unread.
type half struct{ *net.UnixConn }

func (h half) Close() error { return h.CloseWrite() }

func serve(ctx context.Context, nc *net.UnixConn, loop Loop, joined func(*Link), log *logging.Limiter) {
	defer nc.Close()
	l := &Link{outbox.New(half{nc}, outRoom)}
	loop.Post(func() { joined(l) })
	g, ctx := errgroup.WithContext(ctx)
	defer context.AfterFunc(ctx, l.Close)()
	g.Go(func() error {
		if l.Run() == nil {
			nc.Close() // all is written, and this process ends
		}
		return nil // the reader finds out why it can't be written
	})
	g.Go(func() error {
		defer l.Close()
		in := bufio.NewReaderSize(nc, maxLine)
		var p parser
		for {
			line, err := in.ReadSlice('\n')
			if err != nil {
				return nil // the other process has ended
			}
			m, err := p.parse(line)
			if err != nil {
				return err
			}
			loop.Post(func() { loop.Got(l, m) })
		}
	})
	if err := g.Wait(); err != nil {
		log.Warn("handover", "link to the other process broke", err)
	}
	loop.Post(func() { loop.Ended(l) })
}
