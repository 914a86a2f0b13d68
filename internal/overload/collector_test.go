package overload

import (
	"testing"
	"time"

	"falldeal/internal/fleet"

	"github.com/stretchr/testify/require"
)

// A collector that kept the load of a lost member would overstate the zone for good. It must drop a partial aggregate that
// is older than partialMaxAge, and publish the mean age of those that it counts.
func TestCollectorDropsOldPartials(t *testing.T) {
	view := viewOf(minMembersForCollectors, time.Second, func(int) fleet.Load { return fleet.Load{} })
	self := NewCollector(processOf(&view.Members[0])).zoneCollectors(view)[0]
	for _, test := range []struct {
		age     time.Duration
		members int
		meanAge time.Duration
	}{
		{partialMaxAge, 2, partialMaxAge / 2},
		{partialMaxAge + 1, 1, 0},
	} {
		collector := NewCollector(self)
		collector.Receive(0, PartialAggregate{From: ProcessID{"other", 1}, Aggregate: Aggregate{Members: 1}})
		collector.Tick(test.age, Aggregate{Members: 1}, view)
		published, err := ParseAggregate([]byte(collector.Published()))
		require.NoError(t, err)
		require.Equal(t, test.members, published.Members)
		require.Equal(t, test.meanAge, published.OldestAge)
	}
}
