package admission

import (
	"container/heap"
	"slices"
	"time"
)

// timedQueue yields values by time, equal times in order of entry. Values that no longer matter are left in it;
// whoever takes them out ignores them.
type timedQueue[T any] struct {
	items    timedHeap[T]
	sequence uint64
}

func (q *timedQueue[T]) push(at time.Duration, value T) {
	q.sequence++
	heap.Push(&q.items, timedItem[T]{at, q.sequence, value})
}

func (q *timedQueue[T]) empty() bool           { return len(q.items) == 0 }
func (q *timedQueue[T]) headAt() time.Duration { return q.items[0].at }
func (q *timedQueue[T]) pop() T                { return heap.Pop(&q.items).(timedItem[T]).value }

// head returns the earliest value; false means that the queue is empty.
func (q *timedQueue[T]) head() (value T, ok bool) {
	if q.empty() {
		return value, false
	}
	return q.items[0].value, true
}

// drop removes all values for which remove returns true. They are visited in no particular order.
func (q *timedQueue[T]) drop(remove func(T) bool) {
	before := len(q.items)
	q.items = slices.DeleteFunc(q.items, func(item timedItem[T]) bool { return remove(item.value) })
	if len(q.items) < before {
		heap.Init(&q.items)
	}
}

// timedItem is an entry of a timedQueue.
type timedItem[T any] struct {
	at       time.Duration
	sequence uint64 // order of entry
	value    T
}

// timedHeap implements heap.Interface.
type timedHeap[T any] []timedItem[T]

func (h timedHeap[T]) Len() int      { return len(h) }
func (h timedHeap[T]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h timedHeap[T]) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}

func (h *timedHeap[T]) Push(item any) { *h = append(*h, item.(timedItem[T])) }

func (h *timedHeap[T]) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	(*h)[last] = timedItem[T]{}
	*h = (*h)[:last]
	return item
}
