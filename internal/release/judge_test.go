package release

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// errorRatios says which ratio of the requests of a class goes wrong with a version in a round.
type errorRatios func(class string, canary bool, round int) float64

// constantly has the same ratio go wrong in all classes and rounds.
func constantly(baselineRatio, canaryRatio float64) errorRatios {
	return func(_ string, canary bool, _ int) float64 {
		if canary {
			return canaryRatio
		}
		return baselineRatio
	}
}

// result is how a rollout ended.
type result struct {
	verdict Verdict
	rounds  int // before the rejection, or all of them
	worst   Group
}

// rollout simulates a canary of one instance in ten: each round brings some requests of each class from both versions.
func rollout(t *testing.T, seed uint64, maxRounds int, ratios errorRatios) result {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 5))
	judge, err := NewJudge(Criteria{FalseHaltRate: 0.02, MinEffect: 0.03, MinRequests: 300, FalsePassRate: 0.05})
	require.NoError(t, err)
	countBad := func(requests int, ratio float64) (bad int) {
		for range requests {
			if random.Float64() < ratio {
				bad++
			}
		}
		return bad
	}
	end := result{rounds: maxRounds}
	for round := range maxRounds {
		for _, class := range []string{"preview", "hires-crop", "licence-order"} {
			block := Block{Old: 90 + random.IntN(40), New: 8 + random.IntN(10)}
			block.OldBad = countBad(block.Old, ratios(class, false, round))
			block.NewBad = countBad(block.New, ratios(class, true, round))
			require.NoError(t, judge.Observe(Group{"z0", class, "failed"}, block))
		}
		if end.verdict, end.worst = judge.Verdict(); end.verdict == Rejected {
			end.rounds = round
			return end
		}
	}
	return end
}

// countVerdicts returns how often so many rollouts ended with each verdict.
func countVerdicts(t *testing.T, rollouts uint64, maxRounds int, ratios errorRatios) map[Verdict]int {
	t.Helper()
	counts := map[Verdict]int{}
	for seed := range rollouts {
		counts[rollout(t, seed, maxRounds, ratios).verdict]++
	}
	return counts
}

// A version that is no worse must not be rejected more often than stated, though it is looked at after each round and the
// ratio that goes wrong changes for both versions.
func TestFalseHaltRate(t *testing.T) {
	const rollouts = 400
	counts := countVerdicts(t, rollouts, 200, func(_ string, _ bool, round int) float64 {
		return []float64{0.01, 0.05, 0.2}[round/20%3] // faults of the whole fleet
	})
	require.LessOrEqual(t, float64(counts[Rejected]), 0.02*rollouts)
	t.Logf("no worse: %d of %d rejected (stated: 2%%), %d passed within 200 rounds",
		counts[Rejected], rollouts, counts[Passed])
}

// A version that is worse must be found soon, and in the class that it is worse in.
func TestWorseVersionIsRejected(t *testing.T) {
	for name, test := range map[string]struct {
		ratios    errorRatios
		maxRounds int
		class     string // empty: any
	}{
		"fails in all classes": {constantly(0.01, 0.15), 60, ""},
		"fails in one class": {func(class string, canary bool, _ int) float64 {
			if canary && class == "licence-order" {
				return 0.2
			}
			return 0.01
		}, 60, "licence-order"},
		"fails only under load, from round 50 on": {func(_ string, canary bool, round int) float64 {
			if canary && round >= 50 {
				return 0.25
			}
			return 0.01
		}, 110, ""},
		"leaks slowly": {func(_ string, canary bool, round int) float64 {
			if canary {
				return 0.01 + 0.002*float64(round)
			}
			return 0.01
		}, 150, ""},
	} {
		last := 0
		for seed := range uint64(50) {
			end := rollout(t, seed, 300, test.ratios)
			require.Equal(t, Rejected, end.verdict, "%s: seed %d", name, seed)
			last = max(last, end.rounds)
			if test.class != "" {
				require.Equal(t, test.class, end.worst.Class, name)
			}
		}
		require.LessOrEqual(t, last, test.maxRounds, name)
		t.Logf("%s: found after at most %d rounds", name, last)
	}
}

// A version that is worse by an effect that matters must not pass more often than stated.
func TestFalsePassRate(t *testing.T) {
	counts := countVerdicts(t, 100, 100, constantly(0.02, 0.05))
	require.LessOrEqual(t, counts[Passed], 5)
}

// A handful of requests must not be enough for a verdict.
func TestTooFewRequests(t *testing.T) {
	require.Equal(t, Inconclusive, rollout(t, 1, 3, constantly(0.01, 0.01)).verdict)
}

// A block that makes no sense must change nothing, and requests of one version alone must compare nothing.
func TestInvalidBlocks(t *testing.T) {
	judge, err := NewJudge(Criteria{FalseHaltRate: 0.05, MinEffect: 0.02, MinRequests: 10, FalsePassRate: 0.05})
	require.NoError(t, err)
	for _, block := range []Block{{Old: 1, OldBad: 2}, {New: -1}, {New: 3, NewBad: 4}, {OldBad: -1}} {
		require.ErrorIs(t, judge.Observe(Group{}, block), ErrInvalidBlock)
	}
	require.NoError(t, judge.Observe(Group{}, Block{New: 5, NewBad: 5}))
	verdict, _ := judge.Verdict()
	require.Equal(t, Inconclusive, verdict)
}

// Criteria that bound nothing must not be accepted.
func TestInvalidCriteria(t *testing.T) {
	for _, criteria := range []Criteria{
		{},
		{FalseHaltRate: 0.05, MinEffect: 0.02, MinRequests: 10},
		{FalseHaltRate: 2, MinEffect: 0.02, MinRequests: 10, FalsePassRate: 0.1},
		{FalseHaltRate: 0.05, MinRequests: 10, FalsePassRate: 0.1},
		{FalseHaltRate: 0.05, MinEffect: 0.02, FalsePassRate: 0.1},
	} {
		_, err := NewJudge(criteria)
		require.Error(t, err)
	}
}
