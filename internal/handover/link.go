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
)

const (
	writeQueueSize = 4096     // batches that wait to be written
	batchSize      = 32 << 10 // bytes from which on a batch of messages takes no further one
)

// Link is the connection to the other process. Any goroutine may use it.
type Link struct{ *writequeue.Queue }

// Publish sends messages in batches: one buffer for thousands of results would be copied whenever it grows.
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

// serveConnection runs one connection to its end, and closes it. After a failed write it goes on to read: what a process
// sent last before it ended may still be unread.
func serveConnection(ctx context.Context, conn net.Conn, loop Loop, onJoined func(*Link), log *logging.Limiter) {
	defer conn.Close()
	link := &Link{writequeue.NewHalf(conn, writeQueueSize)}
	loop.Post(func() { onJoined(link) })
	group, ctx := errgroup.WithContext(ctx)
	defer context.AfterFunc(ctx, link.Close)()
	group.Go(func() error {
		if link.Run() == nil {
			_ = conn.Close() // all is written, and this process ends
		}
		return nil // a write error is left for the reader to find
	})
	group.Go(func() error {
		defer link.Close()
		return readMessages(conn, link, loop)
	})
	if err := group.Wait(); err != nil {
		log.Warn(topicConnection, "connection to the other process failed", err)
	}
	loop.Post(func() { loop.OnEnd(link) })
}

// readMessages hands messages to the loop until the connection ends. Its error wraps a
// *jsonlines.LineError.
func readMessages(conn net.Conn, link *Link, loop Loop) error {
	err := newParser().ReadEach(conn, func(message Message) {
		loop.Post(func() { loop.OnMessage(link, message) })
	})
	var invalid *jsonlines.LineError
	if errors.As(err, &invalid) {
		return fmt.Errorf("read a message: %w", err)
	}
	return nil // the other process has ended
}
