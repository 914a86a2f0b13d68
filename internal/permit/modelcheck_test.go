package permit

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"falldeal/lab/modelcheck"

	"github.com/stretchr/testify/require"
)

// fault is a planted fault, which the model checker has to find.
type fault string

const (
	noFault          fault = ""
	expiringPermits  fault = "freed by expiry"
	grantDespiteHalt fault = "a grant crosses a halt"
)

// expiration stands in the log for time that went by. Only expiringPermits makes something of it.
const expiration CommandKind = 100

// modelDepth is the number of steps that are explored.
const modelDepth = 9

var modelNames = [2]string{"n0", "n1"}

// request is an Acquire command in flight.
type request struct {
	instance           int // index in modelNames
	incarnation, halts uint64
}

// modelState is a state of the protocol: the log, the requests in flight, and what each of two instances does.
type modelState struct {
	log         []Command
	inFlight    []request
	serving     [2]bool
	incarnation [2]uint64
	seq         [2]uint64 // of the latest report
	expirations int
}

func (m *modelState) clone() modelState {
	state := *m
	state.log = slices.Clone(m.log)
	state.inFlight = slices.Clone(m.inFlight)
	return state
}

// replay applies the log.
func (m *modelState) replay(planted fault) *State {
	state := newStateWithLimits(Limit{MaxUnavailable: 1})
	for _, command := range m.log {
		if command.Kind == expiration {
			if planted == expiringPermits {
				clear(state.permits)
			}
			continue
		}
		if planted == grantDespiteHalt {
			command.KnownHalts = state.halts
			if command.Kind == Acquire {
				state.halted = false
			}
		}
		state.Apply(command)
	}
	return state
}

// report appends a report of instance i about itself.
func (m *modelState) report(kind CommandKind, i int) {
	name := modelNames[i]
	m.log = append(m.log, Command{
		Kind:         kind,
		Names:        []string{name},
		Incarnations: map[string]uint64{name: m.incarnation[i]},
		Seq:          m.seq[i],
	})
}

func (m *modelState) depart(i int) {
	m.serving[i] = false
	m.seq[i]++
	m.report(Departed, i)
}

func (m *modelState) restart(i int) {
	m.serving[i] = true
	m.incarnation[i]++
	m.seq[i] = 1
	m.report(Recovered, i)
}

// transmit appends request k to the log. It stays in flight where it is to be delivered again.
func (m *modelState) transmit(view FleetView, k int, stays bool) {
	delivered := m.inFlight[k]
	if !stays {
		m.inFlight = slices.Delete(m.inFlight, k, k+1)
	}
	name := modelNames[delivered.instance]
	command := acquireCommand(view, name)
	command.Incarnations[name], command.KnownHalts = delivered.incarnation, delivered.halts
	m.log = append(m.log, command)
}

// modelSteps collects what may happen in a state.
type modelSteps struct {
	current modelState
	steps   []modelcheck.Step[modelState]
}

func (s *modelSteps) add(name string, change func(*modelState)) {
	next := s.current.clone()
	change(&next)
	s.steps = append(s.steps, modelcheck.Step[modelState]{Name: name, To: next})
}

// addOfInstance adds what instance i may do: request a permit, depart by one that it was notified of, and restart.
func (s *modelSteps) addOfInstance(i int, state *State) {
	name, current := modelNames[i], &s.current
	if len(current.inFlight) < 2 {
		s.add(name+" asks", func(m *modelState) {
			m.inFlight = append(m.inFlight, request{instance: i, incarnation: m.incarnation[i], halts: state.halts})
		})
	}
	permit, ok := state.permits[name]
	if ok && permit.Incarnation == current.incarnation[i] && current.serving[i] { // halted or not: it was granted before
		s.add(name+" goes by its permit", func(m *modelState) { m.depart(i) })
	}
	if !current.serving[i] && current.incarnation[i] < 2 {
		s.add(name+" comes back", func(m *modelState) { m.restart(i) })
	}
}

// nextSteps returns what may happen to two instances of which one may be out: requests are lost, late and duplicated,
// instances depart by permit, are killed and come back, and operators halt.
func nextSteps(planted fault) func(modelState) []modelcheck.Step[modelState] {
	view := newFleetView(2)
	view.Capacity["n0"], view.Capacity["n1"] = 10, 10
	return func(current modelState) []modelcheck.Step[modelState] {
		state := current.replay(planted)
		next := modelSteps{current: current}
		if state.halts < 1 {
			next.add("halt", func(m *modelState) { m.log = append(m.log, Command{Kind: Halt}) })
		}
		if current.expirations < 1 {
			next.add("time goes by", func(m *modelState) {
				m.expirations++
				m.log = append(m.log, Command{Kind: expiration})
			})
		}
		for i := range modelNames {
			next.addOfInstance(i, state)
		}
		for k, delivered := range current.inFlight {
			for _, stays := range []bool{false, true} {
				name := fmt.Sprintf("the ask of %s arrives, stays %v", modelNames[delivered.instance], stays)
				next.add(name, func(m *modelState) { m.transmit(view, k, stays) })
			}
		}
		return next.steps
	}
}

// violation returns what is wrong with a state: both instances are out, or a permit was granted despite a halt.
func violation(planted fault) func(modelState) string {
	return func(m modelState) string {
		if !m.serving[0] && !m.serving[1] {
			return "both are out"
		}
		state := m.replay(planted)
		if state.halted && len(state.permits) > 0 {
			latest := state.log[len(state.log)-1]
			if latest.Kind == Acquire && latest.Granted() {
				return "let out while halted"
			}
		}
		if planted != noFault && state.halts > 0 && !state.halted {
			return "let out while halted"
		}
		return ""
	}
}

// stateKey tells states apart.
func stateKey(planted fault) func(modelState) string {
	return func(m modelState) string {
		state := m.replay(planted)
		key := fmt.Sprint(m.inFlight, m.serving, m.incarnation, m.seq, m.expirations, state.halted, state.halts)
		for _, name := range slices.Sorted(maps.Keys(state.permits)) {
			permit := state.permits[name]
			key += fmt.Sprint(permit.Name, permit.Incarnation, permit.Departed, permit.departedSeq)
		}
		return key
	}
}

// Of two instances never more than one may be out by permit, and a request that a halt has overtaken must not be
// granted. The model checker must find planted faults.
func TestModelCheckPermits(t *testing.T) {
	start := modelState{serving: [2]bool{true, true}, incarnation: [2]uint64{1, 1}}
	visit := func(planted fault) modelcheck.Result {
		return modelcheck.Visit(start, modelDepth, nextSteps(planted), stateKey(planted), violation(planted))
	}
	found := visit(noFault)
	require.Empty(t, found.Why, "%v", found.Steps)
	t.Logf("%d states, nothing broken", found.States)
	for _, planted := range []fault{expiringPermits, grantDespiteHalt} {
		found := visit(planted)
		require.NotEmpty(t, found.Why, planted)
		t.Logf("planted: %s: found after %d states: %v", planted, found.States, found.Steps)
	}
}
