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

// fleetOf is n instances over two zones, each with one core.
func fleetOf(n int) (f Facts) {
	f.Capacity = map[string]float64{}
	for i := range n {
		p := Place{fmt.Sprint("n", i), "belgium", fmt.Sprint("z", i%2)}
		f.Fleet = append(f.Fleet, p)
		f.Capacity[p.Name] = 1
	}
	return f
}

func ruled(limits ...Limit) *State {
	s := NewState()
	s.Apply(Command{Kind: SetRules, Rules: Rules{Version: 1, Limits: limits, Margin: 0.1}})
	return s
}

func ask(f Facts, names ...string) Command {
	c := Command{Kind: Acquire, Owner: "op", Names: names, Facts: f, Runs: map[string]uint64{}}
	for _, n := range names {
		c.Runs[n] = 1
	}
	return c
}

// Each way to ask must be let out or refused for its own reason, which names the limit.
func TestWhoMayGo(t *testing.T) {
	one := Limit{Each: "zone", MaxOut: 1}
	f := fleetOf(6)
	lost, busy, half := f, f, fleetOf(6)
	lost.Lost = []string{"n2"}
	busy.Load = 4.6
	half.Load = 2
	for what, c := range map[string]struct {
		limits []Limit
		before []Command
		ask    Command
		why    string // empty: granted
	}{
		"one":                      {[]Limit{one}, nil, ask(f, "n0"), ""},
		"one of each zone":         {[]Limit{one}, nil, ask(f, "n0", "n1"), ""},
		"two of a zone":            {[]Limit{one}, nil, ask(f, "n0", "n2"), "limits[0]: 2 of 3 in belgium/z0"},
		"another is out there":     {[]Limit{one}, []Command{ask(f, "n2")}, ask(f, "n0"), "limits[0]: 2 of 3"},
		"another is out elsewhere": {[]Limit{one}, []Command{ask(f, "n2")}, ask(f, "n1"), ""},
		"another is lost there":    {[]Limit{one}, nil, ask(lost, "n0"), "limits[0]: 2 of 3"},
		"it is lost itself: going changes nothing": {[]Limit{one}, nil, ask(lost, "n2"), ""},
		"two limits":                          {[]Limit{one, {MaxOut: 1}}, []Command{ask(f, "n1")}, ask(f, "n0"), "limits[1]: 2 of 6 in all"},
		"a share":                             {[]Limit{{MaxRatio: 0.34}}, []Command{ask(f, "n1")}, ask(f, "n0"), ""},
		"a share that is passed":              {[]Limit{{MaxRatio: 0.34}}, []Command{ask(f, "n1", "n2")}, ask(f, "n0"), "limits[0]: 3 of 6 in all would be out or lost, and 2 may be"},
		"a budget that can never be met":      {[]Limit{{MaxRatio: 0.1}}, nil, ask(f, "n0"), "limits[0]: of 6 in all none may ever go"},
		"the load would not fit":              {[]Limit{{MaxOut: 6}}, nil, ask(busy, "n0"), "load: 4.6"},
		"it would":                            {[]Limit{{MaxOut: 6}}, nil, ask(half, "n0", "n1", "n2"), ""},
		"the same again":                      {[]Limit{{MaxOut: 6}}, []Command{ask(f, "n0")}, ask(f, "n0"), "n0 is out already, for op"},
		"nobody":                              {[]Limit{{MaxOut: 6}}, nil, ask(f, "n9"), "n9 is nobody's name"},
		"halted":                              {[]Limit{one}, []Command{{Kind: Halt}}, ask(f, "n0"), "halted"},
		"a halt that was lifted came between": {[]Limit{one}, []Command{{Kind: Halt}, {Kind: Resume}}, ask(f, "n0"), "a halt came between"},
		"no rules":                            {nil, nil, ask(f, "n0"), "there are no limits yet"},
		"the proposer forgot who is out":      {[]Limit{{MaxOut: 1}}, []Command{ask(f, "n5")}, ask(fleetOf(3), "n0"), "limits[0]: 2 of 4"},
	} {
		s := NewState()
		if c.limits != nil {
			s = ruled(c.limits...)
		}
		for _, b := range c.before {
			s.Apply(b)
		}
		d := s.Apply(c.ask)
		require.Contains(t, d.Why, c.why, what)
		require.Equal(t, c.why == "", d.Granted, "%s: %s", what, d.Why)
		require.Equal(t, d, s.Log()[len(s.Log())-1])
	}
}

// A permit must be freed by what shows that its instance is back, and by nothing else.
func TestWhenAPermitIsFree(t *testing.T) {
	f := fleetOf(4)
	tell := func(k Kind, run, seq uint64) Command {
		return Command{Kind: k, Names: []string{"n0"}, Runs: map[string]uint64{"n0": run}, Seq: seq}
	}
	for what, c := range map[string]struct {
		commands []Command
		free     bool
	}{
		"nothing happened":                       {nil, false},
		"it serves on and has not gone":          {[]Command{tell(Recovered, 1, 9)}, false},
		"an earlier process was seen":            {[]Command{tell(Recovered, 0, 9)}, false},
		"it went":                                {[]Command{tell(Departed, 1, 5)}, false},
		"it went; a word from before comes late": {[]Command{tell(Departed, 1, 5), tell(Recovered, 1, 5)}, false},
		"it went and came back (undrain)":        {[]Command{tell(Departed, 1, 5), tell(Recovered, 1, 6)}, true},
		"its next process serves":                {[]Command{tell(Recovered, 2, 1)}, true},
		"it will not go":                         {[]Command{{Kind: Release, Owner: "n0", Names: []string{"n0"}, Epoch: 2}}, true},
		"another says that it will not":          {[]Command{{Kind: Release, Owner: "n1", Names: []string{"n0"}, Epoch: 2}}, false},
		"that was about another permit":          {[]Command{{Kind: Release, Owner: "n0", Names: []string{"n0"}, Epoch: 1}}, false},
		"it says so after it went":               {[]Command{tell(Departed, 1, 5), {Kind: Release, Owner: "n0", Names: []string{"n0"}, Epoch: 2}}, false},
		"written off for no reason":              {[]Command{{Kind: WriteOff, Owner: "op", Names: []string{"n0"}}}, false},
		"written off":                            {[]Command{{Kind: WriteOff, Owner: "op", Names: []string{"n0"}, Reason: "scrapped"}}, true},
		"halted and resumed":                     {[]Command{{Kind: Halt}, {Kind: Resume}}, false},
		"a command that nobody knows":            {[]Command{{Kind: 99, Names: []string{"n0"}}}, false},
	} {
		s := ruled(Limit{MaxOut: 1})
		require.True(t, s.Apply(ask(f, "n0")).Granted)
		for _, x := range c.commands {
			s.Apply(x)
		}
		require.Equal(t, c.free, len(s.Permits()) == 0, what)
	}
}

// Whatever is applied, in whatever order, no grant may leave more out than a limit allows, as plain counting has it; all
// who apply the same must have the same; and no command may make the state grow without bound.
func TestNoGrantPassesALimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := ruled(Limit{Each: "zone", MaxOut: 2}, Limit{MaxRatio: 0.5}), ruled(Limit{Each: "zone", MaxOut: 2}, Limit{MaxRatio: 0.5})
		f := fleetOf(rapid.IntRange(2, 9).Draw(t, "fleet"))
		name := func(what string) string { return f.Fleet[rapid.IntRange(0, len(f.Fleet)-1).Draw(t, what)].Name }
		for range rapid.IntRange(1, 40).Draw(t, "commands") {
			c := Command{Kind: Kind(rapid.IntRange(1, 8).Draw(t, "kind")), Owner: "op", Names: []string{name("who")}, Seq: rapid.Uint64Range(0, 3).Draw(t, "seq"),
				Reason: rapid.SampledFrom([]string{"", "x"}).Draw(t, "reason"), Halted: a.Halts(), Facts: f}
			c.Facts.Lost = nil
			for range rapid.IntRange(0, 2).Draw(t, "lost") {
				c.Facts.Lost = append(c.Facts.Lost, name("lost"))
			}
			if rapid.Bool().Draw(t, "two") {
				c.Names = append(c.Names, name("too"))
			}
			c.Runs = map[string]uint64{c.Names[0]: rapid.Uint64Range(0, 3).Draw(t, "run")}
			d := a.Apply(c)
			require.Equal(t, d, b.Apply(c))
			require.Equal(t, a.Permits(), b.Permits())
			if c.Kind != Acquire || !d.Granted {
				continue
			}
			require.False(t, a.Halted())
			out := map[string]bool{}
			for _, p := range a.Permits() {
				out[p.Name] = true
			}
			for _, l := range c.Facts.Lost {
				out[l] = true
			}
			zones := map[string]int{}
			for i, p := range f.Fleet {
				if out[p.Name] && slices.ContainsFunc(c.Names, func(n string) bool {
					return f.Fleet[slices.IndexFunc(f.Fleet, func(x Place) bool { return x.Name == n })].Zone == p.Zone
				}) {
					zones[fmt.Sprint(i%2)]++
				}
			}
			for _, n := range zones {
				require.LessOrEqual(t, n, 2)
			}
			require.LessOrEqual(t, len(out), len(f.Fleet)/2)
		}
	})
}

// world is a state, what each of two instances has heard of it and does, and commands that may come in any order.
type world struct {
	log   []Command
	on    []string // what is on its way
	up    [2]bool  // serves
	run   [2]uint64
	seq   [2]uint64
	ticks int
}

func (w world) state(fault string) *State {
	s := ruled(Limit{MaxOut: 1})
	for _, c := range w.log {
		if c.Kind == Kind(100) { // time has gone by: only the planted fault takes that for something
			if fault == "freed by expiry" {
				clear(s.permits)
			}
			continue
		}
		if fault == "a grant crosses a halt" {
			c.Halted = s.halts
			if c.Kind == Acquire {
				s.halted = false
			}
		}
		s.Apply(c)
	}
	return s
}

func (w world) clone() world {
	w.log, w.on = slices.Clone(w.log), slices.Clone(w.on)
	return w
}

// happens is all that may happen to two instances of which one may be out: asks are lost, late and doubled, instances go by
// permits that they heard of, are killed, come back, and operators halt.
func happens(fault string) func(world) []modelcheck.Step[world] {
	f := fleetOf(2)
	f.Capacity["n0"], f.Capacity["n1"] = 10, 10
	return func(from world) (steps []modelcheck.Step[world]) {
		add := func(name string, do func(*world)) {
			w := from.clone()
			do(&w)
			steps = append(steps, modelcheck.Step[world]{Name: name, To: w})
		}
		s := from.state(fault)
		if s.halts < 1 {
			add("halt", func(w *world) { w.log = append(w.log, Command{Kind: Halt}) })
		}
		if from.ticks < 1 {
			add("time goes by", func(w *world) { w.ticks++; w.log = append(w.log, Command{Kind: 100}) })
		}
		for i, name := range []string{"n0", "n1"} {
			if len(from.on) < 2 {
				add(name+" asks", func(w *world) { w.on = append(w.on, fmt.Sprint(i, w.run[i], s.halts)) })
			}
			if p, ok := s.permits[name]; ok && p.Run == from.run[i] && from.up[i] { // halted or not: it heard of the grant before
				add(name+" goes by its permit", func(w *world) {
					w.up[i] = false
					w.seq[i]++
					w.log = append(w.log, Command{Kind: Departed, Names: []string{name}, Runs: map[string]uint64{name: w.run[i]}, Seq: w.seq[i]})
				})
			}
			if !from.up[i] && from.run[i] < 2 {
				add(name+" comes back", func(w *world) {
					w.up[i] = true
					w.run[i]++
					w.seq[i] = 1
					w.log = append(w.log, Command{Kind: Recovered, Names: []string{name}, Runs: map[string]uint64{name: w.run[i]}, Seq: 1})
				})
			}
		}
		for k, m := range from.on {
			var i int
			var run, halts uint64
			_, _ = fmt.Sscan(m, &i, &run, &halts)
			name := []string{"n0", "n1"}[i]
			for _, stays := range []bool{false, true} {
				add(fmt.Sprintf("the ask of %s arrives, stays %v", name, stays), func(w *world) {
					if !stays {
						w.on = slices.Delete(w.on, k, k+1)
					}
					c := ask(f, name)
					c.Runs[name], c.Halted = run, halts
					w.log = append(w.log, c)
				})
			}
		}
		return steps
	}
}

// Of two instances never more than one may be out by permit, and none may be let out by an ask that a halt has overtaken.
// The explorer must find what a careless change would bring.
func TestPermitsExplored(t *testing.T) {
	wrong := func(fault string) func(w world) string {
		return func(w world) string {
			if !w.up[0] && !w.up[1] {
				return "both are out"
			}
			s := w.state(fault)
			if s.halted && len(s.permits) > 0 && s.log[len(s.log)-1].Kind == Acquire && s.log[len(s.log)-1].Granted || fault != "" && s.halts > 0 && !s.halted {
				return "let out while halted"
			}
			return ""
		}
	}
	key := func(fault string) func(w world) string {
		return func(w world) string {
			s := w.state(fault)
			k := fmt.Sprint(w.on, w.up, w.run, w.seq, w.ticks, s.halted, s.halts)
			for _, name := range slices.Sorted(maps.Keys(s.permits)) {
				p := s.permits[name]
				k += fmt.Sprint(p.Name, p.Run, p.Out, p.seq)
			}
			return k
		}
	}
	start := world{up: [2]bool{true, true}, run: [2]uint64{1, 1}}
	found := modelcheck.Visit(start, 9, happens(""), key(""), wrong(""))
	require.Empty(t, found.Why, "%v", found.Steps)
	t.Logf("%d states, nothing broken", found.States)
	for _, fault := range []string{"freed by expiry", "a grant crosses a halt"} {
		found := modelcheck.Visit(start, 9, happens(fault), key(fault), wrong(fault))
		require.NotEmpty(t, found.Why, fault)
		t.Logf("planted: %s: found after %d states: %v", fault, found.States, found.Steps)
	}
}
