package overload

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Of callers that wait for a few different times over all tries, later tries must be known and not be held for older than
// they are; and where waits say nothing, nothing may be read into them.
func TestAgeEstimator(t *testing.T) {
	const ms = time.Millisecond
	for what, c := range map[string]struct {
		wait      func(r *rand.Rand) time.Duration // of a first try
		knows     float64                          // of later tries, at least
		mayBeSure bool                             // one wait for all: the age is exact
	}{
		"one wait":            {func(*rand.Rand) time.Duration { return 4000 * ms }, 0.97, true},
		"three waits":         {func(r *rand.Rand) time.Duration { return []time.Duration{4000 * ms, 5800 * ms, 480 * ms}[r.IntN(3)] }, 0.9, false},
		"a little off":        {func(r *rand.Rand) time.Duration { return 4000*ms - time.Duration(r.IntN(9))*ms }, 0.95, false},
		"waits all different": {func(r *rand.Rand) time.Duration { return time.Duration(100+r.IntN(60000)) * ms }, 0, false},
	} {
		r, p := rand.New(rand.NewPCG(1, 9)), NewAgeEstimator()
		later, known, wrong, firsts := 0, 0, 0, 0
		for i := range 4000 {
			now := time.Duration(i) * 20 * ms
			first := c.wait(r)
			for age := time.Duration(0); age < first; age += time.Duration(30+r.IntN(1500)) * ms {
				got := p.Age(now, "preview", first-age)
				if i < 200 {
					continue // it learns
				}
				switch {
				case age == 0 && got > 0:
					wrong++
				case age == 0:
					firsts++
				default:
					later++
					if got > 0 {
						known++
					}
					require.LessOrEqual(t, got, age+2*timeoutBucketWidth, what)
					if c.mayBeSure && got > 0 {
						require.InDelta(t, age, got, float64(2*timeoutBucketWidth), what)
					}
				}
				if r.IntN(2) == 0 {
					break
				}
			}
		}
		require.GreaterOrEqual(t, float64(known), c.knows*float64(later), what)
		require.LessOrEqual(t, float64(wrong), 0.01*float64(firsts+wrong), what)
		for _, w := range p.classes {
			require.LessOrEqual(t, len(w.counts), maxTimeoutBuckets)
		}
	}
	p := NewAgeEstimator()
	for i := range 3 * maxEstimatedClasses {
		p.Age(0, string(rune('a'+i)), time.Second)
	}
	require.Len(t, p.classes, maxEstimatedClasses)
}
