package permit

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "rewrite the golden files from what the code produces")

// requireGolden compares what the code produces now with a golden file.
func requireGolden(t *testing.T, path, got string) {
	t.Helper()
	if *update {
		require.NoError(t, os.WriteFile(path, []byte(got), 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), got)
}

// The numbers of commands are those of the log that all agree on, and the names stand in what is shown of it.
func TestGoldenKinds(t *testing.T) {
	var got strings.Builder
	for kind := Acquire; kind <= SetRules; kind++ {
		fmt.Fprintf(&got, "%d: %s\n", kind, kind)
	}
	fmt.Fprintf(&got, "%d: %q\n%d: %s\n", 0, Kind(0), 200, Kind(200))
	requireGolden(t, "testdata/kinds.txt", got.String())
}

// goldenFacts are those of six instances in three zones.
func goldenFacts(change func(f *Facts)) Facts {
	f := Facts{Capacity: map[string]float64{}}
	for i, zone := range []string{"a", "a", "b", "b", "c", "c"} {
		name := fmt.Sprint("n", i)
		f.Fleet = append(f.Fleet, Place{Name: name, Region: "eu", Zone: zone})
		f.Capacity[name] = 10
	}
	change(&f)
	return f
}

func noChange(*Facts) {}

func goldenAsk(halted uint64, facts Facts, names ...string) Command {
	runs := map[string]uint64{}
	for _, name := range names {
		runs[name] = 5
	}
	return Command{Kind: Acquire, Owner: "deploy", Reason: "release 2", Names: names, Runs: runs, Halted: halted, Facts: facts}
}

func goldenRules(version uint64, limits ...Limit) Command {
	return Command{Kind: SetRules, Owner: "operator", Rules: Rules{Version: version, Margin: 0.2, Limits: limits}}
}

// goldenCommands come to every answer that there is.
func goldenCommands() []Command {
	facts := goldenFacts(noChange)
	run := func(kind Kind, name string, run, seq uint64) Command {
		return Command{Kind: kind, Owner: name, Names: []string{name}, Runs: map[string]uint64{name: run}, Seq: seq}
	}
	return []Command{
		goldenAsk(0, facts, "n0"),
		goldenRules(1, Limit{Each: "zone", MaxOut: 1}, Limit{Each: "region", MaxRatio: 0.5}, Limit{Zone: "c", MaxRatio: 0.1}),
		goldenRules(1, Limit{MaxOut: 1}),
		goldenAsk(0, facts),
		goldenAsk(0, facts, "nobody"),
		goldenAsk(0, facts, "n0", "n1"),
		goldenAsk(0, facts, "n4"),
		goldenAsk(0, goldenFacts(func(f *Facts) { f.Lost = []string{"n3"} }), "n2"),
		goldenAsk(0, goldenFacts(func(f *Facts) { f.Load = 45 }), "n0"),
		goldenAsk(0, goldenFacts(func(f *Facts) { f.Load = 20 }), "n0", "n2"),
		goldenAsk(0, facts, "n0"),
		run(Recovered, "n0", 4, 1),
		run(Recovered, "n0", 5, 1),
		run(Departed, "n0", 4, 1),
		run(Departed, "n0", 5, 3),
		{Kind: Release, Owner: "n0", Names: []string{"n0"}, Epoch: 10},
		{Kind: Release, Owner: "n1", Names: []string{"n0"}, Epoch: 10},
		run(Recovered, "n0", 6, 1),
		run(Recovered, "n0", 6, 1),
		{Kind: Release, Owner: "n2", Names: []string{"n2"}, Epoch: 10},
		goldenAsk(0, facts, "n1"),
		{Kind: WriteOff, Owner: "operator", Names: []string{"n1"}},
		{Kind: WriteOff, Owner: "operator", Reason: strings.Repeat("broken ", 40), Names: []string{"n1"}},
		{Kind: WriteOff, Owner: "operator", Reason: "broken", Names: []string{"n1", "n2"}},
		{Kind: Departed, Owner: "operator"},
		{Kind: Halt, Owner: "operator", Reason: "incident"},
		goldenAsk(0, facts, "n0"),
		{Kind: Resume, Owner: "operator"},
		goldenAsk(0, facts, "n0"),
		goldenAsk(1, facts, "n0"),
		goldenRules(2),
		{Kind: 200, Owner: "operator"},
	}
}

// Whoever applies the same commands must give the same answers, in the same words, and come to the same permits.
func TestGoldenDecisions(t *testing.T) {
	var got strings.Builder
	state := NewState()
	for _, c := range goldenCommands() {
		d := state.Apply(c)
		fmt.Fprintf(&got, "epoch=%d kind=%q owner=%q names=%q reason=%q granted=%v why=%q\n",
			d.Epoch, d.Kind, d.Owner, d.Names, d.Reason, d.Granted, d.Why)
		for _, p := range state.Permits() {
			fmt.Fprintf(&got, "    permit name=%q run=%d owner=%q reason=%q epoch=%d out=%v\n", p.Name, p.Run, p.Owner, p.Reason, p.Epoch, p.Out)
		}
	}
	fmt.Fprintf(&got, "halted=%v halts=%d log=%d\n", state.Halted(), state.Halts(), len(state.Log()))
	requireGolden(t, "testdata/decisions.txt", got.String())
}

// The texts of errors name the key of the operators' rules that is at fault.
func TestGoldenRuleErrors(t *testing.T) {
	var got strings.Builder
	for _, c := range []struct {
		name  string
		rules Rules
	}{
		{"margin", Rules{Margin: 1, Limits: []Limit{{MaxOut: 1}}}},
		{"no limits", Rules{}},
		{"each", Rules{Limits: []Limit{{MaxOut: 1}, {Each: "rack", MaxOut: 1}}}},
		{"neither bound", Rules{Limits: []Limit{{}}}},
		{"both bounds", Rules{Limits: []Limit{{MaxOut: 1, MaxRatio: 0.5}}}},
		{"share", Rules{Limits: []Limit{{MaxRatio: 1.5}}}},
	} {
		err := c.rules.Check()
		require.Error(t, err, c.name)
		fmt.Fprintf(&got, "%s: %s\n", c.name, err)
	}
	requireGolden(t, "testdata/rule_errors.txt", got.String())
}
