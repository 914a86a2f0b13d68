package workerpool

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Work must end when the curve says, however seldom the pool is looked at.
func TestWorkEnds(t *testing.T) {
	for name, c := range map[string]struct {
		curve Curve
		n     int
		want  time.Duration // until n pieces of 100 ms are done
	}{
		"room for all":           {Curve{Workers: 4, Speed: 1, Knee: 1}, 4, 100 * time.Millisecond},
		"shared":                 {Curve{Workers: 4, Speed: 1, Knee: 9}, 8, 200 * time.Millisecond},
		"slower machine":         {Curve{Workers: 4, Speed: 0.5, Knee: 9}, 4, 200 * time.Millisecond},
		"past the knee":          {Curve{Workers: 4, Speed: 1, Knee: 1, SlowdownPerExcess: 0.5}, 8, 400 * time.Millisecond},
		"never less than so":     {Curve{Workers: 1, Speed: 1, Knee: 1, SlowdownPerExcess: 1, MinSpeedRatio: 0.25}, 10, 4 * time.Second},
		"cold, half on the mean": {Curve{Workers: 1, Speed: 1, Knee: 1, ColdSpeedRatio: 0, WarmupTime: 200 * time.Millisecond}, 1, 200 * time.Millisecond},
	} {
		for _, look := range []time.Duration{time.Millisecond, time.Second} {
			p := NewPool(c.curve, 0)
			for i := range c.n {
				p.Add(fmt.Sprint(i), 100*time.Millisecond)
			}
			ended, now := 0, time.Duration(0)
			for ended < c.n && now < time.Minute {
				next, ok := p.NextCompletion()
				require.True(t, ok)
				now = max(next, now+look)
				ended += len(p.Advance(now))
			}
			require.InDelta(t, c.want.Seconds(), now.Seconds(), 0.3*c.want.Seconds()+look.Seconds(), name)
			require.InDelta(t, 0.1*float64(c.n), p.WorkDone().Seconds(), 0.01, name)
			require.Equal(t, c.n, p.MaxInFlight())
		}
	}
}

func TestStoreFallsOnlyWhenCrowdedForLong(t *testing.T) {
	f := CrashModel{MaxInFlight: 10, Tolerance: time.Second, Downtime: 5 * time.Second}
	for at, n := range map[time.Duration]int{0: 10, 1: 3} {
		require.False(t, f.Observe(at, n))
	}
	require.False(t, f.Observe(2*time.Second, 11))
	require.False(t, f.Observe(2900*time.Millisecond, 12))
	require.False(t, f.Observe(2950*time.Millisecond, 9))
	require.False(t, f.Observe(3100*time.Millisecond, 12), "it began anew")
	require.True(t, f.Observe(4200*time.Millisecond, 12))
	require.True(t, f.IsDown(9*time.Second))
	require.False(t, f.IsDown(10*time.Second))
}
