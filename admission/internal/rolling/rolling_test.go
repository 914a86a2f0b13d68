package rolling

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// point is a value at a time.
type point struct {
	at    time.Duration
	value float64
}

// The sum must be that of all values in the newest buckets, also after pauses longer than the window.
func TestWindowAgainstPlainSum(t *testing.T) {
	const (
		buckets = 20
		width   = 250 * time.Millisecond
	)
	rng := rand.New(rand.NewPCG(1, 1))
	window := NewWindow(0, buckets*width, buckets)
	var points []point
	now := time.Duration(0)
	for range 5000 {
		now += time.Duration(rng.IntN(100)) * time.Millisecond
		if rng.IntN(200) == 0 {
			now += 6 * time.Second
		}
		added := point{now, float64(rng.IntN(5))}
		points = append(points, added)
		window.Add(now, added.value)
		want := 0.0
		for _, earlier := range points {
			if int64(now/width)-int64(earlier.at/width) < buckets {
				want += earlier.value
			}
		}
		require.InDelta(t, want, window.Sum(now), 1e-9, "at %v", now)
	}
}

// Each value must leave the window one span after it was added, also in a window that does not start at time
// 0.
func TestWindowDropsValuesAfterSpan(t *testing.T) {
	window := NewWindow(time.Hour, time.Second, 10)
	window.Add(time.Hour, 0.1)
	window.Add(time.Hour+300*time.Millisecond, 0.2)
	require.InDelta(t, 0.3, window.Sum(time.Hour+900*time.Millisecond), 1e-12)
	require.InDelta(t, 0.2, window.Sum(time.Hour+time.Second), 1e-12)
	require.Zero(t, window.Sum(time.Hour+10*time.Second))
}

// A span of 0 must not cause a division by a bucket width of 0.
func TestWindowWithZeroSpan(t *testing.T) {
	window := NewWindow(0, 0, 4)
	window.Add(1, 2)
	require.InDelta(t, 2, window.Sum(1), 0)
	require.Zero(t, window.Sum(5))
}

// Both sums must decay by the same factor, into however many steps the time is divided.
func TestDecayingPairAgainstClosedForm(t *testing.T) {
	pair := NewDecayingPair(2*time.Second, 3, 5)
	for now := time.Duration(0); now <= 4*time.Second; now += 100 * time.Millisecond {
		pair.DecayTo(now)
	}
	require.InDelta(t, 3*math.Exp(-2), pair.First, 1e-9)
	require.InDelta(t, 5*math.Exp(-2), pair.Second, 1e-9)
	pair.Add(4*time.Second, 1, 2)
	require.InDelta(t, 3*math.Exp(-2)+1, pair.First, 1e-9)
	require.InDelta(t, 5*math.Exp(-2)+2, pair.Second, 1e-9)
	pair.DecayTo(time.Second) // an earlier time changes nothing
	require.InDelta(t, 3*math.Exp(-2)+1, pair.First, 1e-9)
}

// The first value must count in full: starting from 0 would take many values to correct.
func TestAverage(t *testing.T) {
	var average Average
	require.False(t, average.Known())
	require.InDelta(t, 7, average.ValueOr(7), 0)
	require.Zero(t, average.Value())
	average.Add(10, 0.1)
	require.InDelta(t, 10, average.ValueOr(7), 0, "the first value counts in full")
	average.Add(20, 0.1)
	require.InDelta(t, 11, average.Value(), 1e-12)
	average.Scale(0.5)
	require.InDelta(t, 5.5, average.Value(), 1e-12)
	for range 300 {
		average.Add(4, 0.1)
	}
	require.InDelta(t, 4, average.Value(), 1e-9)
	require.Equal(t, Average{value: 3, known: true}, AverageOf(3))
}

// A rising line must be found. A falling line, or one steeper than the line from the origin, must be bounded,
// or estimates for unusual hints would be extreme.
func TestLinearFitSlopeIsBounded(t *testing.T) {
	for _, test := range []struct {
		name string
		y    func(x float64) float64
		want float64 // at 2
	}{
		{"through the origin", func(x float64) float64 { return 3 * x }, 6},
		{"with an intercept", func(x float64) float64 { return 1 + x }, 3},
		{"falling: the mean", func(x float64) float64 { return 2 - x }, 1.5},
		{"steeper than the line from the origin", func(x float64) float64 { return 4*x - 1 }, 4},
	} {
		var fit LinearFit
		require.False(t, fit.Known())
		for i := range 1000 {
			x := []float64{0.25, 0.75}[i%2]
			fit.Add(x, test.y(x), 0.01)
		}
		require.True(t, fit.Known())
		require.InDelta(t, test.want, fit.At(2), 0.05, test.name)
	}
	var fit LinearFit
	fit.Add(0.5, 3, 0.1)
	require.InDelta(t, 3, fit.At(100), 0, "one point has no slope")
}
