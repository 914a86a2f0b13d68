// Package reconnect dials peers, serves connections to them, and maintains a connection to an address that may change.
package reconnect

import (
	"context"
	"net"
	"time"
)

// DialTimeout is the maximum duration of a TCP dial to a peer.
const DialTimeout = 2 * time.Second

// DrainTimeout is how long a connection is still read after its address was replaced. After that, queued messages are
// written, and the connection is closed.
const DrainTimeout = 1500 * time.Millisecond

// UnreachableError reports that no connection to Address could be opened, so that nothing was sent to the peer.
type UnreachableError struct {
	Address string
	Err     error
}

func (e *UnreachableError) Error() string { return e.Err.Error() }

// Unwrap returns the error of the dial.
func (e *UnreachableError) Unwrap() error { return e.Err }

// Dial opens a connection within timeout, unless ctx ends first. A non-nil error is an *UnreachableError.
func Dial(ctx context.Context, network, address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, &UnreachableError{Address: address, Err: err}
	}
	return conn, nil
}
