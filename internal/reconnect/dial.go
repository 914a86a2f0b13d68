// Package reconnect dials peers, serves connections to them, and keeps one open to an address that may be replaced.
package reconnect

import (
	"context"
	"net"
	"time"
)

// DialTimeout bounds a dial to a peer over TCP.
const DialTimeout = 2 * time.Second

// DrainTimeout is how long a connection may go on after its peer has moved to another address.
const DrainTimeout = 1500 * time.Millisecond

// UnreachableError reports that no connection to Address could be opened: nothing was sent to the peer.
type UnreachableError struct {
	Address string
	Err     error
}

func (e *UnreachableError) Error() string { return e.Err.Error() }

// Unwrap returns the error of the dial.
func (e *UnreachableError) Unwrap() error { return e.Err }

// Dial opens a connection within timeout, unless ctx ends before. Its error is an *UnreachableError.
func Dial(ctx context.Context, network, address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, &UnreachableError{Address: address, Err: err}
	}
	return conn, nil
}
