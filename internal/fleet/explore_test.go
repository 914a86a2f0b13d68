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
	now  time.Duration
	live []*Self
	said []Record
}

func (w *world) clone() *world {
	c := &world{now: w.now, said: slices.Clone(w.said)}
	for _, s := range w.live {
		x := *s
		x.rivals = maps.Clone(s.rivals)
		c.live = append(c.live, &x)
	}
	return c
}

func (w *world) key() string {
	k := fmt.Sprint(w.now, w.said)
	for _, s := range w.live {
		k += fmt.Sprint(s.rec, s.yielded, s.rivals)
	}
	return k
}

// steps is all that may happen in a state. Plant may change what is heard.
func steps(plant func(to *Self, r Record) Record) func(*world) []modelcheck.Step[*world] {
	return func(from *world) (all []modelcheck.Step[*world]) {
		add := func(name string, do func(*world)) {
			w := from.clone()
			do(w)
			all = append(all, modelcheck.Step[*world]{Name: name, To: w})
		}
		add("wait", func(w *world) { w.now += yieldAfter })
		for i := range from.live {
			if !from.live[i].NameReleased() {
				add(fmt.Sprintf("%d tells", i), func(w *world) { w.said = append(w.said, w.live[i].NextRecord(w.now)) })
			}
			for j := range from.said {
				add(fmt.Sprintf("%d hears %d", i, j), func(w *world) { r := plant(w.live[i], w.said[j]); w.live[i].Receive(w.now, &r) })
			}
		}
		return all
	}
}

func honest(_ *Self, r Record) Record { return r }

func TestNamesExplored(t *testing.T) {
	self := func(run, inc uint64) *Self { return NewSelf(0, Place{Name: "n1", Run: run}, 0, inc) }
	predecessor := self(1, 9)
	old := []Record{predecessor.NextRecord(0), predecessor.NextRecord(time.Second), predecessor.LeaveRecord(2 * time.Second)}
	lone := func() *world { return &world{live: []*Self{self(2, 5)}, said: slices.Clone(old)} }
	twins := func() *world { return &world{live: []*Self{self(2, 9), self(3, 9)}, said: old[:1]} }
	leaves := func(w *world) string {
		if len(w.live) == 1 && w.live[0].NameReleased() {
			return "a process yields to one that is dead"
		}
		if len(w.live) == 2 && w.live[0].NameReleased() {
			return "the earlier of two yields"
		}
		return ""
	}
	for name, c := range map[string]struct {
		start *world
		depth int
	}{"a predecessor's words": {lone(), 9}, "two at once": {twins(), 6}} {
		found := modelcheck.Visit(c.start, c.depth, steps(honest), (*world).key, leaves)
		require.Empty(t, found.Why, "%s: %v", name, found.Steps)
		t.Logf("%s: %d states within %d steps", name, found.States, c.depth)
	}

	// Planted: a protocol without proof of life, in which any word of another process counts as one.
	found := modelcheck.Visit(lone(), 9, steps(func(to *Self, r Record) Record { r.Supersedes = to.rec.Run; return r }), (*world).key, leaves)
	require.NotEmpty(t, found.Why)
	t.Logf("planted fault found: %s, by %v", found.Why, found.Steps)

	// From wherever two processes got to, once they hear one another one of them is left, and its word is the greatest.
	modelcheck.Visit(twins(), 4, steps(honest), (*world).key, func(w *world) string {
		c := w.clone()
		for range 8 {
			for i, s := range c.live {
				if !s.NameReleased() {
					c.said = append(c.said, s.NextRecord(c.now))
				}
				for _, r := range c.said[max(len(c.said)-3, 0):] {
					c.live[1-i].Receive(c.now, &r)
				}
			}
			c.now += time.Second
		}
		require.True(t, !c.live[0].NameReleased() && c.live[1].NameReleased())
		last := c.live[0].NextRecord(c.now)
		for _, r := range c.said {
			require.True(t, r.Less(&last))
		}
		return ""
	})
}
