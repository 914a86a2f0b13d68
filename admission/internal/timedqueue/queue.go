// Package timedqueue implements a priority queue of values ordered by time.
package timedqueue

import (
	"slices"
	"time"
)

// Queue yields values ordered by time; values with equal times are ordered by insertion. Obsolete values may
// be left in the queue; the caller then ignores them when it takes them out. The zero Queue is empty.
type Queue[T any] struct {
	heap     []item[T] // a binary heap: no item comes before its parent at (index-1)/2
	sequence uint64    // number of values pushed
}

// item is an entry of a Queue.
type item[T any] struct {
	at       time.Duration
	sequence uint64 // order of insertion
	value    T
}

// Push adds a value to be yielded in the order of at.
func (q *Queue[T]) Push(at time.Duration, value T) {
	q.sequence++
	q.heap = append(q.heap, item[T]{at: at, sequence: q.sequence, value: value})
	q.moveUp(len(q.heap) - 1)
}

// Len returns the number of values.
func (q *Queue[T]) Len() int { return len(q.heap) }

// Peek returns the earliest value and its time, or false if the queue is empty.
func (q *Queue[T]) Peek() (value T, at time.Duration, ok bool) {
	if len(q.heap) == 0 {
		return value, 0, false
	}
	return q.heap[0].value, q.heap[0].at, true
}

// Pop removes the earliest value. The queue must not be empty.
func (q *Queue[T]) Pop() {
	last := len(q.heap) - 1
	q.heap[0] = q.heap[last]
	q.heap[last] = item[T]{}
	q.heap = q.heap[:last]
	q.moveDown(0)
}

// DeleteFunc removes all values for which remove returns true. It visits the values in no particular order.
func (q *Queue[T]) DeleteFunc(remove func(T) bool) {
	before := len(q.heap)
	q.heap = slices.DeleteFunc(q.heap, func(entry item[T]) bool { return remove(entry.value) })
	if len(q.heap) == before {
		return
	}
	for index := len(q.heap)/2 - 1; index >= 0; index-- {
		q.moveDown(index)
	}
}

// before reports whether the item at left is yielded before the item at right.
func (q *Queue[T]) before(left, right int) bool {
	if q.heap[left].at != q.heap[right].at {
		return q.heap[left].at < q.heap[right].at
	}
	return q.heap[left].sequence < q.heap[right].sequence
}

func (q *Queue[T]) swap(left, right int) {
	q.heap[left], q.heap[right] = q.heap[right], q.heap[left]
}

// moveUp moves the item at index towards the root until its parent comes before it.
func (q *Queue[T]) moveUp(index int) {
	for index > 0 {
		parent := (index - 1) / 2
		if !q.before(index, parent) {
			return
		}
		q.swap(index, parent)
		index = parent
	}
}

// moveDown moves the item at index away from the root until it comes before its children.
func (q *Queue[T]) moveDown(index int) {
	for {
		child := 2*index + 1
		if child >= len(q.heap) {
			return
		}
		if right := child + 1; right < len(q.heap) && q.before(right, child) {
			child = right
		}
		if !q.before(child, index) {
			return
		}
		q.swap(index, child)
		index = child
	}
}
