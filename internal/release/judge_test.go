package release

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// rollout plays looks at a canary of one in ten: each look brings some requests of each class from both versions. bad says
// what share goes wrong in a class with a version, at a look.
func rollout(t *testing.T, seed uint64, maxRounds int, errorRatio func(class string, isNew bool, round int) float64) (verdict Verdict, at int, worst Group) {
	random := rand.New(rand.NewPCG(seed, 5))
	judge, err := NewJudge(Criteria{FalseHaltRate: 0.02, MinEffect: 0.03, MinRequests: 300, FalsePassRate: 0.05})
	require.NoError(t, err)
	count := func(n int, p float64) (k int) {
		for range n {
			if random.Float64() < p {
				k++
			}
		}
		return k
	}
	for round := range maxRounds {
		for _, class := range []string{"preview", "hires-crop", "licence-order"} {
			b := Block{Old: 90 + random.IntN(40), New: 8 + random.IntN(10)}
			b.OldBad, b.NewBad = count(b.Old, errorRatio(class, false, round)), count(b.New, errorRatio(class, true, round))
			require.NoError(t, judge.Observe(Group{"z0", class, "failed"}, b))
		}
		if verdict, worst = judge.Verdict(); verdict == Rejected {
			return verdict, round, worst
		}
	}
	return verdict, maxRounds, worst
}

// A version that is no worse must not be halted more often than stated, though it is looked at after each block and the
// share that goes wrong changes for both; one that is worse must be found soon, and in the class that it is worse in; and
// too little must never be called good.
func TestJudgeRollouts(t *testing.T) {
	const releases = 400
	rejected, passed := 0, 0
	for seed := range uint64(releases) {
		v, _, _ := rollout(t, seed, 200, func(_ string, _ bool, round int) float64 {
			return []float64{0.01, 0.05, 0.2}[round/20%3] // trouble of the whole fleet, which is nobody's fault
		})
		switch v {
		case Rejected:
			rejected++
		case Passed:
			passed++
		}
	}
	require.LessOrEqual(t, float64(rejected), 0.02*releases)
	t.Logf("no worse: %d of %d halted wrongly (stated: 2%%), %d called good within 200 looks", rejected, releases, passed)
	for name, test := range map[string]struct {
		bad    func(class string, isNew bool, round int) float64
		within int
		class  string
	}{
		"fails in all classes": {func(_ string, isNew bool, _ int) float64 { return map[bool]float64{false: 0.01, true: 0.15}[isNew] }, 60, ""},
		"fails in one class": {func(class string, isNew bool, _ int) float64 {
			return map[bool]float64{false: 0.01, true: 0.2}[isNew && class == "licence-order"]
		}, 60, "licence-order"},
		"bad only under load, from look 50 on": {func(_ string, isNew bool, round int) float64 {
			return map[bool]float64{false: 0.01, true: 0.25}[isNew && round >= 50]
		}, 110, ""},
		"leaks slowly": {func(_ string, isNew bool, round int) float64 {
			return 0.01 + map[bool]float64{false: 0, true: 0.002}[isNew]*float64(round)
		}, 150, ""},
	} {
		last := 0
		for seed := range uint64(50) {
			v, at, g := rollout(t, seed, 300, test.bad)
			require.Equal(t, Rejected, v, "%s: seed %d", name, seed)
			last = max(last, at)
			if test.class != "" {
				require.Equal(t, test.class, g.Class, name)
			}
		}
		require.LessOrEqual(t, last, test.within, name)
		t.Logf("%s: found after at most %d looks", name, last)
	}
	worse := 0
	for seed := range uint64(100) {
		if v, _, _ := rollout(t, seed, 100, func(_ string, isNew bool, _ int) float64 { return map[bool]float64{false: 0.02, true: 0.05}[isNew] }); v == Passed {
			worse++
		}
	}
	require.LessOrEqual(t, worse, 5, "worse by what counts, and called good")
	v, _, _ := rollout(t, 1, 3, func(string, bool, int) float64 { return 0.01 })
	require.Equal(t, Inconclusive, v, "a handful of requests says nothing")
}

// What makes no sense must change nothing, and terms that bound nothing must not be taken.
func TestInvalidBlocksAndCriteria(t *testing.T) {
	judge, err := NewJudge(Criteria{FalseHaltRate: 0.05, MinEffect: 0.02, MinRequests: 10, FalsePassRate: 0.05})
	require.NoError(t, err)
	for _, b := range []Block{{Old: 1, OldBad: 2}, {New: -1}, {New: 3, NewBad: 4}, {OldBad: -1}} {
		require.Error(t, judge.Observe(Group{}, b))
	}
	require.NoError(t, judge.Observe(Group{}, Block{New: 5, NewBad: 5}), "no old one beside it: nothing is compared")
	v, _ := judge.Verdict()
	require.Equal(t, Inconclusive, v)
	for _, terms := range []Criteria{{}, {FalseHaltRate: 0.05, MinEffect: 0.02, MinRequests: 10}, {FalseHaltRate: 2, MinEffect: 0.02, MinRequests: 10, FalsePassRate: 0.1},
		{FalseHaltRate: 0.05, MinRequests: 10, FalsePassRate: 0.1}, {FalseHaltRate: 0.05, MinEffect: 0.02, FalsePassRate: 0.1}} {
		_, err := NewJudge(terms)
		require.Error(t, err)
	}
}
