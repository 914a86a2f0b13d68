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

const (
	acceptRetryDelay = 50 * time.Millisecond // pause after a failed accept
	rejoinDelay      = 50 * time.Millisecond // pause before the predecessor is looked for again
)

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
	// OnEnd is called when a link has ended: no more messages will come on it, although the other process may continue to run. For
	// the link to the predecessor it may return true, while the channel serving is open: Run then looks for the
	// predecessor again, and calls OnPredecessor once more.
	OnEnd func(*Link) (rejoin bool)
}

// Run connects to the predecessor that listens at path, if there is one, and accepts successors at path: at once if there
// is no predecessor, and otherwise once the channel serving is closed, when this process itself serves front ends. It
// returns after ctx has ended and all messages are written.
func Run(ctx context.Context, path string, serving <-chan struct{}, loop Loop, log *logging.Limiter) error {
	group, ctx := errgroup.WithContext(ctx)
	replaced := make(chan net.Listener, 1)        // the listener, if this process has replaced that at path before it serves
	found := joinPredecessor(path, replaced, log) //nolint:contextcheck // join says why its dial must not end with ctx
	group.Go(func() error {
		servePredecessor(ctx, path, found, replaced, loop, log)
		return nil
	})
	group.Go(func() error {
		if listener := awaitListener(ctx, path, replaced, serving, log); listener != nil {
			acceptSuccessors(ctx, group, listener, loop, log)
		}
		return nil
	})
	return group.Wait() //nolint:wrapcheck // its functions return no error
}

// joinPredecessor connects to the predecessor. If there is none, it returns nil, and sends the listener that replaces it at
// path, if that could be opened, to replaced.
func joinPredecessor(path string, replaced chan<- net.Listener, log *logging.Limiter) (predecessor net.Conn) {
	found := join(path)
	if found.dialErr != nil {
		log.Warn(topicJoin, "predecessor process not reachable, its idempotency keys are unknown", found.dialErr)
	}
	if found.listenErr != nil {
		log.Warn(topicListen, messageNotListening, found.listenErr)
	}
	if found.listener != nil {
		replaced <- found.listener
	}
	return found.predecessor
}

// servePredecessor serves the connection to the predecessor. If OnEnd returns true, it then connects to it again. Once there is no
// predecessor, it calls OnPredecessor with nil, after which this process may serve.
func servePredecessor(
	ctx context.Context, path string, predecessor net.Conn, replaced chan<- net.Listener, loop Loop, log *logging.Limiter,
) {
	for predecessor != nil {
		if !serveConnection(ctx, predecessor, loop, loop.OnPredecessor, log) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(rejoinDelay):
		}
		predecessor = joinPredecessor(path, replaced, log) //nolint:contextcheck // join says why its dial must not end with ctx
	}
	loop.Post(func() { loop.OnPredecessor(nil) })
}

// awaitListener returns the listener at path: that of replaced, or one that it opens once the channel serving is closed. It
// returns nil if ctx ends first or if listening fails.
func awaitListener(
	ctx context.Context, path string, replaced <-chan net.Listener, serving <-chan struct{}, log *logging.Limiter,
) net.Listener {
	select {
	case listener := <-replaced:
		return listener
	case <-ctx.Done():
		return nil
	case <-serving:
	}
	select {
	case listener := <-replaced: // it was sent before serving was closed
		return listener
	default:
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
