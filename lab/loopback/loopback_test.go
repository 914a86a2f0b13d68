package loopback

import (
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// A listener must accept connections until it is closed. Afterwards dials must be refused, and its port must be free
// to listen on again.
func TestListenAndDial(t *testing.T) {
	listener := Listen(t)
	address := listener.Addr().String()
	conn := Dial(t, address)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	require.Equal(t, conn.LocalAddr().String(), accepted.RemoteAddr().String())
	require.NoError(t, accepted.Close())
	closed := ClosedAddress(t)
	var dialer net.Dialer
	_, err = dialer.DialContext(t.Context(), "tcp", closed)
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	require.Equal(t, closed, ListenAt(t, closed).Addr().String())
}
