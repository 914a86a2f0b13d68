package admission

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// plainQueue is the reference: a list of queued requests in order of entry.
type plainQueue []*request

func (p plainQueue) front(class int) *request {
	for _, queuedRequest := range p {
		if queuedRequest.class == class {
			return queuedRequest
		}
	}
	return nil
}

// The queue removes lazily. Its fronts, counts and sums must be those of a plain list, whatever is removed.
func TestRequestQueueAgainstPlainList(t *testing.T) {
	const classes = 3
	for seed := range uint64(10) {
		rng := rand.New(rand.NewPCG(seed, 6))
		var queue requestQueue
		queue.grow(1)
		queue.grow(classes)
		var list plainQueue
		for step := range 1500 {
			if rng.IntN(5) < 3 || len(list) == 0 {
				arrived := &request{id: RequestID(step), class: rng.IntN(classes), work: float64(rng.IntN(9)),
					objective: time.Duration(rng.IntN(1000))}
				queue.push(arrived)
				list = append(list, arrived)
			} else {
				index := rng.IntN(len(list))
				queue.remove(list[index])
				list[index].state = []requestState{running, released, following}[rng.IntN(3)]
				list = slices.Delete(list, index, index+1)
			}
			requireSameQueue(t, list, &queue)
		}
	}
}

func requireSameQueue(t *testing.T, list plainQueue, queue *requestQueue) {
	t.Helper()
	counts, works := make([]int, len(queue.classes)), make([]float64, len(queue.classes))
	total := 0.0
	for _, queuedRequest := range list {
		counts[queuedRequest.class]++
		works[queuedRequest.class] += queuedRequest.work
		total += queuedRequest.work
	}
	require.Equal(t, len(list), queue.count)
	require.InDelta(t, total, queue.work, 1e-9)
	var next *request
	for class := range queue.classes {
		require.Equal(t, counts[class], queue.classes[class].count)
		require.InDelta(t, works[class], queue.classes[class].work, 1e-9)
		front := list.front(class)
		require.Same(t, front, queue.front(class))
		if front != nil && (next == nil || front.objective < next.objective) {
			next = front
		}
	}
	byObjective := func(request *request) time.Duration { return request.objective }
	require.Same(t, next, queue.next(byObjective, func(*request) bool { return false }))
	require.Nil(t, queue.next(byObjective, func(*request) bool { return true }))
}

// The search must be bounded by depth, and prefer the newest of equally valued requests, which has waited
// least.
func TestLowestValuedPrefersNewestOfEqualValues(t *testing.T) {
	var queue requestQueue
	queue.grow(1)
	for id, work := range []float64{1, 5, 2, 2, 7} {
		queue.push(&request{id: RequestID(id), work: work})
	}
	byWork := func(request *request) float64 { return request.work }
	least, value := queue.lowestValued(0, 4, 6, byWork)
	require.Equal(t, RequestID(3), least.id, "the first request is beyond depth")
	require.InDelta(t, 2, value, 0)
	least, value = queue.lowestValued(0, 5, 6, byWork)
	require.Equal(t, RequestID(0), least.id)
	require.InDelta(t, 1, value, 0)
	least, value = queue.lowestValued(0, 5, 1, byWork)
	require.Nil(t, least, "none is below the limit")
	require.InDelta(t, 1, value, 0)
}

// The objective counts from the first attempt, the deadline from the arrival, and neither starts in the
// future if clocks differ.
func TestNewRequestObjectiveAndDeadline(t *testing.T) {
	class := &Class{LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second}
	late := &Class{LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, LateValueRatio: 0.2}
	const now = 100 * time.Second
	for _, test := range []struct {
		name                             string
		class                            *Class
		arrival                          Arrival
		objective, usefulUntil, deadline time.Duration // from now
	}{
		{"first attempt", class, Arrival{}, 2000 * ms, 2000 * ms, 6000 * ms},
		{"waited to be read", class, Arrival{ReadDelay: 500 * ms}, 1500 * ms, 1500 * ms, 5500 * ms},
		{"negative wait, due to differing clocks", class, Arrival{ReadDelay: -500 * ms}, 2000 * ms, 2000 * ms, 6000 * ms},
		{"late answers have value", late, Arrival{}, 2000 * ms, 6000 * ms, 6000 * ms},
		{"deadline of the request", late, Arrival{Deadline: now + 3000*ms}, 2000 * ms, 3000 * ms, 3000 * ms},
		{"deadline of the request before the objective", class, Arrival{Deadline: now + 1000*ms}, 1000 * ms, 1000 * ms, 1000 * ms},
		{"retry of unknown age", class, Arrival{Retry: true}, 800 * ms, 800 * ms, 6000 * ms},
		{"age of the request is known", class, Arrival{SinceFirstAttempt: 700 * ms}, 1300 * ms, 1300 * ms, 6000 * ms},
	} {
		request := newRequest(now, 1, &test.arrival, test.class)
		require.Equal(t, test.objective, request.objective-now, test.name)
		require.Equal(t, test.usefulUntil, request.usefulUntil-now, test.name)
		require.Equal(t, test.deadline, request.deadline-now, test.name)
	}
	require.Zero(t, newRequest(now, 1, &Arrival{MemoryKB: -5}, class).memoryKB)
}

// A client that cancels each request at once must not make the queue grow with its rate while the front of the queue waits.
// Requests that had been removed were kept until they reached the front, and took the server over its memory.
func TestRemovedRequestsAreDropped(t *testing.T) {
	var queue requestQueue
	queue.grow(1)
	waiting := &request{}
	queue.push(waiting)
	var last *request
	for range 100 * minPurgeSize {
		cancelled := &request{}
		queue.push(cancelled)
		queue.remove(cancelled)
		cancelled.state = released
		last = &request{}
		require.LessOrEqual(t, len(queue.classes[0].requests), minPurgeSize+1)
	}
	queue.push(last)
	require.Same(t, waiting, queue.front(0))
	queue.remove(waiting)
	waiting.state = running
	require.Same(t, last, queue.front(0))
	require.Equal(t, 1, queue.count)
}
