package store

import (
	"context"
	"net"
	"slices"
	"time"

	"falldeal/internal/backoff"
	"falldeal/internal/reconnect"
)

const (
	minBackoff   = 10 * time.Millisecond
	maxBackoff   = 200 * time.Millisecond
	jitterStream = 0x5702e // sets the store's jitter apart from that of other links of one server
)

// dial is one attempt to open a connection.
type dial struct {
	address string
	delay   time.Duration      // before the attempt
	ctx     context.Context    //nolint:containedctx // the loop cancels what a goroutine of Run carries out
	cancel  context.CancelFunc // of ctx, at the end of Run too
}

// open waits for the delay, and dials. It is called on a goroutine of Run. Its error is a *reconnect.UnreachableError.
func (d *dial) open() (net.Conn, error) {
	select {
	case <-d.ctx.Done():
	case <-time.After(d.delay):
	}
	return reconnect.Dial(d.ctx, "tcp", d.address, reconnect.DialTimeout) //nolint:wrapcheck // an *UnreachableError
}

// dialer holds the dials in flight. A dial is wanted until it is cancelled; cancelled or not, it is in flight until its
// end is reported to remove. A dialer belongs to the loop.
type dialer struct {
	requests chan *dial // to Run; has room for all that may be in flight
	inFlight int        // wanted or cancelled
	wanted   []*dial    // in order
	backoff  *backoff.Backoff
	delay    time.Duration // before the next dial
}

func newDialer(maxInFlight int, seed uint64) dialer {
	return dialer{
		requests: make(chan *dial, maxInFlight),
		backoff: backoff.New(backoff.Config{
			BaseDelay: minBackoff,
			MaxDelay:  maxBackoff,
			Seed:      seed,
			Stream:    jitterStream,
		}),
	}
}

// start has Run dial address, after the delay that follows from the dials before.
func (d *dialer) start(address string) {
	request := &dial{address: address, delay: d.delay}
	request.ctx, request.cancel = context.WithCancel(context.Background())
	d.inFlight++
	d.wanted = append(d.wanted, request)
	d.requests <- request
}

// cancelOldest cancels the dial that has been wanted longest.
func (d *dialer) cancelOldest() {
	d.wanted[0].cancel()
	d.wanted = slices.Delete(d.wanted, 0, 1)
}

// cancelAll cancels all dials.
func (d *dialer) cancelAll() {
	for _, request := range d.wanted {
		request.cancel()
	}
	d.wanted = nil
}

// remove notes the end of a dial, and reports whether it was still wanted.
func (d *dialer) remove(ended *dial) (wanted bool) {
	d.inFlight--
	ended.cancel() // frees its context
	i := slices.Index(d.wanted, ended)
	if i < 0 {
		return false
	}
	d.wanted = slices.Delete(d.wanted, i, i+1)
	return true
}

// increaseDelay has the next dial wait longer, after a failure.
func (d *dialer) increaseDelay() { d.delay = d.backoff.Next() }

// resetDelay has the next dial made at once, after a success or for a new address.
func (d *dialer) resetDelay() {
	d.backoff.Reset()
	d.delay = 0
}
