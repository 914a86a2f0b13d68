// Package deadline provides a queue of callbacks ordered by the times at which they are due, for use by an event loop.
// It has no clock and no goroutine of its own: its owner passes the current time to Sweep.
package deadline

import (
	"time"

	"github.com/google/btree"
)

const degree = 16 // of the B-tree: a node holds up to 31 entries

// Entry identifies one callback in a Queue, to be passed to Cancel.
type Entry struct {
	deadline time.Duration // when the callback is due, on the owner's clock
	seq      uint64        // number of the Add call; orders entries with equal deadlines
	callback func()
}

// Queue holds callbacks ordered by deadline, and by the order of the Add calls among equal deadlines. Times are on the
// owner's clock. All methods must be called on the owner's goroutine.
type Queue struct {
	entries *btree.BTreeG[*Entry]
	lastSeq uint64 // seq of the entry added last
}

// New returns an empty Queue.
func New() *Queue {
	return &Queue{entries: btree.NewG(degree, isBefore)}
}

// isBefore orders entries by deadline, and entries with equal deadlines by seq.
func isBefore(left, right *Entry) bool {
	if left.deadline != right.deadline {
		return left.deadline < right.deadline
	}
	return left.seq < right.seq
}

// Add adds a callback, which the first Sweep at or after the given time calls. The returned Entry can be passed to Cancel.
func (q *Queue) Add(at time.Duration, callback func()) *Entry {
	q.lastSeq++
	entry := &Entry{deadline: at, seq: q.lastSeq, callback: callback}
	q.entries.ReplaceOrInsert(entry)
	return entry
}

// Cancel removes an entry. It does nothing if entry is nil, or if its callback was called or cancelled before.
func (q *Queue) Cancel(entry *Entry) {
	if entry != nil {
		q.entries.Delete(entry)
	}
}

// Next returns the earliest deadline. ok is false if the queue is empty.
func (q *Queue) Next() (at time.Duration, ok bool) {
	entry, ok := q.entries.Min()
	if !ok {
		return 0, false
	}
	return entry.deadline, true
}

// Sweep calls the callbacks that are due at now, in order. An entry that is added during the sweep waits for the next
// Sweep: a callback that adds itself again with a past deadline would otherwise keep the owner busy forever. A callback
// that is cancelled during the sweep is not called.
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

// firstExpired returns the first entry that is due at now and whose seq is at most lastSeq, or nil if there is none.
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
