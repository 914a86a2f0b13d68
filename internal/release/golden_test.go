package release

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "rewrite the golden file from what the code produces")

const goldenTexts = "testdata/texts.txt"

// The numbers and names of verdicts and the texts of errors are what a caller shows.
func TestGoldenTexts(t *testing.T) {
	var got strings.Builder
	for v := CantTell; v <= Bad; v++ {
		fmt.Fprintf(&got, "verdict %d: %s\n", v, v)
	}
	valid := Terms{Wrong: 0.01, Counts: 0.02, Least: 100, Sure: 0.05}
	for _, spoil := range []func(*Terms){
		func(terms *Terms) { terms.Wrong = 1 },
		func(terms *Terms) { terms.Sure = 0 },
		func(terms *Terms) { terms.Counts = -0.5 },
		func(terms *Terms) { terms.Least = 0 },
	} {
		terms := valid
		spoil(&terms)
		_, err := NewJudge(terms)
		require.Error(t, err)
		fmt.Fprintf(&got, "terms: %s\n", err)
	}
	judge, err := NewJudge(valid)
	require.NoError(t, err)
	group := Group{Zone: "eu-a", Class: "thumb", What: "failed"}
	err = judge.See(group, Block{Old: 1, OldBad: 2})
	require.Error(t, err)
	fmt.Fprintf(&got, "block: %s\n", err)
	for i := range mostGroups {
		require.NoError(t, judge.See(Group{Zone: fmt.Sprint("z", i)}, Block{Old: 1, New: 1}))
	}
	err = judge.See(group, Block{Old: 1, New: 1})
	require.Error(t, err)
	fmt.Fprintf(&got, "block: %s\n", err)
	if *update {
		require.NoError(t, os.WriteFile(goldenTexts, []byte(got.String()), 0o644))
	}
	want, err := os.ReadFile(goldenTexts)
	require.NoError(t, err)
	require.Equal(t, string(want), got.String())
}
