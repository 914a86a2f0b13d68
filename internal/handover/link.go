package handover

import (
	"context"
	"errors"
	"fmt"
	"net"

	"falldeal/internal/jsonlines"
	"falldeal/internal/logging"
	"falldeal/internal/writequeue"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"
)

const (
	writeQueueSize = 4096     // maximum number of batches that wait to be written
	batchSize      = 32 << 10 // bytes; a batch of this size takes no further message

	maxUnhandledBytes = 128 << 10 // of messages that were read and wait for the loop
	messageBytes      = 256       // about the memory of a message without its result
)

// Link is the connection to the other process. It is safe for concurrent use.
type Link struct{ *writequeue.Queue }

// Publish sends messages in batches of about batchSize bytes, each in a buffer of its own: a single buffer for the results
// of thousands of runs would be copied each time it grows.
func (l *Link) Publish(messages ...Message) {
	var batch []byte
	for _, message := range messages {
		batch = appendMessage(batch, message)
		if len(batch) >= batchSize {
			l.Send(batch)
			batch = nil
		}
	}
	if len(batch) > 0 {
		l.Send(batch)
	}
}

// serveConnection serves a connection until it ends, and closes it. After a failed write it continues to read: messages
// that the other process sent before it ended may still be unread. It returns the result of loop.OnEnd, or false if ctx has ended.
func serveConnection(
	ctx context.Context, conn net.Conn, loop Loop, onJoined func(*Link), log *logging.Limiter,
) (rejoin bool) {
	defer conn.Close()
	link := &Link{writequeue.NewHalf(conn, writeQueueSize)}
	loop.Post(func() { onJoined(link) })
	if err := link.serve(ctx, conn, loop); err != nil {
		log.Warn(topicConnection, "handover connection closed after an invalid message", err)
	}
	ended := make(chan bool, 1)
	loop.Post(func() { ended <- loop.OnEnd(link) })
	select {
	case rejoin := <-ended:
		return rejoin
	case <-ctx.Done():
		return false
	}
}

// serve reads and writes messages until the connection ends or ctx ends. It returns an error only for an invalid message.
func (l *Link) serve(ctx context.Context, conn net.Conn, loop Loop) error {
	group, ctx := errgroup.WithContext(ctx)
	defer context.AfterFunc(ctx, l.Close)()
	group.Go(func() error {
		if l.Run() == nil {
			_ = conn.Close() // all messages are written; this ends readMessages
		}
		return nil // a broken connection also ends readMessages
	})
	group.Go(func() error {
		defer l.Close()
		return l.readMessages(ctx, conn, loop)
	})
	return group.Wait() //nolint:wrapcheck // readMessages says what failed
}

// readMessages passes messages to the loop until the connection ends. It reads no further message while maxUnhandledBytes of
// them wait for the loop, and drops messages after ctx has ended, when there is no loop any more. It returns an error, which
// wraps a *jsonlines.LineError, only for an invalid message.
func (l *Link) readMessages(ctx context.Context, conn net.Conn, loop Loop) error {
	room := semaphore.NewWeighted(maxUnhandledBytes)
	err := newParser().ReadEach(conn, func(message Message) {
		size := min(messageBytes+int64(len(message.line().body)), maxUnhandledBytes)
		if room.Acquire(ctx, size) != nil {
			return // ctx has ended
		}
		loop.Post(func() {
			room.Release(size)
			loop.OnMessage(l, message)
		})
	})
	var invalid *jsonlines.LineError
	if errors.As(err, &invalid) {
		return fmt.Errorf("read handover message: %w", err)
	}
	return nil // the other process has ended
}
