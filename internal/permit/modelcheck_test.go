package permit

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"falldeal/lab/modelcheck"

	"github.com/stretchr/testify/require"
)

// fault is an injected fault, which the model checker must find.
type fault string

const (
	noFault          fault = ""
	expiringPermits  fault = "permits expire"
	grantDespiteHalt fault = "a request prepared before a halt is granted after it"
)

// expiration is a log entry for the passing of time. It has an effect only with the fault expiringPermits.
const expiration CommandKind = 100

// modelDepth is the number of steps to which the model is explored.
const modelDepth = 9

var modelNames = [2]string{"n0", "n1"}

// request is an Acquire command in flight.
type request struct {
	instance           int // index in modelNames
	incarnation, halts uint64
}

// modelState is a state of the protocol: the log, the requests in flight, and the state of each of two instances.
type modelState struct {
	log         []Command
	inFlight    []request
	serving     [2]bool
	incarnation [2]uint64 // current process of each instance
	seq         [2]uint64 // sequence number of its latest report
	expirations int       // expiration entries in the log
}

func (m *modelState) clone() modelState {
	state := *m
	state.log = slices.Clone(m.log)
	state.inFlight = slices.Clone(m.inFlight)
	return state
}

// replay returns the state after the log, with an injected fault.
func (m *modelState) replay(injected fault) *State {
	state := newStateWithLimits(Limit{MaxUnavailable: 1})
	for _, command := range m.log {
		if command.Kind == expiration {
			if injected == expiringPermits {
				clear(state.permits)
			}
			continue
		}
		if injected == grantDespiteHalt {
			command.KnownHalts = state.halts
			if command.Kind == Acquire {
				state.halted = false
			}
		}
		state.Apply(command)
	}
	return state
}

// report appends a report of instance i about itself to the log.
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

// transmit appends request k to the log. If duplicated, the request stays in flight and can be delivered again.
func (m *modelState) transmit(view FleetView, k int, duplicated bool) {
	delivered := m.inFlight[k]
	if !duplicated {
		m.inFlight = slices.Delete(m.inFlight, k, k+1)
	}
	name := modelNames[delivered.instance]
	command := acquireCommand(view, name)
	command.Incarnations[name], command.KnownHalts = delivered.incarnation, delivered.halts
	m.log = append(m.log, command)
}

// modelSteps collects the steps that are possible in a state.
type modelSteps struct {
	current modelState
	steps   []modelcheck.Step[modelState]
}

func (s *modelSteps) add(name string, change func(*modelState)) {
	next := s.current.clone()
	change(&next)
	s.steps = append(s.steps, modelcheck.Step[modelState]{Name: name, To: next})
}

// addInstanceSteps adds the steps of instance i: it requests a permit, departs by a permit of its process, or restarts.
func (s *modelSteps) addInstanceSteps(i int, state *State) {
	name, current := modelNames[i], &s.current
	if len(current.inFlight) < 2 {
		s.add(name+" requests a permit", func(m *modelState) {
			m.inFlight = append(m.inFlight, request{instance: i, incarnation: m.incarnation[i], halts: state.halts})
		})
	}
	permit, ok := state.permits[name]
	if ok && permit.Incarnation == current.incarnation[i] && current.serving[i] { // even if halted: the grant came before
		s.add(name+" departs", func(m *modelState) { m.depart(i) })
	}
	if !current.serving[i] && current.incarnation[i] < 2 {
		s.add(name+" restarts", func(m *modelState) { m.restart(i) })
	}
}

// nextSteps returns a function that lists the steps from a state. Requests are lost, delayed and duplicated, instances
// depart by permit and restart, and operators halt grants. The rules allow one of the two instances to be out.
func nextSteps(injected fault) func(modelState) []modelcheck.Step[modelState] {
	view := newFleetView(2)
	view.Capacity["n0"], view.Capacity["n1"] = 10, 10
	return func(current modelState) []modelcheck.Step[modelState] {
		state := current.replay(injected)
		next := modelSteps{current: current}
		if state.halts < 1 {
			next.add("halt", func(m *modelState) { m.log = append(m.log, Command{Kind: Halt}) })
		}
		if current.expirations < 1 {
			next.add("time passes", func(m *modelState) {
				m.expirations++
				m.log = append(m.log, Command{Kind: expiration})
			})
		}
		for i := range modelNames {
			next.addInstanceSteps(i, state)
		}
		for k, delivered := range current.inFlight {
			for _, duplicated := range []bool{false, true} {
				name := fmt.Sprintf("request of %s arrives, duplicated: %v", modelNames[delivered.instance], duplicated)
				next.add(name, func(m *modelState) { m.transmit(view, k, duplicated) })
			}
		}
		return next.steps
	}
}

// violation returns a function that describes how a state violates the invariant: both instances are out, or a permit was
// granted while grants were halted. With an injected fault, the end of a halt counts as well, as no step resumes grants.
func violation(injected fault) func(modelState) string {
	return func(m modelState) string {
		if !m.serving[0] && !m.serving[1] {
			return "both instances are out"
		}
		state := m.replay(injected)
		if state.halted && len(state.permits) > 0 {
			latest := state.log[len(state.log)-1]
			if latest.Kind == Acquire && latest.Granted() {
				return "granted while halted"
			}
		}
		if injected != noFault && state.halts > 0 && !state.halted {
			return "halt ended without resume"
		}
		return ""
	}
}

// stateKey returns a function that maps states to keys, equal ones for states with the same future.
func stateKey(injected fault) func(modelState) string {
	return func(m modelState) string {
		state := m.replay(injected)
		key := fmt.Sprint(m.inFlight, m.serving, m.incarnation, m.seq, m.expirations, state.halted, state.halts)
		for _, name := range slices.Sorted(maps.Keys(state.permits)) {
			permit := state.permits[name]
			key += fmt.Sprint(permit.Name, permit.Incarnation, permit.Departed, permit.departedSeq)
		}
		return key
	}
}

// Lost, delayed or duplicated requests, restarts and halts must not lead to a state in which both of two instances are out,
// nor to a grant of a request that was prepared before a halt. The model checker must detect the injected faults.
func TestModelCheckPermits(t *testing.T) {
	start := modelState{serving: [2]bool{true, true}, incarnation: [2]uint64{1, 1}}
	search := func(injected fault) modelcheck.Result {
		return modelcheck.Search(start, modelDepth, nextSteps(injected), stateKey(injected), violation(injected))
	}
	found := search(noFault)
	require.Empty(t, found.Violation, "%v", found.Steps)
	t.Logf("%d states, no violation", found.States)
	for _, injected := range []fault{expiringPermits, grantDespiteHalt} {
		found := search(injected)
		require.NotEmpty(t, found.Violation, injected)
		t.Logf("injected fault: %s: found after %d states: %v", injected, found.States, found.Steps)
	}
}
