package gossip

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// In a large fleet the load of some member changes at every tick. Changes in load alone must wait the longer the larger the
// fleet is, while all other changes must be published at the next tick.
func TestSnapshotDelayGrowsWithFleetForLoadAlone(t *testing.T) {
	for name, testCase := range map[string]struct {
		unpublished unpublishedChanges
		members     int
		want        time.Duration // the first tick at which a snapshot is due
	}{
		"change":                       {unpublishedChanges{changed: true}, 1000, tickInterval},
		"load in a small fleet":        {unpublishedChanges{}, 10, tickInterval},
		"load in a large fleet":        {unpublishedChanges{}, 640, 11 * tickInterval},
		"aggregate in a large fleet":   {unpublishedChanges{aggregate: true}, 640, maxAggregateDelay},
		"aggregate in a smaller fleet": {unpublishedChanges{aggregate: true}, 64, 2 * tickInterval},
	} {
		t.Run(name, func(t *testing.T) {
			now := tickInterval
			for !testCase.unpublished.shouldPublish(now, testCase.members) {
				now += tickInterval
			}
			require.Equal(t, testCase.want, now)
		})
	}
}
