package release

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// errorRatios returns the ratio of bad requests of a class, with the canary or the baseline, in a round.
type errorRatios func(class string, canary bool, round int) float64

// constantly returns the same ratios for all classes and rounds.
func constantly(baselineRatio, canaryRatio float64) errorRatios {
	return func(_ string, canary bool, _ int) float64 {
		if canary {
			return canaryRatio
		}
		return baselineRatio
	}
}

// result is the result of a simulated rollout.
type result struct {
	verdict Verdict
	rounds  int   // rounds before the rejection; all rounds without one
	worst   Group // group with the strongest evidence that the canary is worse
}

// rollout simulates a canary of one instance in ten. In each round, both versions serve some requests of each class. It
// ends at a rejection or after maxRounds.
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
			block := Block{Baseline: 90 + random.IntN(40), Canary: 8 + random.IntN(10)}
			block.BaselineBad = countBad(block.Baseline, ratios(class, false, round))
			block.CanaryBad = countBad(block.Canary, ratios(class, true, round))
			require.NoError(t, judge.Observe(Group{"z0", class, "failed"}, block))
		}
		if end.verdict, end.worst = judge.Verdict(); end.verdict == Rejected {
			end.rounds = round
			return end
		}
	}
	return end
}

// countVerdicts returns how many of the simulated rollouts ended with each verdict.
func countVerdicts(t *testing.T, rollouts uint64, maxRounds int, ratios errorRatios) map[Verdict]int {
	t.Helper()
	counts := map[Verdict]int{}
	for seed := range rollouts {
		counts[rollout(t, seed, maxRounds, ratios).verdict]++
	}
	return counts
}

// A version that is no worse must not be rejected more often than FalseHaltRate. Evaluating the test after each round, and
// faults that change the error ratio of both versions, would raise the rate of a test with a fixed sample size.
func TestFalseHaltRate(t *testing.T) {
	const rollouts = 400
	counts := countVerdicts(t, rollouts, 200, func(_ string, _ bool, round int) float64 {
		return []float64{0.01, 0.05, 0.2}[round/20%3] // faults of the whole fleet
	})
	require.LessOrEqual(t, float64(counts[Rejected]), 0.02*rollouts)
	t.Logf("no worse: %d of %d rollouts rejected (bound: 2%%), %d passed within 200 rounds",
		counts[Rejected], rollouts, counts[Passed])
}

// A worse version must be rejected within a bounded number of rounds, and the verdict must name the class in which it is
// worse. Many early rounds without a difference, or other classes without one, must not hide it.
func TestWorseVersionIsRejected(t *testing.T) {
	for name, test := range map[string]struct {
		ratios    errorRatios
		maxRounds int
		class     string // class that the verdict must name; empty = any
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
		"error ratio grows slowly": {func(_ string, canary bool, round int) float64 {
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
		t.Logf("%s: rejected after at most %d rounds", name, last)
	}
}

// A version that is worse by MinEffect must not pass more often than FalsePassRate.
func TestFalsePassRate(t *testing.T) {
	counts := countVerdicts(t, 100, 100, constantly(0.02, 0.05))
	require.LessOrEqual(t, counts[Passed], 5)
}

// A few requests are not enough evidence for a verdict, which must stay inconclusive.
func TestTooFewRequestsAreInconclusive(t *testing.T) {
	require.Equal(t, Inconclusive, rollout(t, 1, 3, constantly(0.01, 0.01)).verdict)
}

// Impossible counts would corrupt the evidence and must be an error. A block with requests of one version only must not
// count as a comparison.
func TestInvalidBlocksAreNoEvidence(t *testing.T) {
	judge, err := NewJudge(Criteria{FalseHaltRate: 0.05, MinEffect: 0.02, MinRequests: 10, FalsePassRate: 0.05})
	require.NoError(t, err)
	for _, block := range []Block{{Baseline: 1, BaselineBad: 2}, {Canary: -1}, {Canary: 3, CanaryBad: 4}, {BaselineBad: -1}} {
		require.ErrorIs(t, judge.Observe(Group{}, block), ErrInvalidBlock)
	}
	require.NoError(t, judge.Observe(Group{}, Block{Canary: 5, CanaryBad: 5}))
	verdict, _ := judge.Verdict()
	require.Equal(t, Inconclusive, verdict)
}

// A Judge with a missing or impossible criterion bounds no error rate. It must not be created.
func TestNewJudgeRejectsInvalidCriteria(t *testing.T) {
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
