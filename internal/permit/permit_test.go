package permit

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"falldeal/lab/modelcheck"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// newFleetView is n instances over two zones, each with one core.
func newFleetView(n int) (view FleetView) {
	view.Capacity = map[string]float64{}
	for i := range n {
		instance := Instance{fmt.Sprint("n", i), "belgium", fmt.Sprint("z", i%2)}
		view.Instances = append(view.Instances, instance)
		view.Capacity[instance.Name] = 1
	}
	return view
}

func newStateWithLimits(limits ...Limit) *State {
	state := NewState()
	state.Apply(Command{Kind: SetRules, Rules: Rules{Version: 1, Limits: limits, Margin: 0.1}})
	return state
}

func acquireCommand(view FleetView, names ...string) Command {
	command := Command{Kind: Acquire, Owner: "op", Names: names, View: view, Incarnations: map[string]uint64{}}
	for _, n := range names {
		command.Incarnations[n] = 1
	}
	return command
}

// Each way to ask must be let out or refused for its own reason, which names the limit.
func TestAcquire(t *testing.T) {
	onePerZone := Limit{Per: "zone", MaxUnavailable: 1}
	view := newFleetView(6)
	lost, busy, half := view, view, newFleetView(6)
	lost.Lost = []string{"n2"}
	busy.Load = 4.6
	half.Load = 2
	for name, test := range map[string]struct {
		limits []Limit
		before []Command
		ask    Command
		why    string // empty: granted
	}{
		"one":                      {[]Limit{onePerZone}, nil, acquireCommand(view, "n0"), ""},
		"one of each zone":         {[]Limit{onePerZone}, nil, acquireCommand(view, "n0", "n1"), ""},
		"two of a zone":            {[]Limit{onePerZone}, nil, acquireCommand(view, "n0", "n2"), "limits[0]: 2 of 3 in belgium/z0"},
		"another is out there":     {[]Limit{onePerZone}, []Command{acquireCommand(view, "n2")}, acquireCommand(view, "n0"), "limits[0]: 2 of 3"},
		"another is out elsewhere": {[]Limit{onePerZone}, []Command{acquireCommand(view, "n2")}, acquireCommand(view, "n1"), ""},
		"another is lost there":    {[]Limit{onePerZone}, nil, acquireCommand(lost, "n0"), "limits[0]: 2 of 3"},
		"it is lost itself: going changes nothing": {[]Limit{onePerZone}, nil, acquireCommand(lost, "n2"), ""},
		"two limits":                          {[]Limit{onePerZone, {MaxUnavailable: 1}}, []Command{acquireCommand(view, "n1")}, acquireCommand(view, "n0"), "limits[1]: 2 of 6 in all"},
		"a share":                             {[]Limit{{MaxUnavailableRatio: 0.34}}, []Command{acquireCommand(view, "n1")}, acquireCommand(view, "n0"), ""},
		"a share that is passed":              {[]Limit{{MaxUnavailableRatio: 0.34}}, []Command{acquireCommand(view, "n1", "n2")}, acquireCommand(view, "n0"), "limits[0]: 3 of 6 in all would be out or lost, and 2 may be"},
		"a budget that can never be met":      {[]Limit{{MaxUnavailableRatio: 0.1}}, nil, acquireCommand(view, "n0"), "limits[0]: of 6 in all none may ever go"},
		"the load would not fit":              {[]Limit{{MaxUnavailable: 6}}, nil, acquireCommand(busy, "n0"), "load: 4.6"},
		"it would":                            {[]Limit{{MaxUnavailable: 6}}, nil, acquireCommand(half, "n0", "n1", "n2"), ""},
		"the same again":                      {[]Limit{{MaxUnavailable: 6}}, []Command{acquireCommand(view, "n0")}, acquireCommand(view, "n0"), "n0 is out already, for op"},
		"nobody":                              {[]Limit{{MaxUnavailable: 6}}, nil, acquireCommand(view, "n9"), "n9 is nobody's name"},
		"halted":                              {[]Limit{onePerZone}, []Command{{Kind: Halt}}, acquireCommand(view, "n0"), "halted"},
		"a halt that was lifted came between": {[]Limit{onePerZone}, []Command{{Kind: Halt}, {Kind: Resume}}, acquireCommand(view, "n0"), "a halt came between"},
		"no rules":                            {nil, nil, acquireCommand(view, "n0"), "there are no limits yet"},
		"the proposer forgot who is out":      {[]Limit{{MaxUnavailable: 1}}, []Command{acquireCommand(view, "n5")}, acquireCommand(newFleetView(3), "n0"), "limits[0]: 2 of 4"},
	} {
		state := NewState()
		if test.limits != nil {
			state = newStateWithLimits(test.limits...)
		}
		for _, b := range test.before {
			state.Apply(b)
		}
		decision := state.Apply(test.ask)
		require.Contains(t, decision.Denial, test.why, name)
		require.Equal(t, test.why == "", decision.Granted, "%s: %s", name, decision.Denial)
		require.Equal(t, decision, state.Log()[len(state.Log())-1])
	}
}

// A permit must be freed by what shows that its instance is back, and by nothing else.
func TestRelease(t *testing.T) {
	view := newFleetView(4)
	report := func(k Kind, run, seq uint64) Command {
		return Command{Kind: k, Names: []string{"n0"}, Incarnations: map[string]uint64{"n0": run}, Seq: seq}
	}
	for name, test := range map[string]struct {
		commands []Command
		free     bool
	}{
		"nothing happened":                       {nil, false},
		"it serves on and has not gone":          {[]Command{report(Recovered, 1, 9)}, false},
		"an earlier process was seen":            {[]Command{report(Recovered, 0, 9)}, false},
		"it went":                                {[]Command{report(Departed, 1, 5)}, false},
		"it went; a word from before comes late": {[]Command{report(Departed, 1, 5), report(Recovered, 1, 5)}, false},
		"it went and came back (undrain)":        {[]Command{report(Departed, 1, 5), report(Recovered, 1, 6)}, true},
		"its next process serves":                {[]Command{report(Recovered, 2, 1)}, true},
		"it will not go":                         {[]Command{{Kind: Release, Owner: "n0", Names: []string{"n0"}, Epoch: 2}}, true},
		"another says that it will not":          {[]Command{{Kind: Release, Owner: "n1", Names: []string{"n0"}, Epoch: 2}}, false},
		"that was about another permit":          {[]Command{{Kind: Release, Owner: "n0", Names: []string{"n0"}, Epoch: 1}}, false},
		"it says so after it went":               {[]Command{report(Departed, 1, 5), {Kind: Release, Owner: "n0", Names: []string{"n0"}, Epoch: 2}}, false},
		"written off for no reason":              {[]Command{{Kind: WriteOff, Owner: "op", Names: []string{"n0"}}}, false},
		"written off":                            {[]Command{{Kind: WriteOff, Owner: "op", Names: []string{"n0"}, Reason: "scrapped"}}, true},
		"halted and resumed":                     {[]Command{{Kind: Halt}, {Kind: Resume}}, false},
		"a command that nobody knows":            {[]Command{{Kind: 99, Names: []string{"n0"}}}, false},
	} {
		state := newStateWithLimits(Limit{MaxUnavailable: 1})
		require.True(t, state.Apply(acquireCommand(view, "n0")).Granted)
		for _, command := range test.commands {
			state.Apply(command)
		}
		require.Equal(t, test.free, len(state.Permits()) == 0, name)
	}
}

// Whatever is applied, in whatever order, no grant may leave more out than a limit allows, as plain counting has it; all
// who apply the same must have the same; and no command may make the state grow without bound.
func TestGrantsNeverExceedLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replica, other := newStateWithLimits(Limit{Per: "zone", MaxUnavailable: 2}, Limit{MaxUnavailableRatio: 0.5}), newStateWithLimits(Limit{Per: "zone", MaxUnavailable: 2}, Limit{MaxUnavailableRatio: 0.5})
		view := newFleetView(rapid.IntRange(2, 9).Draw(t, "fleet"))
		name := func(what string) string {
			return view.Instances[rapid.IntRange(0, len(view.Instances)-1).Draw(t, what)].Name
		}
		for range rapid.IntRange(1, 40).Draw(t, "commands") {
			command := Command{Kind: Kind(rapid.IntRange(1, 8).Draw(t, "kind")), Owner: "op", Names: []string{name("who")}, Seq: rapid.Uint64Range(0, 3).Draw(t, "seq"),
				Reason: rapid.SampledFrom([]string{"", "x"}).Draw(t, "reason"), KnownHalts: replica.Halts(), View: view}
			command.View.Lost = nil
			for range rapid.IntRange(0, 2).Draw(t, "lost") {
				command.View.Lost = append(command.View.Lost, name("lost"))
			}
			if rapid.Bool().Draw(t, "two") {
				command.Names = append(command.Names, name("too"))
			}
			command.Incarnations = map[string]uint64{command.Names[0]: rapid.Uint64Range(0, 3).Draw(t, "run")}
			decision := replica.Apply(command)
			require.Equal(t, decision, other.Apply(command))
			require.Equal(t, replica.Permits(), other.Permits())
			if command.Kind != Acquire || !decision.Granted {
				continue
			}
			require.False(t, replica.Halted())
			unavailable := map[string]bool{}
			for _, p := range replica.Permits() {
				unavailable[p.Name] = true
			}
			for _, l := range command.View.Lost {
				unavailable[l] = true
			}
			unavailableInZone := map[string]int{}
			for i, p := range view.Instances {
				if unavailable[p.Name] && slices.ContainsFunc(command.Names, func(n string) bool {
					return view.Instances[slices.IndexFunc(view.Instances, func(x Instance) bool { return x.Name == n })].Zone == p.Zone
				}) {
					unavailableInZone[fmt.Sprint(i%2)]++
				}
			}
			for _, n := range unavailableInZone {
				require.LessOrEqual(t, n, 2)
			}
			require.LessOrEqual(t, len(unavailable), len(view.Instances)/2)
		}
	})
}

// modelState is a state, what each of two instances has heard of it and does, and commands that may come in any order.
type modelState struct {
	log         []Command
	inFlight    []string // what is on its way
	serving     [2]bool  // serves
	incarnation [2]uint64
	seq         [2]uint64
	expirations int
}

func (w modelState) replay(fault string) *State {
	s := newStateWithLimits(Limit{MaxUnavailable: 1})
	for _, c := range w.log {
		if c.Kind == Kind(100) { // time has gone by: only the planted fault takes that for something
			if fault == "freed by expiry" {
				clear(s.permits)
			}
			continue
		}
		if fault == "a grant crosses a halt" {
			c.KnownHalts = s.halts
			if c.Kind == Acquire {
				s.halted = false
			}
		}
		s.Apply(c)
	}
	return s
}

func (w modelState) clone() modelState {
	w.log, w.inFlight = slices.Clone(w.log), slices.Clone(w.inFlight)
	return w
}

// nextSteps is all that may happen to two instances of which one may be out: asks are lost, late and doubled, instances go by
// permits that they heard of, are killed, come back, and operators halt.
func nextSteps(fault string) func(modelState) []modelcheck.Step[modelState] {
	view := newFleetView(2)
	view.Capacity["n0"], view.Capacity["n1"] = 10, 10
	return func(current modelState) (steps []modelcheck.Step[modelState]) {
		add := func(name string, do func(*modelState)) {
			w := current.clone()
			do(&w)
			steps = append(steps, modelcheck.Step[modelState]{Name: name, To: w})
		}
		state := current.replay(fault)
		if state.halts < 1 {
			add("halt", func(w *modelState) { w.log = append(w.log, Command{Kind: Halt}) })
		}
		if current.expirations < 1 {
			add("time goes by", func(w *modelState) { w.expirations++; w.log = append(w.log, Command{Kind: 100}) })
		}
		for i, name := range []string{"n0", "n1"} {
			if len(current.inFlight) < 2 {
				add(name+" asks", func(w *modelState) { w.inFlight = append(w.inFlight, fmt.Sprint(i, w.incarnation[i], state.halts)) })
			}
			if p, ok := state.permits[name]; ok && p.Incarnation == current.incarnation[i] && current.serving[i] { // halted or not: it heard of the grant before
				add(name+" goes by its permit", func(w *modelState) {
					w.serving[i] = false
					w.seq[i]++
					w.log = append(w.log, Command{Kind: Departed, Names: []string{name}, Incarnations: map[string]uint64{name: w.incarnation[i]}, Seq: w.seq[i]})
				})
			}
			if !current.serving[i] && current.incarnation[i] < 2 {
				add(name+" comes back", func(w *modelState) {
					w.serving[i] = true
					w.incarnation[i]++
					w.seq[i] = 1
					w.log = append(w.log, Command{Kind: Recovered, Names: []string{name}, Incarnations: map[string]uint64{name: w.incarnation[i]}, Seq: 1})
				})
			}
		}
		for k, m := range current.inFlight {
			var i int
			var run, halts uint64
			_, _ = fmt.Sscan(m, &i, &run, &halts)
			name := []string{"n0", "n1"}[i]
			for _, stays := range []bool{false, true} {
				add(fmt.Sprintf("the ask of %s arrives, stays %v", name, stays), func(w *modelState) {
					if !stays {
						w.inFlight = slices.Delete(w.inFlight, k, k+1)
					}
					c := acquireCommand(view, name)
					c.Incarnations[name], c.KnownHalts = run, halts
					w.log = append(w.log, c)
				})
			}
		}
		return steps
	}
}

// Of two instances never more than one may be out by permit, and none may be let out by an ask that a halt has overtaken.
// The explorer must find what a careless change would bring.
func TestModelCheckPermits(t *testing.T) {
	violation := func(fault string) func(w modelState) string {
		return func(w modelState) string {
			if !w.serving[0] && !w.serving[1] {
				return "both are out"
			}
			state := w.replay(fault)
			if state.halted && len(state.permits) > 0 && state.log[len(state.log)-1].Kind == Acquire && state.log[len(state.log)-1].Granted || fault != "" && state.halts > 0 && !state.halted {
				return "let out while halted"
			}
			return ""
		}
	}
	key := func(fault string) func(w modelState) string {
		return func(w modelState) string {
			state := w.replay(fault)
			key := fmt.Sprint(w.inFlight, w.serving, w.incarnation, w.seq, w.expirations, state.halted, state.halts)
			for _, name := range slices.Sorted(maps.Keys(state.permits)) {
				p := state.permits[name]
				key += fmt.Sprint(p.Name, p.Incarnation, p.Departed, p.departedSeq)
			}
			return key
		}
	}
	start := modelState{serving: [2]bool{true, true}, incarnation: [2]uint64{1, 1}}
	found := modelcheck.Visit(start, 9, nextSteps(""), key(""), violation(""))
	require.Empty(t, found.Why, "%v", found.Steps)
	t.Logf("%d states, nothing broken", found.States)
	for _, fault := range []string{"freed by expiry", "a grant crosses a halt"} {
		found := modelcheck.Visit(start, 9, nextSteps(fault), key(fault), violation(fault))
		require.NotEmpty(t, found.Why, fault)
		t.Logf("planted: %s: found after %d states: %v", fault, found.States, found.Steps)
	}
}
