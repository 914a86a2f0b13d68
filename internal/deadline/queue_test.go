package deadline

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Callbacks must run in order of deadline, and in order of their Add calls for equal deadlines; cancelled ones must not run.
func TestSweepInOrder(t *testing.T) {
	queue := New()
	var got []string
	add := func(at time.Duration, name string) *Entry {
		return queue.Add(at, func() { got = append(got, name) })
	}
	add(30, "c")
	add(10, "a")
	cancelled := add(15, "gone")
	add(10, "b")
	add(50, "later")
	queue.Cancel(cancelled)
	queue.Cancel(nil)
	at, ok := queue.Next()
	require.True(t, ok)
	require.Equal(t, time.Duration(10), at)
	queue.Sweep(30)
	require.Equal(t, []string{"a", "b", "c"}, got)
	queue.Cancel(cancelled)
	queue.Sweep(50)
	require.Equal(t, "later", got[3])
	_, ok = queue.Next()
	require.False(t, ok)
}

// A callback that adds itself again with a past deadline must not keep the sweep going forever, and a callback that an
// earlier one of the same sweep has cancelled must not be called.
func TestSweepWhileQueueChanges(t *testing.T) {
	queue := New()
	calls := 0
	var renew func()
	renew = func() { calls++; queue.Add(1, renew) }
	queue.Add(1, renew)
	cancelled := queue.Add(3, func() { t.Error("called though cancelled") })
	queue.Add(2, func() { queue.Cancel(cancelled) })
	queue.Sweep(10)
	require.Equal(t, 1, calls)
	queue.Sweep(10)
	require.Equal(t, 2, calls)
}
