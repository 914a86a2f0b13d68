package deadline

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSweepInOrder(t *testing.T) {
	q := New()
	var got []string
	add := func(at time.Duration, name string) *Entry {
		return q.Add(at, func() { got = append(got, name) })
	}
	add(30, "c")
	add(10, "a")
	gone := add(15, "gone")
	add(10, "b")
	add(50, "later")
	q.Cancel(gone)
	q.Cancel(nil)
	at, ok := q.Next()
	require.True(t, ok)
	require.Equal(t, time.Duration(10), at)
	q.Sweep(30)
	require.Equal(t, []string{"a", "b", "c"}, got)
	q.Cancel(gone)
	q.Sweep(50)
	require.Equal(t, "later", got[3])
	_, ok = q.Next()
	require.False(t, ok)
}

// A deadline that renews itself in the past must not hold up the sweep for ever, and one that is
// cancelled by an earlier one of the same sweep must not be called.
func TestSweepWhileItChanges(t *testing.T) {
	q := New()
	calls := 0
	var renew func()
	renew = func() { calls++; q.Add(1, renew) }
	q.Add(1, renew)
	victim := q.Add(3, func() { t.Error("called though cancelled") })
	q.Add(2, func() { q.Cancel(victim) })
	q.Sweep(10)
	require.Equal(t, 1, calls)
	q.Sweep(10)
	require.Equal(t, 2, calls)
}
