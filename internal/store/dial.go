package store

import (
	"context"
	"net"
	"slices"
	"time"

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
	ctx     context.Context    // stands here as the loop cancels what a goroutine of Run carries out
	cancel  context.CancelFunc // of ctx, at the end of Run too
}

// open waits for the delay, and dials.
func (d *dial) open() (net.Conn, error) {
	select {
	case <-d.ctx.Done():
	case <-time.After(d.delay):
	}
	return reconnect.Dial(d.ctx, "tcp", d.address, reconnect.DialTimeout)
}

// adjustDials asks for connections for the calls that wait, as far as there may be more, and cancels the oldest dials that
// no call waits for any more: where the store does not answer at all they would hang for their whole time, and the calls
// that come next would wait for them.
func (l *Link) adjustDials() {
	for len(l.wantedDials) > len(l.waiting) {
		l.wantedDials[0].cancel()
		l.wantedDials = slices.Delete(l.wantedDials, 0, 1)
	}
	for len(l.wantedDials) < len(l.waiting) && l.dialsInFlight+len(l.connections) < l.maxConnections {
		request := &dial{address: l.address, delay: l.dialDelay}
		request.ctx, request.cancel = context.WithCancel(context.Background())
		l.dialsInFlight++
		l.wantedDials = append(l.wantedDials, request)
		l.dialRequests <- request
	}
}

// removeDial notes the end of a dial, and reports whether it had been cancelled.
func (l *Link) removeDial(ended *dial) (cancelled bool) {
	l.dialsInFlight--
	ended.cancel() // frees its context
	i := slices.Index(l.wantedDials, ended)
	if i < 0 {
		return true
	}
	l.wantedDials = slices.Delete(l.wantedDials, i, i+1)
	return false
}

// handleDialFailed ends the call that has waited longest. A dial that was cancelled proves nothing about calls that wait.
func (l *Link) handleDialFailed(failed *dial, err error) {
	if !l.removeDial(failed) {
		l.dialDelay = l.backoff.Next()
		l.log.Warn("store", "no connection to the store", err)
		if refused := l.takeWaiting(); refused != nil {
			l.endCall(refused)
			l.onResult(refused.requestID, ConnectionRefused, nil)
		}
	}
	l.adjustDials()
}

// resetBackoff has the next dial made at once.
func (l *Link) resetBackoff() {
	l.backoff.Reset()
	l.dialDelay = 0
}
