package admission

import (
	"slices"
	"time"
)

// requestQueue holds the requests that wait to run, and maintains their counts and sums of work. Each class
// has a FIFO queue. The next request is the class front with the earliest latest start. Removal is lazy: a
// removed request stays in its slice until it reaches the front or the slice is purged.
type requestQueue struct {
	classes []classQueue // indexed by class
	count   int          // queued requests of all classes
	work    float64      // sum over all classes, in seconds of a standard core
}

// classQueue holds the queued requests of one class.
type classQueue struct {
	requests []*request // in order of entry; may contain requests that were removed
	count    int        // queued requests, without removed ones
	work     float64    // in seconds of a standard core, without removed requests
	purge    purgeThreshold
}

// grow extends the queue to the given number of classes.
func (q *requestQueue) grow(classes int) {
	q.classes = append(q.classes, make([]classQueue, classes-len(q.classes))...)
}

// push appends a request to the queue of its class.
func (q *requestQueue) push(request *request) {
	request.state = queued
	class := &q.classes[request.class]
	class.purgeRemoved()
	class.requests = append(class.requests, request)
	class.count++
	class.work += request.work
	q.count++
	q.work += request.work
}

// purgeRemoved drops the requests that were removed, if there may be many.
func (c *classQueue) purgeRemoved() {
	if !c.purge.reached(len(c.requests)) {
		return
	}
	c.requests = slices.DeleteFunc(c.requests, func(entry *request) bool { return entry.state != queued })
	c.purge.purged(len(c.requests))
}

// remove subtracts a request from the counts and sums. The caller must then change the state of the request,
// so that the queue skips it.
func (q *requestQueue) remove(request *request) {
	class := &q.classes[request.class]
	class.count--
	class.work = max(class.work-request.work, 0)
	q.count--
	q.work = max(q.work-request.work, 0)
}

// front returns the first queued request of a class, or nil. It drops the removed requests before it.
func (q *requestQueue) front(class int) *request {
	queue := &q.classes[class]
	for len(queue.requests) > 0 && queue.requests[0].state != queued {
		queue.requests[0] = nil
		queue.requests = queue.requests[1:]
	}
	if len(queue.requests) == 0 {
		return nil
	}
	return queue.requests[0]
}

// next returns the class front with the earliest latest start, or nil. Fronts for which skip returns true are
// skipped.
func (q *requestQueue) next(latestStart func(*request) time.Duration, skip func(*request) bool) *request {
	var next *request
	var earliest time.Duration
	for class := range q.classes {
		front := q.front(class)
		if front == nil || skip(front) {
			continue
		}
		if startBy := latestStart(front); next == nil || startBy < earliest {
			next = front
			earliest = startBy
		}
	}
	return next
}

// lowestValued returns the queued request of a class with the lowest value below limit, and that value. If
// there is none, it returns nil and limit. It examines only the depth newest entries of the class, newest
// first.
func (q *requestQueue) lowestValued(
	class, depth int, limit float64, value func(*request) float64,
) (*request, float64) {
	var lowest *request
	requests := q.classes[class].requests
	for i := len(requests) - 1; i >= max(0, len(requests)-depth); i-- {
		candidate := requests[i]
		if candidate.state != queued {
			continue
		}
		if candidateValue := value(candidate); candidateValue < limit {
			lowest = candidate
			limit = candidateValue
		}
	}
	return lowest, limit
}
