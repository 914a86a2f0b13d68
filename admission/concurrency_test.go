package admission

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// The run limit must rise only while requests are queued on cores that are not fully used, and must not
// follow unknown demand.
func TestRunLimitFollowsDemand(t *testing.T) {
	limiter := newConcurrencyLimiter(0, &Settings{Cores: 4, MaxConcurrencyPerCore: 5})
	for _, test := range []struct {
		name   string
		demand float64
		queued bool
		want   float64 // after many periodic decisions
	}{
		{"idle cores beside a queue", 2, true, maxRunsPerCore * 4},
		{"demand over target", 9, true, 4},
		{"idle cores without a queue", 2, false, 4},
		{"unknown", -1, true, 4},
	} {
		for range 100 {
			limiter.adjust(test.demand, test.queued)
		}
		require.InDelta(t, test.want, limiter.runLimit, 1e-9, test.name)
	}
	require.InDelta(t, 16, limiter.concurrencyLimit(0), 1e-9)
	require.Equal(t, 1, limiter.trialRuns())
}

// The counts and the sum of work must stay those of plain lists of runs, through calls and ends in any order.
func TestRunCountsMatchReference(t *testing.T) {
	rng := rand.New(rand.NewPCG(4, 4))
	limiter := newConcurrencyLimiter(0, &Settings{Cores: 4, MaxConcurrencyPerCore: 5})
	var onCPU, waiting []float64 // their work
	sum := func(works []float64) (total float64) {
		for _, work := range works {
			total += work
		}
		return total
	}
	for range 5000 {
		switch roll := rng.IntN(4); {
		case roll == 0:
			work := float64(rng.IntN(8))
			limiter.start(work)
			onCPU = append(onCPU, work)
		case roll == 1 && len(onCPU) > 0:
			limiter.releaseCPU()
			waiting = append(waiting, onCPU[0])
			onCPU = onCPU[1:]
		case roll == 2 && len(waiting) > 0:
			limiter.reacquireCPU()
			onCPU = append(onCPU, waiting[0])
			waiting = waiting[1:]
		case roll == 3 && len(waiting) > 0:
			limiter.end(waiting[0])
			waiting = waiting[1:]
		}
		require.Equal(t, len(onCPU), limiter.onCPU)
		require.Equal(t, len(onCPU)+len(waiting), limiter.running)
		require.InDelta(t, sum(onCPU)+sum(waiting), limiter.work, 1e-9)
		require.Equal(t, len(onCPU) >= 4, limiter.allCoresBusy())
		require.Equal(t, float64(len(onCPU)) < limiter.runLimit, limiter.underRunLimit())
		require.Equal(t, len(onCPU) < 6 && limiter.running < 16, limiter.mayStart(0))
		require.Equal(t, limiter.running >= 1, limiter.enoughTrials())
	}
}
