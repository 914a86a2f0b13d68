package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A retry storm is detected from marked retries, or from rejections where retries are not marked. Without
// arrivals, the mean interval of a client must not be infinite.
func TestRetryStormAndMeanClientInterval(t *testing.T) {
	arrivals := newArrivalRate()
	require.Equal(t, 10*offeredTimeConstant, arrivals.meanClientInterval(10), "nothing is known")
	for i := range 100 {
		arrivals.add(0, i%2 == 0)
	}
	require.True(t, arrivals.retryStorm())
	require.Equal(t, offeredTimeConstant/10, arrivals.meanClientInterval(10))
	calm := newArrivalRate()
	for range 100 {
		calm.add(0, false)
	}
	require.False(t, calm.retryStorm())
	for range 41 {
		calm.addRejection(0)
	}
	require.True(t, calm.retryStorm())
}

// A negative delay, due to differing clocks, counts as 0. Without arrivals the mean must decay, or the server
// would stay unhealthy.
func TestReadDelayIsAveragedAndDecays(t *testing.T) {
	var delay readDelay
	require.False(t, delay.exceeds(0.4, time.Second))
	delay.observe(-time.Second) // differing clocks
	require.False(t, delay.exceeds(0, time.Second))
	for range 100 {
		delay.observe(500 * ms)
	}
	require.True(t, delay.exceeds(0.4, time.Second))
	require.False(t, delay.exceeds(0.4, 2*time.Second))
	for range 100 {
		delay.decay()
	}
	require.False(t, delay.exceeds(0.4, time.Second), "it is forgotten")
}
