package permit

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// newFleetView returns a view of n instances in two zones, each with a capacity of one second of work per second.
func newFleetView(n int) FleetView {
	view := FleetView{Capacity: map[string]float64{}}
	for i := range n {
		instance := Instance{Name: fmt.Sprint("n", i), Region: "belgium", Zone: fmt.Sprint("z", i%2)}
		view.Instances = append(view.Instances, instance)
		view.Capacity[instance.Name] = 1
	}
	return view
}

// newStateWithLimits returns a state in which only these limits are in force, with a margin of 10%.
func newStateWithLimits(limits ...Limit) *State {
	state := NewState()
	state.Apply(Command{Kind: SetRules, Rules: Rules{Version: 1, Limits: limits, Margin: 0.1}})
	return state
}

// acquireCommand returns a command that requests permits for the named instances, each with incarnation 1.
func acquireCommand(view FleetView, names ...string) Command {
	command := Command{Kind: Acquire, Owner: "op", Names: names, View: view, Incarnations: map[string]uint64{}}
	for _, name := range names {
		command.Incarnations[name] = 1
	}
	return command
}

// denialText returns the text of a denial, or "" for a grant.
func denialText(decision Decision) string {
	if decision.Granted() {
		return ""
	}
	return decision.Denial.Error()
}

// A command denied for the wrong reason would send operators to the wrong limit. Each case must be granted, or denied with
// the text of the reason that applies.
func TestAcquireDecisions(t *testing.T) {
	view := newFleetView(6)
	lost, busy, half, three := view, view, newFleetView(6), newFleetView(3)
	lost.Lost = []string{"n2"}
	busy.Load = 4.6
	half.Load = 2

	onePerZone := []Limit{{Per: PerZone, MaxUnavailable: 1}}
	onePerZoneAndOne := []Limit{{Per: PerZone, MaxUnavailable: 1}, {MaxUnavailable: 1}}
	third := []Limit{{MaxUnavailableRatio: 0.34}}
	tenth := []Limit{{MaxUnavailableRatio: 0.1}}
	one := []Limit{{MaxUnavailable: 1}}
	six := []Limit{{MaxUnavailable: 6}}

	acquire := func(names ...string) Command { return acquireCommand(view, names...) }
	halt, resume := Command{Kind: Halt}, Command{Kind: Resume}
	for name, test := range map[string]struct {
		limits  []Limit
		before  []Command
		command Command
		denial  string // part of the text of the denial; empty = granted
	}{
		"one":                      {onePerZone, nil, acquire("n0"), ""},
		"one of each zone":         {onePerZone, nil, acquire("n0", "n1"), ""},
		"two of a zone":            {onePerZone, nil, acquire("n0", "n2"), "limits[0]: 2 of 3 instances in belgium/z0"},
		"another out in the zone":  {onePerZone, []Command{acquire("n2")}, acquire("n0"), "limits[0]: 2 of 3"},
		"another out elsewhere":    {onePerZone, []Command{acquire("n2")}, acquire("n1"), ""},
		"another lost in the zone": {onePerZone, nil, acquireCommand(lost, "n0"), "limits[0]: 2 of 3"},
		"lost itself":              {onePerZone, nil, acquireCommand(lost, "n2"), ""}, // its departure changes no count
		"two limits":               {onePerZoneAndOne, []Command{acquire("n1")}, acquire("n0"), "limits[1]: 2 of 6 instances in all"},
		"ratio":                    {third, []Command{acquire("n1")}, acquire("n0"), ""},
		"ratio exceeded": {third, []Command{acquire("n1", "n2")}, acquire("n0"),
			"limits[0]: 3 of 6 instances in all would be unavailable, allowed: 2"},
		"ratio that rounds down to 0": {tenth, nil, acquire("n0"), "limits[0]: no instance of 6 in all may be unavailable"},
		"load would not fit":          {six, nil, acquireCommand(busy, "n0"), "load: 4.6"},
		"load fits":                   {six, nil, acquireCommand(half, "n0", "n1", "n2"), ""},
		"same again":                  {six, []Command{acquire("n0")}, acquire("n0"), "n0: already has a permit, held by op"},
		"unknown instance":            {six, nil, acquire("n9"), "n9: unknown instance"},
		"halted":                      {onePerZone, []Command{halt}, acquire("n0"), "halted"},
		"halted and resumed since": {onePerZone, []Command{halt, resume}, acquire("n0"),
			"grants were halted since the request was prepared"},
		"no rules":                  {nil, nil, acquire("n0"), "no limits are set"},
		"permitted one not in view": {one, []Command{acquire("n5")}, acquireCommand(three, "n0"), "limits[0]: 2 of 4"},
	} {
		state := NewState()
		if test.limits != nil {
			state = newStateWithLimits(test.limits...)
		}
		for _, command := range test.before {
			state.Apply(command)
		}
		decision := state.Apply(test.command)
		require.Contains(t, denialText(decision), test.denial, name)
		require.Equal(t, test.denial == "", decision.Granted(), "%s: %v", name, decision.Denial)
		require.Equal(t, decision, state.Log()[len(state.Log())-1])
	}
}

// A sum of floats depends on the order of its terms. If replicas summed up capacities in the random order of a map, they
// could decide differently. All sums must be equal to the last bit.
func TestRemainingCapacityIsDeterministic(t *testing.T) {
	const replicas = 100
	view := newFleetView(12)
	for i, instance := range view.Instances {
		view.Capacity[instance.Name] = 1 / float64(i+3)
	}
	view.Load = 100
	var first *LoadError
	for range replicas {
		state := newStateWithLimits(Limit{MaxUnavailable: 1})
		var load *LoadError
		require.ErrorAs(t, state.Apply(acquireCommand(view, "n0")).Denial, &load)
		if first == nil {
			first = load
		}
		require.Equal(t, first, load)
	}
}

// Random commands must never lead to a grant after which more instances are unavailable than a limit allows. The test
// counts these itself. Replicas that apply the same commands must hold the same permits.
func TestGrantsNeverExceedLimits(t *testing.T) {
	limits := []Limit{{Per: PerZone, MaxUnavailable: 2}, {MaxUnavailableRatio: 0.5}}
	rapid.Check(t, func(t *rapid.T) {
		first, second := newStateWithLimits(limits...), newStateWithLimits(limits...)
		view := newFleetView(rapid.IntRange(2, 9).Draw(t, "fleet"))
		for range rapid.IntRange(1, 40).Draw(t, "commands") {
			command := drawCommand(t, view, first.Halts())
			decision := first.Apply(command)
			require.Equal(t, decision, second.Apply(command))
			require.Equal(t, first.Permits(), second.Permits())
			if command.Kind != Acquire || !decision.Granted() {
				continue
			}
			require.False(t, first.Halted())
			unavailable := unavailableNames(first, command.View)
			for _, n := range unavailableByZone(view, unavailable, command.Names) {
				require.LessOrEqual(t, n, 2)
			}
			require.LessOrEqual(t, len(unavailable), len(view.Instances)/2)
		}
	})
}

// drawCommand draws a command of any kind that names one or two instances of the view.
func drawCommand(t *rapid.T, view FleetView, knownHalts uint64) Command {
	drawName := func(label string) string {
		return view.Instances[rapid.IntRange(0, len(view.Instances)-1).Draw(t, label)].Name
	}
	command := Command{
		Kind:       CommandKind(rapid.IntRange(1, 8).Draw(t, "kind")),
		Owner:      "op",
		Names:      []string{drawName("name")},
		Seq:        rapid.Uint64Range(0, 3).Draw(t, "seq"),
		Reason:     rapid.SampledFrom([]string{"", "x"}).Draw(t, "reason"),
		KnownHalts: knownHalts,
		View:       view,
	}
	command.View.Lost = nil
	for range rapid.IntRange(0, 2).Draw(t, "lost") {
		command.View.Lost = append(command.View.Lost, drawName("lost"))
	}
	if rapid.Bool().Draw(t, "two names") {
		command.Names = append(command.Names, drawName("second name"))
	}
	command.Incarnations = map[string]uint64{command.Names[0]: rapid.Uint64Range(0, 3).Draw(t, "incarnation")}
	return command
}

// unavailableNames returns the names of the instances that have a permit or are lost.
func unavailableNames(state *State, view FleetView) map[string]bool {
	unavailable := map[string]bool{}
	for _, permit := range state.Permits() {
		unavailable[permit.Name] = true
	}
	for _, name := range view.Lost {
		unavailable[name] = true
	}
	return unavailable
}

// unavailableByZone counts the unavailable instances in each zone that has one of the named instances.
func unavailableByZone(view FleetView, unavailable map[string]bool, names []string) map[string]int {
	zones := map[string]bool{}
	for _, instance := range view.Instances {
		if slices.Contains(names, instance.Name) {
			zones[instance.Zone] = true
		}
	}
	counts := map[string]int{}
	for _, instance := range view.Instances {
		if unavailable[instance.Name] && zones[instance.Zone] {
			counts[instance.Zone]++
		}
	}
	return counts
}
