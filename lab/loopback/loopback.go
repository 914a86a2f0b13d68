// Package loopback opens sockets on 127.0.0.1 for tests. Sockets that a test has not closed are closed at its end.
package loopback

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// anyPort makes the kernel choose a free port.
const anyPort = "127.0.0.1:0"

// Listen returns a listener on a free port.
func Listen(tb testing.TB) *net.TCPListener {
	tb.Helper()
	return ListenAt(tb, anyPort)
}

// ListenAt returns a listener on an address.
func ListenAt(tb testing.TB, address string) *net.TCPListener {
	tb.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(tb.Context(), "tcp", address)
	require.NoError(tb, err)
	tb.Cleanup(func() {
		_ = listener.Close() // fails if the test has already closed it
	})
	tcpListener, ok := listener.(*net.TCPListener)
	require.True(tb, ok, "%T", listener)
	return tcpListener
}

// Dial returns a connection to an address.
func Dial(tb testing.TB, address string) net.Conn {
	tb.Helper()
	var dialer net.Dialer
	conn, err := dialer.DialContext(tb.Context(), "tcp", address)
	require.NoError(tb, err)
	tb.Cleanup(func() {
		_ = conn.Close() // fails if the test has already closed it
	})
	return conn
}

// ClosedAddress returns an address on which nothing listens.
func ClosedAddress(tb testing.TB) string {
	tb.Helper()
	listener := Listen(tb)
	require.NoError(tb, listener.Close())
	return listener.Addr().String()
}
