package timedqueue

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// entry is a value of the reference implementation, a list that is searched.
type entry struct {
	at    time.Duration
	value int
}

// earliest returns the index of the first entry with the earliest time.
func earliest(entries []entry) int {
	best := 0
	for i := range entries {
		if entries[i].at < entries[best].at {
			best = i
		}
	}
	return best
}

// The queue must yield the same values in the same order as a list that is searched, with values of equal
// time and deletions.
func TestQueueAgainstPlainList(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 3))
		var queue Queue[int]
		var list []entry
		for step := range 2000 {
			switch roll := rng.IntN(10); {
			case roll < 6:
				added := entry{time.Duration(rng.IntN(50)), step}
				queue.Push(added.at, added.value)
				list = append(list, added)
			case roll < 9 && len(list) > 0:
				first := earliest(list)
				value, at, ok := queue.Peek()
				require.True(t, ok)
				found := entry{at, value}
				require.Equal(t, list[first], found)
				queue.Pop()
				list = slices.Delete(list, first, first+1)
			case rng.IntN(20) == 0:
				removed := func(value int) bool { return value%3 == 0 }
				queue.DeleteFunc(removed)
				list = slices.DeleteFunc(list, func(e entry) bool { return removed(e.value) })
			}
			require.Len(t, list, queue.Len())
		}
		for len(list) > 0 {
			first := earliest(list)
			value, at, _ := queue.Peek()
			found := entry{at, value}
			require.Equal(t, list[first], found)
			queue.Pop()
			list = slices.Delete(list, first, first+1)
		}
	}
}

// All methods that allow it must work on an empty queue, including its zero value.
func TestEmptyQueue(t *testing.T) {
	var queue Queue[string]
	_, _, ok := queue.Peek()
	require.False(t, ok)
	require.Zero(t, queue.Len())
	queue.DeleteFunc(func(string) bool { return true })
	queue.Push(5, "a")
	value, at, ok := queue.Peek()
	require.True(t, ok)
	require.Equal(t, "a", value)
	require.Equal(t, 5*time.Nanosecond, at)
	queue.Pop()
	require.Zero(t, queue.Len())
}
