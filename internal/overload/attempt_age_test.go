package overload

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// firstTimeout draws the timeout of a first attempt.
type firstTimeout func(random *rand.Rand) time.Duration

func alwaysFourSeconds(*rand.Rand) time.Duration { return 4 * time.Second }

func oneOfThree(random *rand.Rand) time.Duration {
	return []time.Duration{4000 * time.Millisecond, 5800 * time.Millisecond, 480 * time.Millisecond}[random.IntN(3)]
}

func nearFourSeconds(random *rand.Rand) time.Duration {
	return 4*time.Second - time.Duration(random.IntN(9))*time.Millisecond
}

func anyTimeout(random *rand.Rand) time.Duration {
	return time.Duration(100+random.IntN(60000)) * time.Millisecond
}

// ageCounts counts first attempts and retries by how the estimator classified them.
type ageCounts struct {
	firstCorrect   int // first attempts that were classified as first attempts
	firstWrong     int // first attempts that were classified as retries
	retries        int // retries, however classified
	retriesCorrect int // retries that were classified as retries
}

// estimateAges simulates requests whose clients limit the time over all attempts, and counts how the estimator classifies
// them after a learning phase. It calls check for each retry.
func estimateAges(
	estimator *AgeEstimator, timeout firstTimeout, check func(age, estimate time.Duration),
) (counts ageCounts) {
	const requests, learning = 4000, 200
	random := rand.New(rand.NewPCG(1, 9))
	for request := range requests {
		now := time.Duration(request) * 20 * time.Millisecond
		first := timeout(random)
		for age := time.Duration(0); age < first; age += time.Duration(30+random.IntN(1500)) * time.Millisecond {
			estimate := estimator.RecordAttempt(now, "preview", first-age)
			if request < learning {
				continue
			}
			counts.count(age, estimate)
			if age > 0 {
				check(age, estimate)
			}
			if random.IntN(2) == 0 {
				break
			}
		}
	}
	return counts
}

func (c *ageCounts) count(age, estimate time.Duration) {
	switch {
	case age == 0 && estimate > 0:
		c.firstWrong++
	case age == 0:
		c.firstCorrect++
	default:
		c.retries++
		if estimate > 0 {
			c.retriesCorrect++
		}
	}
}

// If clients use a few timeouts, retries must be recognised, and the estimated age must exceed the true age by at most two
// bucket widths. First attempts must not be classified as retries, even if all timeouts differ. The memory for classes and
// buckets must be bounded.
func TestAgeEstimatorRecognisesRetries(t *testing.T) {
	for name, test := range map[string]struct {
		timeout  firstTimeout
		minKnown float64 // smallest ratio of the retries to be recognised
		exact    bool    // first attempts have only one timeout, so that the age must be exact
	}{
		"one timeout":       {alwaysFourSeconds, 0.97, true},
		"three timeouts":    {oneOfThree, 0.9, false},
		"a little off":      {nearFourSeconds, 0.95, false},
		"all are different": {anyTimeout, 0, false},
	} {
		estimator := NewAgeEstimator()
		counts := estimateAges(estimator, test.timeout, func(age, estimate time.Duration) {
			require.LessOrEqual(t, estimate, age+2*timeoutBucketWidth, name)
			if test.exact && estimate > 0 {
				require.InDelta(t, age, estimate, float64(2*timeoutBucketWidth), name)
			}
		})
		require.GreaterOrEqual(t, float64(counts.retriesCorrect), test.minKnown*float64(counts.retries), name)
		wrong := float64(counts.firstWrong)
		require.LessOrEqual(t, wrong, 0.01*(float64(counts.firstCorrect)+wrong), name)
		for _, histogram := range estimator.classes {
			require.LessOrEqual(t, len(histogram.counts), maxTimeoutBuckets)
		}
	}
	estimator := NewAgeEstimator()
	for class := range 3 * maxEstimatedClasses {
		estimator.RecordAttempt(0, string(rune('a'+class)), time.Second)
	}
	require.Len(t, estimator.classes, maxEstimatedClasses)
}
