// Package deadline keeps everything that falls due in one sorted structure, which its owner sweeps.
package deadline

import (
	"time"

	"github.com/google/btree"
)

const degree = 16

// Entry is one deadline in a Queue.
type Entry struct {
	at  time.Duration
	seq uint64 // keeps equal times in order of entry
	do  func()
}

// Queue holds deadlines by time, equal times in order of entry. It is not safe for use by several
// goroutines at once.
type Queue struct {
	tree *btree.BTreeG[*Entry]
	seq  uint64
}

// New returns an empty Queue.
func New() *Queue {
	return &Queue{tree: btree.NewG(degree, func(a, b *Entry) bool {
		return a.at < b.at || a.at == b.at && a.seq < b.seq
	})}
}

// Add lets do be called by the first Sweep at or after the time at.
func (q *Queue) Add(at time.Duration, do func()) *Entry {
	q.seq++
	e := &Entry{at: at, seq: q.seq, do: do}
	q.tree.ReplaceOrInsert(e)
	return e
}

// Cancel takes e out. A nil entry, and one that has been called, are passed over.
func (q *Queue) Cancel(e *Entry) {
	if e != nil {
		q.tree.Delete(e)
	}
}

// Next returns the earliest deadline.
func (q *Queue) Next() (time.Duration, bool) {
	e, ok := q.tree.Min()
	if !ok {
		return 0, false
	}
	return e.at, true
}

// Sweep calls what is due at now. What is added meanwhile waits for the next Sweep, so that a
// deadline that renews itself in the past cannot hold up its owner.
func (q *Queue) Sweep(now time.Duration) {
	last := q.seq
	for {
		var due *Entry
		q.tree.Ascend(func(e *Entry) bool {
			if e.at > now {
				return false
			}
			if e.seq <= last {
				due = e
			}
			return due == nil
		})
		if due == nil {
			return
		}
		q.tree.Delete(due)
		due.do()
	}
}

// Len is how many deadlines are entered.
func (q *Queue) Len() int { return q.tree.Len() }
