package overload

import (
	"testing"
	"time"

	"falldeal/internal/fleet"

	"github.com/stretchr/testify/require"
)

// Members that did not adopt later rounds would probe at the same time. A published round from maxRound on must be ignored,
// as a member may misreport it. If the selected member is lost, the round must time out.
func TestProbeRoundAdoptsLaterRoundsAndTimesOut(t *testing.T) {
	const own, published = 5, 7
	for _, test := range []struct {
		name      string
		published uint64
		elapsed   time.Duration
		want      uint64
	}{
		{"earlier", own - 1, 0, own},
		{"later", published, 0, published},
		{"the last in range", maxRound - 1, 0, maxRound - 1},
		{"out of range", maxRound, 0, own},
		{"not timed out", 0, roundTimeout, own},
		{"timed out", 0, roundTimeout + 1, own + 1},
	} {
		round := probeRound{number: own}
		member := fleet.Member{Record: &fleet.Record{Load: fleet.Load{ProbeRound: test.published}}}
		round.update(test.elapsed, []*fleet.Member{&member})
		require.Equal(t, test.want, round.number, test.name)
	}
}
