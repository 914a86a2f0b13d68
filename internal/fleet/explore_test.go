package fleet

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

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

// explore visits all states within depth steps and returns the first in which broken says why, with the steps to it.
// plant may change what is heard.
func explore(start *world, depth int, plant func(to *Self, r Record) Record, broken func(*world) string) (why string, steps []string, states int) {
	type node struct {
		w     *world
		steps []string
	}
	seen := map[string]bool{}
	for level, next := 0, []node{{start, nil}}; level <= depth; level++ {
		this := next
		next = nil
		for _, n := range this {
			if why := broken(n.w); why != "" {
				return why, n.steps, states
			}
			add := func(step string, do func(*world)) {
				c := n.w.clone()
				do(c)
				if k := c.key(); !seen[k] {
					seen[k] = true
					states++
					next = append(next, node{c, append(slices.Clone(n.steps), step)})
				}
			}
			add("wait", func(w *world) { w.now += yieldAfter })
			for i := range n.w.live {
				if !n.w.live[i].Yielded() {
					add(fmt.Sprintf("%d tells", i), func(w *world) { w.said = append(w.said, w.live[i].Tell(w.now)) })
				}
				for j := range n.w.said {
					add(fmt.Sprintf("%d hears %d", i, j), func(w *world) { r := plant(w.live[i], w.said[j]); w.live[i].Heard(w.now, &r) })
				}
			}
		}
	}
	return "", nil, states
}

func honest(_ *Self, r Record) Record { return r }

func TestNamesExplored(t *testing.T) {
	self := func(run, inc uint64) *Self { return NewSelf(0, Place{Name: "n1", Run: run}, 0, inc) }
	predecessor := self(1, 9)
	old := []Record{predecessor.Tell(0), predecessor.Tell(time.Second), predecessor.Leaving(2 * time.Second)}
	lone := func() *world { return &world{live: []*Self{self(2, 5)}, said: slices.Clone(old)} }
	twins := func() *world { return &world{live: []*Self{self(2, 9), self(3, 9)}, said: old[:1]} }
	leaves := func(w *world) string {
		if len(w.live) == 1 && w.live[0].Yielded() {
			return "a process yields to one that is dead"
		}
		if len(w.live) == 2 && w.live[0].Yielded() {
			return "the earlier of two yields"
		}
		return ""
	}
	for name, c := range map[string]struct {
		start *world
		depth int
	}{"a predecessor's words": {lone(), 9}, "two at once": {twins(), 6}} {
		why, steps, states := explore(c.start, c.depth, honest, leaves)
		require.Empty(t, why, "%s: %v", name, steps)
		t.Logf("%s: %d states within %d steps", name, states, c.depth)
	}

	// Planted: a protocol without proof of life, in which any word of another process counts as one.
	why, steps, _ := explore(lone(), 9, func(to *Self, r Record) Record { r.Over = to.rec.Run; return r }, leaves)
	require.NotEmpty(t, why)
	t.Logf("planted fault found: %s, by %v", why, steps)

	// From wherever two processes got to, once they hear one another one of them is left, and its word is the greatest.
	explore(twins(), 4, honest, func(w *world) string {
		c := w.clone()
		for range 8 {
			for i, s := range c.live {
				if !s.Yielded() {
					c.said = append(c.said, s.Tell(c.now))
				}
				for _, r := range c.said[max(len(c.said)-3, 0):] {
					c.live[1-i].Heard(c.now, &r)
				}
			}
			c.now += time.Second
		}
		require.True(t, !c.live[0].Yielded() && c.live[1].Yielded())
		last := c.live[0].Tell(c.now)
		for _, r := range c.said {
			require.True(t, r.Less(&last))
		}
		return ""
	})
}
