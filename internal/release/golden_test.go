package release

import (
	"fmt"
	"strings"
	"testing"

	"falldeal/lab/golden"

	"github.com/stretchr/testify/require"
)

// Operators read the names of verdicts and the texts of errors, which must not change by accident.
func TestGoldenTexts(t *testing.T) {
	var got strings.Builder
	for v := Inconclusive; v <= Rejected; v++ {
		fmt.Fprintf(&got, "verdict %d: %s\n", v, v)
	}
	valid := Criteria{FalseHaltRate: 0.01, MinEffect: 0.02, MinRequests: 100, FalsePassRate: 0.05}
	for _, invalidate := range []func(*Criteria){
		func(criteria *Criteria) { criteria.FalseHaltRate = 1 },
		func(criteria *Criteria) { criteria.FalsePassRate = 0 },
		func(criteria *Criteria) { criteria.MinEffect = -0.5 },
		func(criteria *Criteria) { criteria.MinRequests = 0 },
	} {
		criteria := valid
		invalidate(&criteria)
		_, err := NewJudge(criteria)
		require.Error(t, err)
		fmt.Fprintf(&got, "terms: %s\n", err)
	}
	judge, err := NewJudge(valid)
	require.NoError(t, err)
	group := Group{Zone: "eu-a", Class: "thumb", Metric: "failed"}
	err = judge.Observe(group, Block{Baseline: 1, BaselineBad: 2})
	require.ErrorIs(t, err, ErrInvalidBlock)
	fmt.Fprintf(&got, "block: %s\n", err)
	for i := range maxGroups {
		require.NoError(t, judge.Observe(Group{Zone: fmt.Sprint("z", i)}, Block{Baseline: 1, Canary: 1}))
	}
	err = judge.Observe(group, Block{Baseline: 1, Canary: 1})
	require.ErrorIs(t, err, ErrTooManyGroups)
	fmt.Fprintf(&got, "block: %s\n", err)
	golden.RequireFile(t, "texts.txt", got.String())
}
