package model

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against events that are popped out of order when pushes and pops alternate: events must come by time, and events
// with the same time in the order in which they were pushed, or simulations are not reproducible.
func TestEventQueuePopsByTimeThenPushOrder(t *testing.T) {
	type event struct {
		at     time.Duration
		number int
	}
	random := rand.New(rand.NewPCG(1, 1))
	var queue eventQueue
	var pending []event // sorted into the order in which they must be popped
	for number := range 5000 {
		pushed := event{at: time.Duration(random.IntN(100)), number: number}
		queue.push(pushed.at, nil)
		pending = append(pending, pushed)
		slices.SortStableFunc(pending, func(a, b event) int { return int(a.at - b.at) })
		for range random.IntN(3) {
			if queue.empty() {
				break
			}
			want := pending[0]
			pending = pending[1:]
			popped := queue.pop()
			require.Equal(t, want, event{at: popped.at, number: popped.sequence - 1})
		}
	}
	for _, want := range pending {
		popped := queue.pop()
		require.Equal(t, want, event{at: popped.at, number: popped.sequence - 1})
	}
	require.True(t, queue.empty())
}
