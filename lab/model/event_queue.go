package model

import "time"

// scheduledEvent is something that the simulation does at a time.
type scheduledEvent struct {
	at       time.Duration
	sequence int // events at the same time happen in the order in which they were scheduled
	do       func()
}

// before reports whether the event happens before another one.
func (e *scheduledEvent) before(other *scheduledEvent) bool {
	if e.at != other.at {
		return e.at < other.at
	}
	return e.sequence < other.sequence
}

// eventQueue holds the events to come, as a binary heap: an event is not after its children, which stand at twice its
// index plus one and plus two.
type eventQueue struct {
	heap     []scheduledEvent
	sequence int
}

func (q *eventQueue) empty() bool { return len(q.heap) == 0 }

// push adds an event.
func (q *eventQueue) push(at time.Duration, do func()) {
	q.sequence++
	q.heap = append(q.heap, scheduledEvent{at: at, sequence: q.sequence, do: do})
	q.siftUp(len(q.heap) - 1)
}

// pop removes and returns the next event. There must be one.
func (q *eventQueue) pop() scheduledEvent {
	next := q.heap[0]
	last := len(q.heap) - 1
	q.heap[0] = q.heap[last]
	q.heap[last] = scheduledEvent{}
	q.heap = q.heap[:last]
	q.siftDown(0)
	return next
}

// siftUp moves an event towards the root until its parent is not after it.
func (q *eventQueue) siftUp(child int) {
	for child > 0 {
		parent := (child - 1) / 2
		if !q.heap[child].before(&q.heap[parent]) {
			return
		}
		q.swap(child, parent)
		child = parent
	}
}

// siftDown moves an event away from the root until its children are not before it.
func (q *eventQueue) siftDown(parent int) {
	for {
		next := q.firstOf(parent, 2*parent+1, 2*parent+2)
		if next == parent {
			return
		}
		q.swap(parent, next)
		parent = next
	}
}

// firstOf returns the index of the first event among a parent and those of its children that exist.
func (q *eventQueue) firstOf(parent, left, right int) int {
	first := parent
	if left < len(q.heap) && q.heap[left].before(&q.heap[first]) {
		first = left
	}
	if right < len(q.heap) && q.heap[right].before(&q.heap[first]) {
		first = right
	}
	return first
}

func (q *eventQueue) swap(i, j int) { q.heap[i], q.heap[j] = q.heap[j], q.heap[i] }
