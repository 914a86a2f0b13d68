// Package handover joins the two processes of one image server while the newer one takes the place of the older one, over
// a Unix socket. What they exchange keeps a request with an idempotency key from being run by both.
package handover

import (
	"context"
	"errors"
	"net"
	"time"

	"falldeal/internal/logging"

	"golang.org/x/sync/errgroup"
)

// acceptRetryDelay is the pause after a failed accept.
const acceptRetryDelay = 50 * time.Millisecond

// Loop is what Run needs of the loop that deals with messages. Post hands it a function, from any goroutine; the others
// are called within the loop.
type Loop struct {
	Post          func(func())
	OnPredecessor func(*Link) // the process before this one was joined; nil: there is none
	OnSuccessor   func(*Link) // a process that is to follow this one has joined
	OnMessage     func(*Link, Message)
	OnEnd         func(*Link) // no more messages come from that process
}

// Run joins the older process, if one listens at path, and lets newer ones join there: at once where there is no older
// process, and otherwise from the moment at which serving is closed. It returns once ctx ends and all messages are
// written.
func Run(ctx context.Context, path string, serving <-chan struct{}, loop Loop, log *logging.Limiter) error {
	group, ctx := errgroup.WithContext(ctx)
	predecessor, listener, err := join(path)
	if err != nil {
		log.Warn("handover", "predecessor process not reachable, or handover socket not open", err)
	}
	if predecessor != nil {
		group.Go(func() error {
			serveConnection(ctx, predecessor, loop, loop.OnPredecessor, log)
			return nil
		})
	} else {
		loop.Post(func() { loop.OnPredecessor(nil) })
	}
	group.Go(func() error {
		if listener == nil {
			listener = listenOnceServing(ctx, path, serving, log)
		}
		if listener != nil {
			acceptSuccessors(ctx, group, listener, loop, log)
		}
		return nil
	})
	return group.Wait()
}

// listenOnceServing listens at path once serving is closed. It returns nil where ctx ends before, or listening fails.
func listenOnceServing(ctx context.Context, path string, serving <-chan struct{}, log *logging.Limiter) net.Listener {
	select {
	case <-serving:
	case <-ctx.Done():
		return nil
	}
	listener, err := listen(path)
	if err != nil {
		log.Warn("handover", "handover socket not open, no successor process can connect", err)
		return nil
	}
	return listener
}

// acceptSuccessors serves each newer process that joins, in group, until ctx ends.
func acceptSuccessors(ctx context.Context, group *errgroup.Group, listener net.Listener, loop Loop, log *logging.Limiter) {
	defer context.AfterFunc(ctx, func() { listener.Close() })()
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			log.Warn("handover", "accepting a successor process failed", err)
			select {
			case <-ctx.Done():
			case <-time.After(acceptRetryDelay):
			}
			continue
		}
		group.Go(func() error {
			serveConnection(ctx, conn, loop, loop.OnSuccessor, log)
			return nil
		})
	}
}
