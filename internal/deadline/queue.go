// Package deadline keeps the callbacks of an event loop in order of the times at which they are due. It has no clock
// and no goroutine: its owner sweeps the queue.
package deadline

import (
	"time"

	"github.com/google/btree"
)

const degree = 16 // of the tree's nodes

// Entry is one deadline in a Queue, for Cancel.
type Entry struct {
	deadline time.Duration // on the owner's clock
	seq      uint64        // counts entries: orders those of one deadline
	callback func()
}

// Queue holds deadlines in order of time, equal times in order of entry. Times are on the owner's clock. All methods are
// called on the owner's goroutine.
type Queue struct {
	entries *btree.BTreeG[*Entry]
	lastSeq uint64
}

// New returns an empty Queue.
func New() *Queue {
	return &Queue{entries: btree.NewG(degree, isBefore)}
}

// isBefore orders entries by deadline, and those of one deadline by entry.
func isBefore(left, right *Entry) bool {
	if left.deadline != right.deadline {
		return left.deadline < right.deadline
	}
	return left.seq < right.seq
}

// Add enters a callback for the first Sweep at or after the time at. The Entry is for Cancel.
func (q *Queue) Add(at time.Duration, callback func()) *Entry {
	q.lastSeq++
	entry := &Entry{deadline: at, seq: q.lastSeq, callback: callback}
	q.entries.ReplaceOrInsert(entry)
	return entry
}

// Cancel removes an entry. It does nothing for nil, and for an entry whose callback was called.
func (q *Queue) Cancel(entry *Entry) {
	if entry != nil {
		q.entries.Delete(entry)
	}
}

// Next returns the earliest deadline; ok is false where there is none.
func (q *Queue) Next() (at time.Duration, ok bool) {
	entry, ok := q.entries.Min()
	if !ok {
		return 0, false
	}
	return entry.deadline, true
}

// Sweep calls, in order, the callbacks that are due at now. An entry that a callback adds waits for the next Sweep,
// so that a deadline that renews itself in the past can't keep its owner busy for ever; one that a callback cancels
// is not called.
func (q *Queue) Sweep(now time.Duration) {
	lastSeq := q.lastSeq
	for {
		expired := q.firstExpired(now, lastSeq)
		if expired == nil {
			return
		}
		q.entries.Delete(expired)
		expired.callback()
	}
}

// firstExpired returns the first entry that is due at now and was added up to lastSeq, or nil.
func (q *Queue) firstExpired(now time.Duration, lastSeq uint64) (expired *Entry) {
	q.entries.Ascend(func(entry *Entry) bool {
		if entry.deadline > now {
			return false
		}
		if entry.seq <= lastSeq {
			expired = entry
		}
		return expired == nil
	})
	return expired
}

// Len returns the number of entries.
func (q *Queue) Len() int { return q.entries.Len() }
