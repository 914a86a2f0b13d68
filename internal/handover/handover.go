// Package handover connects the two processes of one image server over a Unix socket while the successor replaces its
// predecessor. Their messages ensure that a request with an idempotency key is not run by both.
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

// Topics of log lines. Each message has its own topic, so that the limiter does not suppress one message because of another.
const (
	topicJoin       = "handover join"
	topicListen     = "handover listen"
	topicAccept     = "handover accept"
	topicConnection = "handover connection"
)

const messageNotListening = "handover socket not opened, no successor process can connect"

// Loop connects Run to the event loop of the server. Post may be called from any goroutine, and makes the event loop call
// a function. The other functions are called on the event loop.
type Loop struct {
	Post          func(func())
	OnPredecessor func(*Link) // the predecessor has connected; nil if there is none
	OnSuccessor   func(*Link) // a successor has connected
	OnMessage     func(*Link, Message)
	OnEnd         func(*Link) // no more messages will come from that process
}

// Run connects to the predecessor that listens at path, if there is one, and accepts successors at path: at once if there
// is no predecessor, and otherwise once the channel serving is closed, when this process itself serves front ends. It
// returns after ctx has ended and all messages are written.
func Run(ctx context.Context, path string, serving <-chan struct{}, loop Loop, log *logging.Limiter) error {
	group, ctx := errgroup.WithContext(ctx)
	found := join(path) //nolint:contextcheck // join says why its dial must not end with ctx
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
	return group.Wait() //nolint:wrapcheck // its functions return no error
}

// listenOnceServing listens at path once the channel serving is closed. It returns nil if ctx ends first or if listening fails.
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

// acceptSuccessors accepts successors and serves each of them in group, until ctx ends.
func acceptSuccessors(ctx context.Context, group *errgroup.Group, listener net.Listener, loop Loop, log *logging.Limiter) {
	defer context.AfterFunc(ctx, func() {
		_ = listener.Close() // unblocks Accept
	})()
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			log.Warn(topicAccept, "accepting a successor process failed, trying again", err)
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
