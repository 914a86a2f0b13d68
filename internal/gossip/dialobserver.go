package gossip

import (
	"errors"
	"io"
	"sync"
	"syscall"

	"falldeal/internal/fleet"
)

// errNoResponse replaces the timeout error of a read from a connection that was accepted.
var errNoResponse = errors.New("no response in time after connecting")

// dialObserver records why the dial of one address fails, as memberlist's error does not say. It observes one address at a
// time and is safe for concurrent use.
type dialObserver struct {
	mu        sync.Mutex // guards all fields
	addr      string     // empty before the first dial
	responded bool       // at least one byte was read
	lastError error
}

// begin starts to observe the dial of addr, and discards what was recorded before.
func (o *dialObserver) begin(addr string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.addr = addr
	o.responded = false
	o.lastError = nil
}

// recordError records an error of a connection to addr, if addr is being observed.
func (o *dialObserver) recordError(addr string, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if addr == o.addr {
		o.lastError = err
	}
}

// recordResponse records that something was read from addr, if addr is being observed.
func (o *dialObserver) recordResponse(addr string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if addr == o.addr {
		o.responded = true
	}
}

// outcome returns the outcome of the failed dial. A connection that was lost before a response counts as refused, because
// the process is then assumed to have ended.
func (o *dialObserver) outcome() fleet.DialOutcome {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case errors.Is(o.lastError, syscall.ECONNREFUSED), !o.responded && isConnectionLost(o.lastError):
		return fleet.ConnectionRefused
	case errors.Is(o.lastError, errNoResponse):
		return fleet.ConnectionAccepted
	case isTimeout(o.lastError):
		return fleet.NoResponse
	}
	return fleet.OutcomeUnknown
}

func isConnectionLost(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.EOF)
}
