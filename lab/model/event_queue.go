package model

import (
	"cmp"
	"container/heap"
	"time"
)

// scheduledEvent is something that the simulation does at a time.
type scheduledEvent struct {
	at       time.Duration
	sequence int // events at the same time happen in the order in which they were scheduled
	do       func()
}

// eventQueue holds the events to come, the next one first.
type eventQueue struct {
	heap     eventHeap
	sequence int
}

func (q *eventQueue) push(at time.Duration, do func()) {
	q.sequence++
	heap.Push(&q.heap, scheduledEvent{at: at, sequence: q.sequence, do: do})
}

func (q *eventQueue) pop() scheduledEvent { return heap.Pop(&q.heap).(scheduledEvent) }

func (q *eventQueue) empty() bool { return len(q.heap) == 0 }

// eventHeap implements heap.Interface.
type eventHeap []scheduledEvent

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].at, h[j].at), h[i].sequence-h[j].sequence) < 0
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(event any) { *h = append(*h, event.(scheduledEvent)) }

func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	event := (*h)[last]
	(*h)[last] = scheduledEvent{}
	*h = (*h)[:last]
	return event
}
