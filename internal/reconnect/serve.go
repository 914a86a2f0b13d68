package reconnect

import (
	"context"

	"falldeal/internal/writequeue"

	"golang.org/x/sync/errgroup"
)

// Serve runs queue and read concurrently until one of them fails or ctx ends. Unless a write has failed, the messages that
// are queued by then are still written. Then the connection is closed, which makes read fail. Serve returns the first
// error, after both have returned.
func Serve(ctx context.Context, queue *writequeue.Queue, read func() error) error {
	group, ctx := errgroup.WithContext(ctx)
	defer context.AfterFunc(ctx, queue.Close)()
	group.Go(queue.Run)
	group.Go(read)
	return group.Wait() //nolint:wrapcheck // the functions say what failed
}
