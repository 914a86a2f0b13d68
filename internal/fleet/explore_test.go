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

// The small protocol by which processes of one name settle whose it is, explored exhaustively: every order of telling,
// hearing (late, twice, never) and time going by, up to a depth. A predecessor's last words are about from the start.

// world is one state: two processes that live, unless the second has not been started, and all words ever told.
type world struct {
	now       time.Duration
	processes []*Self
	updates   []Record
}

func (w *world) clone() *world {
	clone := &world{now: w.now, updates: slices.Clone(w.updates)}
	for _, s := range w.processes {
		process := *s
		process.rivals = maps.Clone(s.rivals)
		clone.processes = append(clone.processes, &process)
	}
	return clone
}

func (w *world) key() string {
	k := fmt.Sprint(w.now, w.updates)
	for _, s := range w.processes {
		k += fmt.Sprint(s.record, s.released, s.rivals)
	}
	return k
}

// nextSteps is all that may happen in a state. Plant may change what is heard.
func nextSteps(alter func(to *Self, r Record) Record) func(*world) []modelcheck.Step[*world] {
	return func(from *world) (next []modelcheck.Step[*world]) {
		add := func(name string, do func(*world)) {
			w := from.clone()
			do(w)
			next = append(next, modelcheck.Step[*world]{Name: name, To: w})
		}
		add("wait", func(w *world) { w.now += conflictTimeout })
		for i := range from.processes {
			if !from.processes[i].NameReleased() {
				add(fmt.Sprintf("%d tells", i), func(w *world) { w.updates = append(w.updates, w.processes[i].NextRecord(w.now)) })
			}
			for j := range from.updates {
				add(fmt.Sprintf("%d hears %d", i, j), func(w *world) { r := alter(w.processes[i], w.updates[j]); w.processes[i].Receive(w.now, &r) })
			}
		}
		return next
	}
}

func unchanged(_ *Self, r Record) Record { return r }

func TestNameConflictsExplored(t *testing.T) {
	self := func(run, inc uint64) *Self { return NewSelf(0, Place{Name: "n1", Run: run}, 0, inc) }
	predecessor := self(1, 9)
	old := []Record{predecessor.NextRecord(0), predecessor.NextRecord(time.Second), predecessor.LeaveRecord(2 * time.Second)}
	lone := func() *world { return &world{processes: []*Self{self(2, 5)}, updates: slices.Clone(old)} }
	twins := func() *world { return &world{processes: []*Self{self(2, 9), self(3, 9)}, updates: old[:1]} }
	leaves := func(w *world) string {
		if len(w.processes) == 1 && w.processes[0].NameReleased() {
			return "a process yields to one that is dead"
		}
		if len(w.processes) == 2 && w.processes[0].NameReleased() {
			return "the earlier of two yields"
		}
		return ""
	}
	for name, testCase := range map[string]struct {
		start *world
		depth int
	}{"a predecessor's words": {lone(), 9}, "two at once": {twins(), 6}} {
		found := modelcheck.Visit(testCase.start, testCase.depth, nextSteps(unchanged), (*world).key, leaves)
		require.Empty(t, found.Why, "%s: %v", name, found.Steps)
		t.Logf("%s: %d states within %d steps", name, found.States, testCase.depth)
	}

	// Planted: a protocol without proof of life, in which any word of another process counts as one.
	found := modelcheck.Visit(lone(), 9, nextSteps(func(to *Self, r Record) Record { r.Supersedes = to.record.Run; return r }), (*world).key, leaves)
	require.NotEmpty(t, found.Why)
	t.Logf("planted fault found: %s, by %v", found.Why, found.Steps)

	// From wherever two processes got to, once they hear one another one of them is left, and its word is the greatest.
	modelcheck.Visit(twins(), 4, nextSteps(unchanged), (*world).key, func(w *world) string {
		testCase := w.clone()
		for range 8 {
			for i, s := range testCase.processes {
				if !s.NameReleased() {
					testCase.updates = append(testCase.updates, s.NextRecord(testCase.now))
				}
				for _, r := range testCase.updates[max(len(testCase.updates)-3, 0):] {
					testCase.processes[1-i].Receive(testCase.now, &r)
				}
			}
			testCase.now += time.Second
		}
		require.True(t, !testCase.processes[0].NameReleased() && testCase.processes[1].NameReleased())
		last := testCase.processes[0].NextRecord(testCase.now)
		for _, r := range testCase.updates {
			require.True(t, r.Less(&last))
		}
		return ""
	})
}
