package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// While the loop stalls, other members must learn of it and must not take its last report for current. The stall must be
// published every interval, as a single update does not reach every member, and its end at once.
func TestStalledLoopIsPublished(t *testing.T) {
	self := NewSelf(0, ProcessInfo{Name: "n1", Run: 1}, 0, 1)
	self.SetStatus(time.Second, Status{State: Serving})
	require.Zero(t, self.NextRecord(time.Second).Stalled)
	require.False(t, self.ShouldPublish(3*time.Second/2, 5))
	require.True(t, self.ShouldPublish(2*time.Second, 5))
	self.NextRecord(2 * time.Second)
	require.True(t, self.ShouldPublish(5*time.Second, 5))
	record := self.NextRecord(5 * time.Second)
	require.Equal(t, 4*time.Second, record.Stalled)
	require.Equal(t, time.Second, record.Up, "the record is as old as the loop's report")
	require.False(t, self.ShouldPublish(5*time.Second+time.Second/2, 5))
	require.True(t, self.ShouldPublish(6*time.Second, 5), "the stall is published again: a single update may not reach every member")
	require.Positive(t, self.NextRecord(6*time.Second).Stalled)
	require.True(t, self.SetStatus(time.Hour, Status{State: Serving}), "the end of the stall is urgent")
	require.Zero(t, self.NextRecord(time.Hour).Stalled)
}
