// Package deadline keeps everything that falls due in one sorted structure, which its owner sweeps.
package deadline

import (
	"time"

	"github.com/google/btree"
)

const degree = 16

// Entry is one deadline in a Queue.
type Entry struct {
	dueAt    time.Duration
	seq      uint64 // keeps equal times in order of entry
	callback func()
}

// Queue holds deadlines by time, equal times in order of entry. It is not safe for use by several
// goroutines at once.
type Queue struct {
	entries *btree.BTreeG[*Entry]
	lastSeq uint64
}

// New returns an empty Queue.
func New() *Queue {
	return &Queue{entries: btree.NewG(degree, func(a, b *Entry) bool {
		return a.dueAt < b.dueAt || a.dueAt == b.dueAt && a.seq < b.seq
	})}
}

// Add lets do be called by the first Sweep at or after the time at.
func (q *Queue) Add(at time.Duration, callback func()) *Entry {
	q.lastSeq++
	entry := &Entry{dueAt: at, seq: q.lastSeq, callback: callback}
	q.entries.ReplaceOrInsert(entry)
	return entry
}

// Cancel takes e out. A nil entry, and one that has been called, are passed over.
func (q *Queue) Cancel(entry *Entry) {
	if entry != nil {
		q.entries.Delete(entry)
	}
}

// Next returns the earliest deadline.
func (q *Queue) Next() (time.Duration, bool) {
	entry, ok := q.entries.Min()
	if !ok {
		return 0, false
	}
	return entry.dueAt, true
}

// Sweep calls what is due at now. What is added meanwhile waits for the next Sweep, so that a
// deadline that renews itself in the past cannot hold up its owner.
func (q *Queue) Sweep(now time.Duration) {
	lastSeq := q.lastSeq
	for {
		var expired *Entry
		q.entries.Ascend(func(entry *Entry) bool {
			if entry.dueAt > now {
				return false
			}
			if entry.seq <= lastSeq {
				expired = entry
			}
			return expired == nil
		})
		if expired == nil {
			return
		}
		q.entries.Delete(expired)
		expired.callback()
	}
}

// Len is how many deadlines are entered.
func (q *Queue) Len() int { return q.entries.Len() }
