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
	jitterStream = 0x5702e // separates the random numbers for the store's backoff from those of other links
)

// dial is an attempt to open a connection.
type dial struct {
	address string
	delay   time.Duration      // wait before the attempt
	ctx     context.Context    //nolint:containedctx // the loop cancels a dial that runs on a goroutine of Run
	cancel  context.CancelFunc // cancels ctx; also called when Run ends
}

// open waits for the delay and then dials. It is called on a goroutine of Run. Its error is a *reconnect.UnreachableError.
func (d *dial) open() (net.Conn, error) {
	select {
	case <-d.ctx.Done():
	case <-time.After(d.delay):
	}
	return reconnect.Dial(d.ctx, "tcp", d.address, reconnect.DialTimeout) //nolint:wrapcheck // already an *UnreachableError
}

// dialer holds the dials in flight. A dial is wanted until it is cancelled. Whether cancelled or not, it is in flight until
// finish is called. A dialer belongs to the loop.
type dialer struct {
	requests chan *dial // to Run; has capacity for all dials in flight
	inFlight int        // number of dials in flight, including cancelled ones
	wanted   []*dial    // in the order of start
	backoff  *backoff.Backoff
	delay    time.Duration // wait before the next dial
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

// start requests a dial to address, after the current delay.
func (d *dialer) start(address string) {
	request := &dial{address: address, delay: d.delay}
	request.ctx, request.cancel = context.WithCancel(context.Background())
	d.inFlight++
	d.wanted = append(d.wanted, request)
	d.requests <- request
}

// cancelOldest cancels the oldest wanted dial.
func (d *dialer) cancelOldest() {
	d.wanted[0].cancel()
	d.wanted = slices.Delete(d.wanted, 0, 1)
}

func (d *dialer) cancelAll() {
	for _, request := range d.wanted {
		request.cancel()
	}
	d.wanted = nil
}

// finish removes a dial that has ended and reports whether it was still wanted.
func (d *dialer) finish(ended *dial) (wanted bool) {
	d.inFlight--
	ended.cancel() // releases its context
	i := slices.Index(d.wanted, ended)
	if i < 0 {
		return false
	}
	d.wanted = slices.Delete(d.wanted, i, i+1)
	return true
}

// increaseDelay delays the next dial for longer, after a failure.
func (d *dialer) increaseDelay() { d.delay = d.backoff.Next() }

// resetDelay lets the next dial start at once, after a success or for a new address.
func (d *dialer) resetDelay() {
	d.backoff.Reset()
	d.delay = 0
}
