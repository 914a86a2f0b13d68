package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// positionCase describes a fleet of nine other members in three zones; n0, n3 and n6 are in the first one.
type positionCase struct {
	unreachable, failed, departed int
	want                          Position
	unreachableZones              int
}

// view returns the view of such a fleet. The unreachable members are the first, followed by the failed ones; those that
// left are the last.
func (c positionCase) view() *View {
	view := newTestView(20)
	view.Merge(0, 0, Record{Name: "me", Run: 1, Seq: 1, Zone: "z0", State: Serving})
	for i := range 9 {
		record := Record{Name: fmt.Sprintf("n%d", i), Run: 1, Seq: 1, Zone: fmt.Sprintf("z%d", i%3), State: Serving}
		if i >= 9-c.departed {
			record.State = Stopped
		}
		view.Merge(0, 0, record)
		view.ObserveReach(0, record.Name, 1, Reached)
		if i < c.unreachable+c.failed {
			view.ObserveReach(time.Second, record.Name, 1, Lost)
		}
		if i >= c.unreachable && i < c.unreachable+c.failed {
			view.RecordDialOutcome(record.Name, 1, ConnectionRefused)
		}
	}
	return view
}

// A partition of the observer, a partition of a zone and failures of single members call for different actions and must be
// distinguished.
func TestPositionDistinguishesPartitionsFromFailures(t *testing.T) {
	for name, testCase := range map[string]positionCase{
		"all reached":                    {0, 0, 0, FullyConnected, 0},
		"one unreachable":                {1, 0, 0, PartiallyConnected, 0},
		"most failed":                    {0, 8, 0, PartiallyConnected, 0},
		"half unreachable":               {5, 0, 0, Partitioned, 2},
		"a third failed two unreachable": {2, 3, 0, PartiallyConnected, 0},
		"all left":                       {0, 0, 9, FullyConnected, 0},
		"two left four unreachable":      {4, 0, 2, Partitioned, 3},
	} {
		t.Run(name, func(t *testing.T) {
			snapshot := testCase.view().Snapshot(2 * time.Second)
			unreachableZones := 0
			for i := range snapshot.Zones {
				if snapshot.Zones[i].MostlyUnreachable() {
					unreachableZones++
				}
			}
			require.Equal(t, testCase.want, snapshot.Position)
			require.Equal(t, testCase.unreachableZones, unreachableZones)
		})
	}
	require.Equal(t, Alone, NewView("me", Limits{Members: 2}).Snapshot(0).Position)
}

func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{10, 100, 300, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			view, _ := newTestFleet(n)
			last := view.Snapshot(0)
			b.ReportAllocs()
			for range b.N {
				next := view.Snapshot(time.Second)
				next.Changes(last)
				last = next
			}
		})
	}
}

// The example shows a partitioned zone as a member in another zone sees it.
func ExampleSnapshot() {
	view, records := newTestFleet(9)
	for _, record := range records {
		if record.Zone == "z2" {
			view.ObserveReach(40*time.Second, record.Name, record.Run, Lost) // no response
			view.RecordDialOutcome(record.Name, record.Run, NoResponse)
		} else {
			record.Seq, record.Up = 2, 40*time.Second
			view.Merge(40*time.Second, 0, record)
		}
	}
	now := 41 * time.Second
	snapshot := view.Snapshot(now)
	fmt.Println("position:", snapshot.Position)
	for _, zone := range snapshot.Zones {
		fmt.Println(zone.Zone, "reached", zone.Reached(), "of", zone.Known, "unreachable:", zone.MostlyUnreachable())
	}
	n2 := snapshot.Find("n2")
	fmt.Println(n2.Name, n2.Condition(), "reported", n2.State, n2.Age(now), "ago")
	fresh := snapshot.Aggregate(now, MaxFreshAge(9))
	fmt.Printf("fresh: %.0f cores at %d members\n", fresh.Capacity, fresh.Members)
	// Output:
	// position: partially connected
	// z0 reached 3 of 3 unreachable: false
	// z1 reached 3 of 3 unreachable: false
	// z2 reached 0 of 3 unreachable: true
	// n2 unreachable reported serving 41s ago
	// fresh: 36 cores at 6 members
}
