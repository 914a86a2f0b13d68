package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func newTestSelf(run, incarnation uint64) *Self {
	return NewSelf(0, ProcessInfo{Name: "n1", Run: run}, 0, incarnation)
}

// exchangeRecords lets two processes of the same name receive each other's records for ten seconds.
func exchangeRecords(earlier, later *Self) {
	for now := time.Duration(0); now < 10*time.Second; now += time.Second / 2 {
		earlierRecord, laterRecord := earlier.NextRecord(now), later.NextRecord(now)
		earlier.Receive(now, &laterRecord)
		later.Receive(now, &earlierRecord)
	}
}

// A process that starts after its clock was set back must still supersede its predecessor. Of two running processes with
// the same name the later one must release it. A process that is being replaced must not conflict with its successor.
func TestNameConflicts(t *testing.T) {
	t.Run("predecessor with a higher incarnation", func(t *testing.T) {
		predecessor := newTestSelf(1, 500).Record()
		successor := newTestSelf(2, 100)
		require.True(t, successor.Receive(time.Second, &predecessor))
		raised := successor.NextRecord(time.Second)
		require.True(t, predecessor.Less(&raised))
		require.False(t, successor.Receive(time.Second, &predecessor), "the raised incarnation already supersedes the predecessor")
		for range 10 {
			successor.Receive(time.Hour, &predecessor)
		}
		require.False(t, successor.NameReleased())
	})
	t.Run("two running processes", func(t *testing.T) {
		earlier, later := newTestSelf(1, 100), newTestSelf(2, 100)
		exchangeRecords(earlier, later)
		require.True(t, later.NameReleased())
		require.False(t, earlier.NameReleased())
	})
	t.Run("process being replaced", func(t *testing.T) {
		replaced, successor := newTestSelf(1, 100), newTestSelf(2, 100)
		replaced.SetStatus(0, Status{State: Serving, Replaced: true})
		exchangeRecords(replaced, successor)
		require.False(t, successor.NameReleased())
	})
}
