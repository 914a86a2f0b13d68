package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The server's clock must not go back with the system clock, nor stand still until the system clock has caught up.
func TestClockNeverGoesBack(t *testing.T) {
	at := time.Now()
	serverClock := clock{read: func() time.Time { return at }}
	began := serverClock.advance()
	require.Equal(t, time.Duration(at.UnixNano()), began)
	at = at.Round(0).Add(-time.Hour) // without its monotonic part
	require.Equal(t, began, serverClock.advance())
	require.Equal(t, began, serverClock.fromUnix(time.Duration(at.UnixNano())))
	at = at.Add(time.Second)
	require.Equal(t, began+time.Second, serverClock.advance())
	at = at.Add(2 * time.Hour)
	require.Equal(t, time.Duration(at.UnixNano()), serverClock.advance())
	require.Zero(t, serverClock.skew)
}
