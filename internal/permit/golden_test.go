package permit

import (
	"fmt"
	"strings"
	"testing"

	"falldeal/lab/golden"

	"github.com/stretchr/testify/require"
)

// A changed number would change the meaning of commands in the replicated log; operators know the kinds by their names.
func TestGoldenCommandKinds(t *testing.T) {
	var got strings.Builder
	for kind := Acquire; kind <= SetRules; kind++ {
		fmt.Fprintf(&got, "%d: %s\n", kind, kind)
	}
	fmt.Fprintf(&got, "%d: %q\n%d: %s\n", 0, CommandKind(0), 200, CommandKind(200))
	golden.RequireFile(t, "kinds.txt", got.String())
}

// goldenView returns a view of six instances in three zones, modified by change.
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

// goldenAcquire returns a command that requests permits for the named instances, each with incarnation 5.
func goldenAcquire(knownHalts uint64, view FleetView, names ...string) Command {
	incarnations := map[string]uint64{}
	for _, name := range names {
		incarnations[name] = 5
	}
	return Command{
		Kind:         Acquire,
		Owner:        "deploy",
		Reason:       "release 2",
		Names:        names,
		Incarnations: incarnations,
		KnownHalts:   knownHalts,
		View:         view,
	}
}

func goldenRules(version uint64, limits ...Limit) Command {
	return Command{Kind: SetRules, Owner: "operator", Rules: Rules{Version: version, Margin: 0.2, Limits: limits}}
}

// goldenReport returns a report of instance n0 about itself.
func goldenReport(kind CommandKind, incarnation, seq uint64) Command {
	const name = "n0"
	return Command{
		Kind:         kind,
		Owner:        name,
		Names:        []string{name},
		Incarnations: map[string]uint64{name: incarnation},
		Seq:          seq,
	}
}

// goldenCommands returns commands which, applied in this order, include a granted command of each kind and each kind of
// denial.
func goldenCommands() []Command {
	view := goldenView(noChange)
	return []Command{
		goldenAcquire(0, view, "n0"),
		goldenRules(1,
			Limit{Per: PerZone, MaxUnavailable: 1},
			Limit{Per: PerRegion, MaxUnavailableRatio: 0.5},
			Limit{Zone: "c", MaxUnavailableRatio: 0.1}),
		goldenRules(1, Limit{MaxUnavailable: 1}),
		goldenAcquire(0, view),
		goldenAcquire(0, view, "nobody"),
		goldenAcquire(0, view, "n0", "n1"),
		goldenAcquire(0, view, "n4"),
		goldenAcquire(0, goldenView(func(f *FleetView) { f.Lost = []string{"n3"} }), "n2"),
		goldenAcquire(0, goldenView(func(f *FleetView) { f.Load = 45 }), "n0"),
		goldenAcquire(0, goldenView(func(f *FleetView) { f.Load = 20 }), "n0", "n2"),
		goldenAcquire(0, view, "n0"),
		goldenReport(Recovered, 4, 1),
		goldenReport(Recovered, 5, 1),
		goldenReport(Departed, 4, 1),
		goldenReport(Departed, 5, 3),
		{Kind: Release, Owner: "n0", Names: []string{"n0"}, Epoch: 10},
		{Kind: Release, Owner: "n1", Names: []string{"n0"}, Epoch: 10},
		goldenReport(Recovered, 6, 1),
		goldenReport(Recovered, 6, 1),
		{Kind: Release, Owner: "n2", Names: []string{"n2"}, Epoch: 10},
		goldenAcquire(0, view, "n1"),
		{Kind: WriteOff, Owner: "operator", Names: []string{"n1"}},
		{Kind: WriteOff, Owner: "operator", Reason: strings.Repeat("broken ", 40), Names: []string{"n1"}},
		{Kind: WriteOff, Owner: "operator", Reason: "broken", Names: []string{"n1", "n2"}},
		{Kind: Departed, Owner: "operator"},
		{Kind: Halt, Owner: "operator", Reason: "incident"},
		goldenAcquire(0, view, "n0"),
		{Kind: Resume, Owner: "operator"},
		goldenAcquire(0, view, "n0"),
		goldenAcquire(1, view, "n0"),
		goldenRules(2),
		{Kind: 200, Owner: "operator"},
	}
}

// A change of a decision would make replicas of different versions diverge. The commands must lead to the recorded
// decisions, texts and permits.
func TestGoldenDecisions(t *testing.T) {
	var got strings.Builder
	state := NewState()
	for _, command := range goldenCommands() {
		decision := state.Apply(command)
		fmt.Fprintf(&got, "epoch=%d kind=%q owner=%q names=%q reason=%q granted=%v why=%q\n",
			decision.Epoch, decision.Kind, decision.Owner, decision.Names, decision.Reason,
			decision.Granted(), denialText(decision))
		for _, permit := range state.Permits() {
			fmt.Fprintf(&got, "    permit name=%q run=%d owner=%q reason=%q epoch=%d out=%v\n",
				permit.Name, permit.Incarnation, permit.Owner, permit.Reason, permit.Epoch, permit.Departed)
		}
	}
	fmt.Fprintf(&got, "halted=%v halts=%d log=%d\n", state.Halted(), state.Halts(), len(state.Log()))
	golden.RequireFile(t, "decisions.txt", got.String())
}

// The text of the error must name the invalid key of the rules, so that an operator can correct it.
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
	golden.RequireFile(t, "rule_errors.txt", got.String())
}
