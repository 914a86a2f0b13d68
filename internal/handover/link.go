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
	"syscall"
	"time"

	"falldeal/internal/logging"
	"falldeal/internal/writequeue"

	"golang.org/x/sync/errgroup"
)

const (
	maxLine          = 32 << 10 // a result of 4 KiB in base64, many times over
	writeQueueSize   = 4096     // messages, or batches of them, that wait to be written
	batchSize        = 32 << 10 // bytes
	dialTimeout      = time.Second
	acceptRetryDelay = 50 * time.Millisecond // after a failed accept
	lockRetryDelay   = 5 * time.Millisecond  // between two looks at a lock that another process holds
)

// Link leads to the other process.
type Link struct{ *writequeue.Queue }

// Publish sends messages, many of them in pieces: one buffer for thousands of results would grow by being copied.
func (l *Link) Publish(ms ...Message) {
	var b []byte
	for _, m := range ms {
		if b = appendMessage(b, m); len(b) >= batchSize {
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
	Post          func(func())
	OnPredecessor func(*Link) // the process before this one was joined; nil: there is none
	OnSuccessor   func(*Link) // a process that is to follow this one has joined
	OnMessage     func(*Link, Message)
	OnEnd         func(*Link)
}

// Run joins the older process, if one listens at path, and from the moment at which serves is closed lets a
// newer one join there. It returns once ctx ends and all that was told is written.
func Run(ctx context.Context, path string, serves <-chan struct{}, loop Loop, log *logging.Limiter) error {
	g, ctx := errgroup.WithContext(ctx)
	older, ln, err := join(path)
	if err != nil {
		log.Warn("handover", "no older process to be reached, or none can join this one", err)
	}
	if older != nil {
		g.Go(func() error { serve(ctx, older, loop, loop.OnPredecessor, log); return nil })
	} else {
		loop.Post(func() { loop.OnPredecessor(nil) })
	}
	g.Go(func() error {
		if ln == nil {
			select {
			case <-serves:
			case <-ctx.Done():
				return nil
			}
			var err error
			if ln, err = listen(path); err != nil {
				log.Warn("handover", "no newer process can join", err)
				return nil
			}
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
				case <-time.After(acceptRetryDelay):
				}
				continue
			}
			g.Go(func() error { serve(ctx, nc, loop, loop.OnSuccessor, log); return nil })
		}
	})
	return g.Wait()
}

// join returns the link to the older process that listens at path, or, where there is none, the listener that has
// taken the place: the next process finds this one though it does not serve yet. Of two that start at one time the
// lock lets one look and take its place before the other looks. An error may come beside either.
func join(path string) (older *net.UnixConn, ln *net.UnixListener, err error) {
	unlock := acquireLock(path + ".lock")
	defer unlock()
	nc, err := net.DialTimeout("unix", path, dialTimeout)
	if err == nil {
		return nc.(*net.UnixConn), nil, nil
	}
	ln, listenErr := listen(path)
	if errors.Is(err, fs.ErrNotExist) {
		err = nil // a process that has ended leaves its socket
	}
	return nil, ln, errors.Join(err, listenErr)
}

// acquireLock waits until no other process holds the lock, for as long as a dial may take: one that stands still must not keep
// this one from serving. A process that ends gives it back.
func acquireLock(path string) (unlock func()) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return func() {} // listening there fails as well, and says so
	}
	for until := time.Now().Add(2 * dialTimeout); syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) != nil; {
		if time.Now().After(until) {
			break
		}
		time.Sleep(lockRetryDelay)
	}
	return func() { f.Close() }
}

// listen takes the place at path of whatever listened there before, in one step: whoever calls there meanwhile finds
// the one or the other. The next process does the same, so the socket must not go with this one.
func listen(path string) (*net.UnixListener, error) {
	own := fmt.Sprintf("%s.%d", path, os.Getpid())
	if err := os.Remove(own); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("socket of the process before: %w", err)
	}
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: own, Net: "unix"})
	if err != nil {
		return nil, err
	}
	ln.SetUnlinkOnClose(false)
	if err := os.Rename(own, path); err != nil {
		ln.Close()
		return nil, err
	}
	return ln, nil
}

func serve(ctx context.Context, nc *net.UnixConn, loop Loop, joined func(*Link), log *logging.Limiter) {
	defer nc.Close()
	l := &Link{writequeue.NewHalf(nc, writeQueueSize)} // where the other process has ended, what it told last may still be unread
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
			loop.Post(func() { loop.OnMessage(l, m) })
		}
	})
	if err := g.Wait(); err != nil {
		log.Warn("handover", "link to the other process broke", err)
	}
	loop.Post(func() { loop.OnEnd(l) })
}
