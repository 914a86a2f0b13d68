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

// The protocol by which processes settle a conflict over their name, explored exhaustively: every order of publishing,
// receiving (late, twice, never) and time passing, up to a depth. A predecessor's last records exist from the start.

// world is one state: one or two processes that live, and all records ever published.
type world struct {
	now       time.Duration
	processes []*Self
	published []Record
}

func (w *world) clone() *world {
	clone := &world{now: w.now, published: slices.Clone(w.published)}
	for _, self := range w.processes {
		process := *self
		process.rivals = maps.Clone(self.rivals)
		clone.processes = append(clone.processes, &process)
	}
	return clone
}

func (w *world) key() string {
	key := fmt.Sprint(w.now, w.published)
	for _, self := range w.processes {
		key += fmt.Sprint(self.record, self.ownership, self.rivals)
	}
	return key
}

// exchange has each process that still owns its name publish a record, which the other one receives with the latest.
func (w *world) exchange() {
	for i, self := range w.processes {
		if !self.NameReleased() {
			w.published = append(w.published, self.NextRecord(w.now))
		}
		for _, record := range w.published[max(len(w.published)-3, 0):] {
			w.processes[1-i].Receive(w.now, &record)
		}
	}
}

// alteration changes a record before a process receives it.
type alteration func(to *Self, record Record) Record

func unaltered(_ *Self, record Record) Record { return record }

// withoutLivenessProof makes any record of another process count as a proof that it lives.
func withoutLivenessProof(to *Self, record Record) Record {
	record.Supersedes = to.record.Run
	return record
}

// nextSteps returns all that may happen in a state.
func nextSteps(alter alteration) func(*world) []modelcheck.Step[*world] {
	return func(from *world) (next []modelcheck.Step[*world]) {
		add := func(name string, do func(*world)) {
			changed := from.clone()
			do(changed)
			next = append(next, modelcheck.Step[*world]{Name: name, To: changed})
		}
		add("wait", func(w *world) { w.now += conflictTimeout })
		for i := range from.processes {
			if !from.processes[i].NameReleased() {
				add(fmt.Sprintf("%d publishes", i), func(w *world) {
					w.published = append(w.published, w.processes[i].NextRecord(w.now))
				})
			}
			for j := range from.published {
				add(fmt.Sprintf("%d receives %d", i, j), func(w *world) {
					record := alter(w.processes[i], w.published[j])
					w.processes[i].Receive(w.now, &record)
				})
			}
		}
		return next
	}
}

// lastRecords are those of a process that has ended.
func lastRecords() []Record {
	predecessor := newTestSelf(1, 9)
	return []Record{
		predecessor.NextRecord(0),
		predecessor.NextRecord(time.Second),
		predecessor.LeaveRecord(2 * time.Second),
	}
}

// worldOfOne has one process, which was started after its clock was set back.
func worldOfOne() *world {
	return &world{processes: []*Self{newTestSelf(2, 5)}, published: lastRecords()}
}

// worldOfTwo has two processes of one name that live.
func worldOfTwo() *world {
	return &world{processes: []*Self{newTestSelf(2, 9), newTestSelf(3, 9)}, published: lastRecords()[:1]}
}

// wrongRelease returns what is wrong with who has released the name.
func wrongRelease(w *world) string {
	if len(w.processes) == 1 && w.processes[0].NameReleased() {
		return "a process yields to one that is dead"
	}
	if len(w.processes) == 2 && w.processes[0].NameReleased() {
		return "the earlier of two yields"
	}
	return ""
}

func TestNameConflictsExplored(t *testing.T) {
	for name, testCase := range map[string]struct {
		start *world
		depth int
	}{
		"a predecessor's records": {worldOfOne(), 9},
		"two at once":             {worldOfTwo(), 6},
	} {
		t.Run(name, func(t *testing.T) {
			found := modelcheck.Visit(testCase.start, testCase.depth, nextSteps(unaltered), (*world).key, wrongRelease)
			require.Empty(t, found.Why, "%v", found.Steps)
			t.Logf("%d states within %d steps", found.States, testCase.depth)
		})
	}
}

// The exploration must find the fault of a protocol without proof of life.
func TestNameConflictsExploredWithFault(t *testing.T) {
	found := modelcheck.Visit(worldOfOne(), 9, nextSteps(withoutLivenessProof), (*world).key, wrongRelease)
	require.NotEmpty(t, found.Why)
	t.Logf("fault found: %s, by %v", found.Why, found.Steps)
}

// From whatever state two processes got into, once they receive each other's records the earlier one keeps the name,
// and its record is the greatest.
func TestNameConflictsSettle(t *testing.T) {
	modelcheck.Visit(worldOfTwo(), 4, nextSteps(unaltered), (*world).key, func(state *world) string {
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
