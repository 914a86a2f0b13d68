package reconnect

import (
	"context"

	"falldeal/internal/writequeue"

	"golang.org/x/sync/errgroup"
)

// Serve runs queue, and read beside it, until either fails or ctx ends: what is queued by then is still written, and the
// connection closed, which has read fail. It returns the first error, once both have ended.
func Serve(ctx context.Context, queue *writequeue.Queue, read func() error) error {
	group, ctx := errgroup.WithContext(ctx)
	defer context.AfterFunc(ctx, queue.Close)()
	group.Go(queue.Run)
	group.Go(read)
	return group.Wait() //nolint:wrapcheck // the functions say what failed
}
