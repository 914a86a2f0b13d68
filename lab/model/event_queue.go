package model

import "time"

// scheduledEvent is an event of the simulation that is still to come.
type scheduledEvent struct {
	at       time.Duration // time of the event in the simulation
	sequence int           // number in order of scheduling; events with the same time happen in this order
	do       func()        // what the event does
}

// before reports whether e happens before other.
func (e *scheduledEvent) before(other *scheduledEvent) bool {
	if e.at != other.at {
		return e.at < other.at
	}
	return e.sequence < other.sequence
}

// eventQueue is a priority queue of events, ordered by time and then by the order of scheduling. It is a binary heap: the
// children of index i are at 2i+1 and 2i+2, and no event is after its children.
type eventQueue struct {
	heap     []scheduledEvent
	sequence int // number of the event that was pushed last
}

func (q *eventQueue) empty() bool { return len(q.heap) == 0 }

// push adds an event that calls do at a time.
func (q *eventQueue) push(at time.Duration, do func()) {
	q.sequence++
	q.heap = append(q.heap, scheduledEvent{at: at, sequence: q.sequence, do: do})
	q.siftUp(len(q.heap) - 1)
}

// pop removes and returns the earliest event. The queue must not be empty.
func (q *eventQueue) pop() scheduledEvent {
	next := q.heap[0]
	last := len(q.heap) - 1
	q.heap[0] = q.heap[last]
	q.heap[last] = scheduledEvent{}
	q.heap = q.heap[:last]
	q.siftDown(0)
	return next
}

// siftUp moves the event at index child towards the root until its parent is not after it.
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

// siftDown moves the event at index parent away from the root until none of its children is before it.
func (q *eventQueue) siftDown(parent int) {
	for {
		next := q.earliest(parent, 2*parent+1, 2*parent+2)
		if next == parent {
			return
		}
		q.swap(parent, next)
		parent = next
	}
}

// earliest returns the index of the earliest event among a parent and those of its children that exist.
func (q *eventQueue) earliest(parent, left, right int) int {
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
