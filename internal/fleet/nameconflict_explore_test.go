package fleet

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"falldeal/lab/modelcheck"

	"github.com/stretchr/testify/require"
)

// The tests in this file explore the name conflict protocol exhaustively up to a number of steps: every order in which
// processes publish, receive records (late, twice or never) and time passes. Records of a predecessor that has ended exist
// from the first state on.

// conflictState is a state of the protocol: one or two running processes, and all records ever published.
type conflictState struct {
	now       time.Duration
	processes []*Self
	published []Record
}

func (state *conflictState) clone() *conflictState {
	clone := &conflictState{now: state.now, published: slices.Clone(state.published)}
	for _, self := range state.processes {
		process := *self
		process.rivals = maps.Clone(self.rivals)
		clone.processes = append(clone.processes, &process)
	}
	return clone
}

func (state *conflictState) key() string {
	key := fmt.Sprint(state.now, state.published)
	for _, self := range state.processes {
		key += fmt.Sprint(self.record, self.ownership, self.rivals)
	}
	return key
}

// exchange makes each process that has not released its name publish a record. The other process then receives the three
// latest records.
func (state *conflictState) exchange() {
	for i, self := range state.processes {
		if !self.NameReleased() {
			state.published = append(state.published, self.NextRecord(state.now))
		}
		for _, record := range state.published[max(len(state.published)-3, 0):] {
			state.processes[1-i].Receive(state.now, &record)
		}
	}
}

// mutation changes a record before a process receives it.
type mutation func(to *Self, record Record) Record

func unchanged(_ *Self, record Record) Record { return record }

// withoutLivenessProof makes every record of another process count as a proof that the process runs.
func withoutLivenessProof(to *Self, record Record) Record {
	record.Supersedes = to.record.Run
	return record
}

// nextSteps returns the function that lists the steps possible in a state: time passes, a process publishes, a process
// receives one of the records.
func nextSteps(mutate mutation) func(*conflictState) []modelcheck.Step[*conflictState] {
	return func(from *conflictState) (next []modelcheck.Step[*conflictState]) {
		add := func(name string, do func(*conflictState)) {
			changed := from.clone()
			do(changed)
			next = append(next, modelcheck.Step[*conflictState]{Name: name, To: changed})
		}
		add("wait", func(state *conflictState) { state.now += conflictTimeout })
		for i := range from.processes {
			if !from.processes[i].NameReleased() {
				add(fmt.Sprintf("%d publishes", i), func(state *conflictState) {
					state.published = append(state.published, state.processes[i].NextRecord(state.now))
				})
			}
			for j := range from.published {
				add(fmt.Sprintf("%d receives %d", i, j), func(state *conflictState) {
					record := mutate(state.processes[i], state.published[j])
					state.processes[i].Receive(state.now, &record)
				})
			}
		}
		return next
	}
}

// lastRecords returns the last records of a process that has ended.
func lastRecords() []Record {
	predecessor := newTestSelf(1, 9)
	return []Record{
		predecessor.NextRecord(0),
		predecessor.NextRecord(time.Second),
		predecessor.LeaveRecord(2 * time.Second),
	}
}

// restartState returns a state with one process, which started after its clock was set back.
func restartState() *conflictState {
	return &conflictState{processes: []*Self{newTestSelf(2, 5)}, published: lastRecords()}
}

// rivalState returns a state with two running processes of the same name.
func rivalState() *conflictState {
	return &conflictState{processes: []*Self{newTestSelf(2, 9), newTestSelf(3, 9)}, published: lastRecords()[:1]}
}

// releaseViolation returns a description of the invariant that a state violates, or "": no process releases its name to one
// that has ended, and the earlier of two running processes does not release it.
func releaseViolation(state *conflictState) string {
	if len(state.processes) == 1 && state.processes[0].NameReleased() {
		return "a process released its name to one that has ended"
	}
	if len(state.processes) == 2 && state.processes[0].NameReleased() {
		return "the earlier of two running processes released its name"
	}
	return ""
}

// A process that released its name to a predecessor that has ended, or the wrong one of two processes, would leave a
// serving member without a record in the fleet.
func TestNameConflictsExhaustively(t *testing.T) {
	for name, testCase := range map[string]struct {
		start *conflictState
		depth int
	}{
		"records of an ended predecessor": {restartState(), 9},
		"two running processes":           {rivalState(), 6},
	} {
		t.Run(name, func(t *testing.T) {
			found := modelcheck.Search(testCase.start, testCase.depth, nextSteps(unchanged), (*conflictState).key, releaseViolation)
			require.Empty(t, found.Violation, "%v", found.Steps)
			t.Logf("%d states within %d steps", found.States, testCase.depth)
		})
	}
}

// Without the proof that a rival runs, a process would release its name to a predecessor that has ended. The exploration
// must find this fault, or it does not test what it claims.
func TestExplorationFindsMissingLivenessProof(t *testing.T) {
	found := modelcheck.Search(restartState(), 9, nextSteps(withoutLivenessProof), (*conflictState).key, releaseViolation)
	require.NotEmpty(t, found.Violation)
	t.Logf("fault found: %s, by %v", found.Violation, found.Steps)
}

// From every state that two running processes can reach, once they receive each other's records the earlier process must
// keep the name, and its record must be the greatest.
func TestNameConflictsConverge(t *testing.T) {
	modelcheck.Search(rivalState(), 4, nextSteps(unchanged), (*conflictState).key, func(state *conflictState) string {
		final := state.clone()
		for range 8 {
			final.exchange()
			final.now += time.Second
		}
		require.True(t, !final.processes[0].NameReleased() && final.processes[1].NameReleased())
		last := final.processes[0].NextRecord(final.now)
		for _, record := range final.published {
			require.True(t, record.Less(&last))
		}
		return ""
	})
}
