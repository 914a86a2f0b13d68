package gossip

import (
	"errors"
	"io"
	"sync"
	"syscall"

	"falldeal/internal/fleet"
)

// errNoAnswer stands for the timeout of a connection that was accepted.
var errNoAnswer = errors.New("no response in time after connecting")

// dialObserver follows the dial of one address at a time, to find out why it fails: memberlist's error does not say.
// Any goroutine may use it.
type dialObserver struct {
	mu        sync.Mutex
	addr      string // empty before the first dial
	answered  bool   // something was read
	lastError error
}

// begin forgets the last dial, and follows that of addr.
func (o *dialObserver) begin(addr string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.addr = addr
	o.answered = false
	o.lastError = nil
}

// recordError keeps the last error of the address that is followed.
func (o *dialObserver) recordError(addr string, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if addr == o.addr {
		o.lastError = err
	}
}

func (o *dialObserver) recordAnswer(addr string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if addr == o.addr {
		o.answered = true
	}
}

// evidence is what the failed dial showed.
func (o *dialObserver) evidence() fleet.DialOutcome {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case errors.Is(o.lastError, syscall.ECONNREFUSED), !o.answered && isConnectionLost(o.lastError):
		return fleet.ConnectionRefused
	case errors.Is(o.lastError, errNoAnswer):
		return fleet.ConnectionAccepted
	case isTimeout(o.lastError):
		return fleet.NoResponse
	}
	return fleet.OutcomeUnknown
}

func isConnectionLost(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.EOF)
}
