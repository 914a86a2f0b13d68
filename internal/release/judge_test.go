package release

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// rollout plays looks at a canary of one in ten: each look brings some requests of each class from both versions. bad says
// what share goes wrong in a class with a version, at a look.
func rollout(t *testing.T, seed uint64, looks int, bad func(class string, isNew bool, look int) float64) (v Verdict, at int, g Group) {
	r := rand.New(rand.NewPCG(seed, 5))
	j, err := NewJudge(Terms{FalseHaltRate: 0.02, MinEffect: 0.03, MinRequests: 300, FalsePassRate: 0.05})
	require.NoError(t, err)
	count := func(n int, p float64) (k int) {
		for range n {
			if r.Float64() < p {
				k++
			}
		}
		return k
	}
	for look := range looks {
		for _, class := range []string{"preview", "hires-crop", "licence-order"} {
			b := Block{Old: 90 + r.IntN(40), New: 8 + r.IntN(10)}
			b.OldBad, b.NewBad = count(b.Old, bad(class, false, look)), count(b.New, bad(class, true, look))
			require.NoError(t, j.Observe(Group{"z0", class, "failed"}, b))
		}
		if v, g = j.Verdict(); v == Rejected {
			return v, look, g
		}
	}
	return v, looks, g
}

// A version that is no worse must not be halted more often than stated, though it is looked at after each block and the
// share that goes wrong changes for both; one that is worse must be found soon, and in the class that it is worse in; and
// too little must never be called good.
func TestNewAgainstOld(t *testing.T) {
	const releases = 400
	wrong, good := 0, 0
	for seed := range uint64(releases) {
		v, _, _ := rollout(t, seed, 200, func(_ string, _ bool, look int) float64 {
			return []float64{0.01, 0.05, 0.2}[look/20%3] // trouble of the whole fleet, which is nobody's fault
		})
		switch v {
		case Rejected:
			wrong++
		case Passed:
			good++
		}
	}
	require.LessOrEqual(t, float64(wrong), 0.02*releases)
	t.Logf("no worse: %d of %d halted wrongly (stated: 2%%), %d called good within 200 looks", wrong, releases, good)
	for what, c := range map[string]struct {
		bad    func(class string, isNew bool, look int) float64
		within int
		class  string
	}{
		"fails in all classes": {func(_ string, isNew bool, _ int) float64 { return map[bool]float64{false: 0.01, true: 0.15}[isNew] }, 60, ""},
		"fails in one class": {func(class string, isNew bool, _ int) float64 {
			return map[bool]float64{false: 0.01, true: 0.2}[isNew && class == "licence-order"]
		}, 60, "licence-order"},
		"bad only under load, from look 50 on": {func(_ string, isNew bool, look int) float64 {
			return map[bool]float64{false: 0.01, true: 0.25}[isNew && look >= 50]
		}, 110, ""},
		"leaks slowly": {func(_ string, isNew bool, look int) float64 {
			return 0.01 + map[bool]float64{false: 0, true: 0.002}[isNew]*float64(look)
		}, 150, ""},
	} {
		last := 0
		for seed := range uint64(50) {
			v, at, g := rollout(t, seed, 300, c.bad)
			require.Equal(t, Rejected, v, "%s: seed %d", what, seed)
			last = max(last, at)
			if c.class != "" {
				require.Equal(t, c.class, g.Class, what)
			}
		}
		require.LessOrEqual(t, last, c.within, what)
		t.Logf("%s: found after at most %d looks", what, last)
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
func TestBlocksAndTermsThatMakeNoSense(t *testing.T) {
	j, err := NewJudge(Terms{FalseHaltRate: 0.05, MinEffect: 0.02, MinRequests: 10, FalsePassRate: 0.05})
	require.NoError(t, err)
	for _, b := range []Block{{Old: 1, OldBad: 2}, {New: -1}, {New: 3, NewBad: 4}, {OldBad: -1}} {
		require.Error(t, j.Observe(Group{}, b))
	}
	require.NoError(t, j.Observe(Group{}, Block{New: 5, NewBad: 5}), "no old one beside it: nothing is compared")
	v, _ := j.Verdict()
	require.Equal(t, Inconclusive, v)
	for _, terms := range []Terms{{}, {FalseHaltRate: 0.05, MinEffect: 0.02, MinRequests: 10}, {FalseHaltRate: 2, MinEffect: 0.02, MinRequests: 10, FalsePassRate: 0.1},
		{FalseHaltRate: 0.05, MinRequests: 10, FalsePassRate: 0.1}, {FalseHaltRate: 0.05, MinEffect: 0.02, FalsePassRate: 0.1}} {
		_, err := NewJudge(terms)
		require.Error(t, err)
	}
}
