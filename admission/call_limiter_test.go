package admission

import (
	"testing"
	"time"

	"falldeal/admission/internal/rolling"

	"github.com/stretchr/testify/require"
)

// The timeout of the next call must be the time left while the limit allows the call, and 0 otherwise. Credit
// must allow less than one call beyond the limit. Beyond safeCallRatio of maxInFlight the timeout must be
// capped.
func TestCallTimeout(t *testing.T) {
	for _, test := range []struct {
		name        string
		maxInFlight float64
		inFlight    int
		abandoned   int
		credit      float64
		callTime    float64
		used        float64 // call-seconds in the window
		want        time.Duration
	}{
		{"unlimited calls", 0, 50, 0, 0, 0.1, 0, time.Second},
		{"below the limit of 3", 6, 2, 0, 0, 0.1, 0, time.Second},
		{"less than one beyond the limit of 3.5, with credit", 7, 3, 0, 0.1, 0.1, 0, time.Second},
		{"less than one beyond the limit of 3.5, without credit", 7, 3, 0, 0, 0.1, 0, 0},
		{"more than one beyond the limit of 3.5, with credit", 7, 4, 0, 0.1, 0.1, 0, 0},
		{"one beyond a whole limit, with credit", 6, 3, 0, 0.1, 0.1, 0, 0},
		{"abandoned calls count", 6, 1, 2, 0, 0.1, 0, 0},
		{"beyond the safe ratio, little used", 1, 0, 0, 0.1, 0.1, 0, time.Second},
		{"beyond the safe ratio, some used", 1, 0, 0, 0.1, 0.1, 3.6, 700 * ms},
		{"beyond the safe ratio, too little time for a call", 1, 0, 0, 0.1, 0.2, 3.6, 0},
	} {
		limiter := newCallLimiter(0, &Settings{MaxCallsInFlight: test.maxInFlight, CallsWindow: 5 * time.Second,
			AbandonedCallTime: 200 * ms})
		limiter.inFlight = test.inFlight
		limiter.abandoned = test.abandoned
		limiter.credit = test.credit
		limiter.callTime = rolling.AverageOf(test.callTime)
		limiter.callSeconds.Add(0, test.used)
		require.InDelta(t, test.want, limiter.timeout(0, time.Second), float64(time.Microsecond), test.name)
	}
}

// Without an upper bound, an idle server could save up credit for a burst. Without a lower bound, one long
// overload could block calls for longer than the window.
func TestCallCreditIsBounded(t *testing.T) {
	limiter := newCallLimiter(0, &Settings{MaxCallsInFlight: 3, CallsWindow: 5 * time.Second})
	for now := ms; now < 10*time.Second; now += ms {
		limiter.advance(now, ms)
	}
	require.InDelta(t, 1.5*0.3*0.5/2, limiter.credit, 1e-9)
	limiter.inFlight = 9
	for now := 10 * time.Second; now < 20*time.Second; now += ms {
		limiter.advance(now, ms)
	}
	require.InDelta(t, -1.5*5, limiter.credit, 1e-9)
	require.InDelta(t, 5*9, limiter.callSeconds.Sum(20*time.Second), 9*0.2)
}

// The limit must stay within its bounds, and must not change before a call was measured. Calls are backlogged
// once as many wait as the limit allows in flight.
func TestCallLimitBounds(t *testing.T) {
	limiter := newCallLimiter(0, &Settings{MaxCallsInFlight: 10})
	limiter.adjust()
	require.InDelta(t, initialCallLimitRatio*10, limiter.limit(), 1e-9, "no call was measured")
	require.True(t, limiter.recovered())
	limiter.recordCallTime(10 * ms)
	require.False(t, limiter.recovered())
	for range 100 {
		limiter.adjust()
	}
	require.InDelta(t, maxCallLimitRatio*10, limiter.limit(), 1e-9)
	require.True(t, limiter.recovered())
	for range 100 {
		limiter.recordCallTime(time.Second)
		limiter.adjust()
	}
	require.InDelta(t, minCallLimitRatio*10, limiter.limit(), 1e-9)
	require.True(t, limiter.atMinimum())
	limiter.resetCallTimeToBest()
	require.InDelta(t, limiter.bestCallTime, limiter.callTime.Value(), 0)
	limiter.waitingCount = 3
	require.False(t, limiter.backlogged())
	limiter.waitingCount = 4
	require.True(t, limiter.backlogged())
	require.True(t, limiter.anyPending())
}

// New limits must not discard the calls in the window; a window of another length starts empty.
func TestReconfigureKeepsCallWindowUnlessItsLengthChanges(t *testing.T) {
	settings := &Settings{MaxCallsInFlight: 10, CallsWindow: 5 * time.Second}
	limiter := newCallLimiter(0, settings)
	limiter.callSeconds.Add(0, 7)
	settings.MaxCallsInFlight = 4
	limiter.configure(0, settings)
	require.InDelta(t, 7, limiter.callSeconds.Sum(0), 0)
	require.InDelta(t, 2, limiter.limit(), 1e-9)
	settings.CallsWindow = 3 * time.Second
	limiter.configure(0, settings)
	require.Zero(t, limiter.callSeconds.Sum(0))
}
