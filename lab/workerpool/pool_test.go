package workerpool

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against work that completes too early or too late for the curve, as it does if a long interval between two calls of
// Advance is accounted for at a single speed.
func TestWorkCompletesAtThroughputOfCurve(t *testing.T) {
	for name, testCase := range map[string]struct {
		curve Curve
		n     int
		want  time.Duration // until n items of 100 ms each, all added at time 0, have completed
	}{
		"one worker per item":  {Curve{Workers: 4, Speed: 1, Knee: 1}, 4, 100 * time.Millisecond},
		"two items per worker": {Curve{Workers: 4, Speed: 1, Knee: 9}, 8, 200 * time.Millisecond},
		"slower machine":       {Curve{Workers: 4, Speed: 0.5, Knee: 9}, 4, 200 * time.Millisecond},
		"past the knee": {
			Curve{Workers: 4, Speed: 1, Knee: 1, SlowdownPerExcess: 0.5},
			8, 400 * time.Millisecond,
		},
		"at the minimum speed": {
			Curve{Workers: 1, Speed: 1, Knee: 1, SlowdownPerExcess: 1, MinSpeedRatio: 0.25},
			10, 4 * time.Second,
		},
		"in the warm-up, half the speed on average": {
			Curve{Workers: 1, Speed: 1, Knee: 1, WarmupStartRatio: 0, WarmupTime: 200 * time.Millisecond},
			1, 200 * time.Millisecond,
		},
	} {
		for _, interval := range []time.Duration{time.Millisecond, time.Second} {
			pool := NewPool(testCase.curve, 0)
			for i := range testCase.n {
				pool.Add(fmt.Sprint(i), 100*time.Millisecond)
			}
			completed, now := 0, time.Duration(0)
			for completed < testCase.n && now < time.Minute {
				next, ok := pool.NextCompletion()
				require.True(t, ok)
				now = max(next, now+interval)
				completed += len(pool.Advance(now))
			}
			tolerance := 0.3*testCase.want.Seconds() + interval.Seconds()
			require.InDelta(t, testCase.want.Seconds(), now.Seconds(), tolerance, name)
			require.InDelta(t, 0.1*float64(testCase.n), pool.WorkDone().Seconds(), 0.01, name)
			require.Equal(t, testCase.n, pool.MaxInFlight())
		}
	}
}

// Guards against crashes after short overloads: the tolerance must start again whenever the calls in flight were within the
// limit.
func TestCrashAfterSustainedOverloadOnly(t *testing.T) {
	crash := CrashModel{MaxInFlight: 10, Tolerance: time.Second, Downtime: 5 * time.Second}
	for at, n := range map[time.Duration]int{0: 10, 1: 3} {
		require.False(t, crash.Observe(at, n))
	}
	require.False(t, crash.Observe(2*time.Second, 11))
	require.False(t, crash.Observe(2900*time.Millisecond, 12))
	require.False(t, crash.Observe(2950*time.Millisecond, 9))
	require.False(t, crash.Observe(3100*time.Millisecond, 12), "the tolerance must start again after 9 calls in flight")
	require.True(t, crash.Observe(4200*time.Millisecond, 12))
	require.True(t, crash.IsDown(9*time.Second))
	require.False(t, crash.IsDown(10*time.Second))
}
