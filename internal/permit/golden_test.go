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

// goldenView are those of six instances in three zones.
func goldenView(change func(view *FleetView)) FleetView {
	view := FleetView{Capacity: map[string]float64{}}
	for i, zone := range []string{"a", "a", "b", "b", "c", "c"} {
		name := fmt.Sprint("n", i)
		view.Instances = append(view.Instances, Instance{Name: name, Region: "eu", Zone: zone})
		view.Capacity[name] = 10
	}
	change(&view)
	return view
}

func noChange(*FleetView) {}

func goldenAcquire(halted uint64, facts FleetView, names ...string) Command {
	runs := map[string]uint64{}
	for _, name := range names {
		runs[name] = 5
	}
	return Command{Kind: Acquire, Owner: "deploy", Reason: "release 2", Names: names, Incarnations: runs, KnownHalts: halted, View: facts}
}

func goldenRules(version uint64, limits ...Limit) Command {
	return Command{Kind: SetRules, Owner: "operator", Rules: Rules{Version: version, Margin: 0.2, Limits: limits}}
}

// goldenCommands come to every answer that there is.
func goldenCommands() []Command {
	facts := goldenView(noChange)
	run := func(kind Kind, name string, run, seq uint64) Command {
		return Command{Kind: kind, Owner: name, Names: []string{name}, Incarnations: map[string]uint64{name: run}, Seq: seq}
	}
	return []Command{
		goldenAcquire(0, facts, "n0"),
		goldenRules(1, Limit{Per: "zone", MaxUnavailable: 1}, Limit{Per: "region", MaxUnavailableRatio: 0.5}, Limit{Zone: "c", MaxUnavailableRatio: 0.1}),
		goldenRules(1, Limit{MaxUnavailable: 1}),
		goldenAcquire(0, facts),
		goldenAcquire(0, facts, "nobody"),
		goldenAcquire(0, facts, "n0", "n1"),
		goldenAcquire(0, facts, "n4"),
		goldenAcquire(0, goldenView(func(f *FleetView) { f.Lost = []string{"n3"} }), "n2"),
		goldenAcquire(0, goldenView(func(f *FleetView) { f.Load = 45 }), "n0"),
		goldenAcquire(0, goldenView(func(f *FleetView) { f.Load = 20 }), "n0", "n2"),
		goldenAcquire(0, facts, "n0"),
		run(Recovered, "n0", 4, 1),
		run(Recovered, "n0", 5, 1),
		run(Departed, "n0", 4, 1),
		run(Departed, "n0", 5, 3),
		{Kind: Release, Owner: "n0", Names: []string{"n0"}, Epoch: 10},
		{Kind: Release, Owner: "n1", Names: []string{"n0"}, Epoch: 10},
		run(Recovered, "n0", 6, 1),
		run(Recovered, "n0", 6, 1),
		{Kind: Release, Owner: "n2", Names: []string{"n2"}, Epoch: 10},
		goldenAcquire(0, facts, "n1"),
		{Kind: WriteOff, Owner: "operator", Names: []string{"n1"}},
		{Kind: WriteOff, Owner: "operator", Reason: strings.Repeat("broken ", 40), Names: []string{"n1"}},
		{Kind: WriteOff, Owner: "operator", Reason: "broken", Names: []string{"n1", "n2"}},
		{Kind: Departed, Owner: "operator"},
		{Kind: Halt, Owner: "operator", Reason: "incident"},
		goldenAcquire(0, facts, "n0"),
		{Kind: Resume, Owner: "operator"},
		goldenAcquire(0, facts, "n0"),
		goldenAcquire(1, facts, "n0"),
		goldenRules(2),
		{Kind: 200, Owner: "operator"},
	}
}

// Whoever applies the same commands must give the same answers, in the same words, and come to the same permits.
func TestGoldenDecisions(t *testing.T) {
	var got strings.Builder
	state := NewState()
	for _, command := range goldenCommands() {
		decision := state.Apply(command)
		fmt.Fprintf(&got, "epoch=%d kind=%q owner=%q names=%q reason=%q granted=%v why=%q\n",
			decision.Epoch, decision.Kind, decision.Owner, decision.Names, decision.Reason, decision.Granted, decision.Denial)
		for _, p := range state.Permits() {
			fmt.Fprintf(&got, "    permit name=%q run=%d owner=%q reason=%q epoch=%d out=%v\n", p.Name, p.Incarnation, p.Owner, p.Reason, p.Epoch, p.Departed)
		}
	}
	fmt.Fprintf(&got, "halted=%v halts=%d log=%d\n", state.Halted(), state.Halts(), len(state.Log()))
	requireGolden(t, "testdata/decisions.txt", got.String())
}

// The texts of errors name the key of the operators' rules that is at fault.
func TestGoldenRuleErrors(t *testing.T) {
	var got strings.Builder
	for _, test := range []struct {
		name  string
		rules Rules
	}{
		{"margin", Rules{Margin: 1, Limits: []Limit{{MaxUnavailable: 1}}}},
		{"no limits", Rules{}},
		{"each", Rules{Limits: []Limit{{MaxUnavailable: 1}, {Per: "rack", MaxUnavailable: 1}}}},
		{"neither bound", Rules{Limits: []Limit{{}}}},
		{"both bounds", Rules{Limits: []Limit{{MaxUnavailable: 1, MaxUnavailableRatio: 0.5}}}},
		{"share", Rules{Limits: []Limit{{MaxUnavailableRatio: 1.5}}}},
	} {
		err := test.rules.Check()
		require.Error(t, err, test.name)
		fmt.Fprintf(&got, "%s: %s\n", test.name, err)
	}
	requireGolden(t, "testdata/rule_errors.txt", got.String())
}
