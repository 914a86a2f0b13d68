// Package handover connects the two processes of one image server over a Unix socket while the successor replaces its
// predecessor. What they exchange keeps a request with an idempotency key from being run by both.
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

// Topics of log lines. Each message has one of its own, so that the limiter does not suppress one for another.
const (
	topicJoin       = "handover join"
	topicListen     = "handover listen"
	topicAccept     = "handover accept"
	topicConnection = "handover connection"
)

const messageNotListening = "handover socket not opened, no successor process can connect"

// Loop is what Run needs of the loop that deals with messages. Post hands it a function, from any goroutine; the others
// are called within the loop.
type Loop struct {
	Post          func(func())
	OnPredecessor func(*Link) // the predecessor is connected; nil: there is none
	OnSuccessor   func(*Link) // a successor has connected
	OnMessage     func(*Link, Message)
	OnEnd         func(*Link) // no more messages come from that process
}

// Run connects to the predecessor, if one listens at path, and accepts successors there: at once where there is no
// predecessor, and otherwise from the moment at which serving is closed. It returns once ctx ends and all messages are
// written.
func Run(ctx context.Context, path string, serving <-chan struct{}, loop Loop, log *logging.Limiter) error {
	group, ctx := errgroup.WithContext(ctx)
	found := join(path) //nolint:contextcheck // its dial must not end with ctx, as it says
	if found.dialErr != nil {
		log.Warn(topicJoin, "predecessor process not reachable, its idempotency keys are unknown", found.dialErr)
	}
	if found.listenErr != nil {
		log.Warn(topicListen, messageNotListening, found.listenErr)
	}
	if found.predecessor != nil {
		group.Go(func() error {
			serveConnection(ctx, found.predecessor, loop, loop.OnPredecessor, log)
			return nil
		})
	} else {
		loop.Post(func() { loop.OnPredecessor(nil) })
	}
	listener := found.listener
	group.Go(func() error {
		if listener == nil {
			listener = listenOnceServing(ctx, path, serving, log)
		}
		if listener != nil {
			acceptSuccessors(ctx, group, listener, loop, log)
		}
		return nil
	})
	return group.Wait() //nolint:wrapcheck // of functions of this package
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
		log.Warn(topicListen, messageNotListening, err)
		return nil
	}
	return listener
}

// acceptSuccessors serves each successor that connects, in group, until ctx ends.
func acceptSuccessors(ctx context.Context, group *errgroup.Group, listener net.Listener, loop Loop, log *logging.Limiter) {
	defer context.AfterFunc(ctx, func() {
		_ = listener.Close() // only ends Accept
	})()
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			log.Warn(topicAccept, "accepting a successor process failed", err)
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
