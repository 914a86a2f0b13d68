package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The timeout must be shortened only while the mean interval between the requests of a client exceeds half of
// it, and must never be longer than configured.
func TestIdleTimeoutFollowsMeanClientInterval(t *testing.T) {
	arrivals := newArrivalRate()
	for range 80 { // 10 requests per second over offeredTimeConstant
		arrivals.add(0, false)
	}
	timeout := idleTimeout{configured: 30 * time.Second, current: 30 * time.Second}
	require.False(t, timeout.adjust(0, 100, &arrivals), "each client returns after 10 s")
	require.True(t, timeout.adjust(0, 200, &arrivals), "each client returns after 20 s")
	require.Equal(t, shortIdleTimeout, timeout.current)
	require.False(t, timeout.adjust(0, 200, &arrivals))
	require.True(t, timeout.adjust(0, 100, &arrivals))
	require.Equal(t, 30*time.Second, timeout.current)
	timeout.configured = 300 * ms
	require.True(t, timeout.adjust(0, 1e6, &arrivals))
	require.Equal(t, 300*ms, timeout.current, "never longer than configured")
}
