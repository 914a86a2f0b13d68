package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Simulated schedules are replayed by their random seed. The same random seed must give the same dials although several
// addresses need their first dial at once and maps have no order.
func TestRejoinIsReproducible(t *testing.T) {
	view := newTestView(100)
	for i := range 40 {
		record := Record{Name: fmt.Sprintf("n%d", i), Run: 1, Seq: 1, State: Serving, Addr: fmt.Sprintf("a%d", i)}
		view.Merge(0, 0, record)
		reach := Lost
		if i%2 == 0 {
			reach = Reached
		}
		view.ObserveReach(0, record.Name, 1, reach)
	}
	run := func() (dials [][]string) {
		rejoin := NewRejoin([]string{"seed0", "seed1"}, rand.New(rand.NewPCG(1, 1)))
		for now := time.Duration(0); now < time.Minute; now += time.Second / 4 {
			dials = append(dials, rejoin.NextDials(now, view.Snapshot(now)))
		}
		return dials
	}
	first, second := run(), run()
	require.Equal(t, first, second)
}

// Lost members and seeds must be dialed again and again, or a partitioned fleet never merges; but not all in one round, and
// with delays that stay within bounds. Members that left must not be dialed.
func TestRejoinDialsLostMembersWithBackoff(t *testing.T) {
	view := newTestView(100)
	view.Merge(0, 0, Record{Name: "me", Run: 1, Seq: 1})
	for i, state := range []State{Serving, Serving, Serving, Stopped} {
		record := Record{Name: fmt.Sprintf("n%d", i), Run: 1, Seq: 1, State: state, Addr: fmt.Sprintf("a%d", i)}
		view.Merge(0, 0, record)
		view.ObserveReach(0, record.Name, 1, Lost)
	}
	rejoin := NewRejoin([]string{"seed"}, rand.New(rand.NewPCG(1, 1)))
	dials, lastDial := map[string]int{}, map[string]time.Duration{}
	for now := time.Duration(0); now < time.Hour; now += time.Second / 4 {
		next := rejoin.NextDials(now, view.Snapshot(now))
		require.LessOrEqual(t, len(next), maxDialsPerRound)
		for _, addr := range next {
			dials[addr]++
			require.LessOrEqual(t, now-lastDial[addr], 3*maxDialDelay)
			lastDial[addr] = now
		}
	}
	require.Len(t, dials, 4)
	require.NotZero(t, dials["seed"])
	require.Zero(t, dials["a3"])
	for addr, n := range dials {
		require.InDelta(t, 100, n, 60, addr) // after the first few, delays of 30 to 60 s: 60 to 120 dials in an hour
	}
}
