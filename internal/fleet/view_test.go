package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// newTestView returns the empty view of a member called me, with room for that many members.
func newTestView(members int) *View {
	return NewView("me", Limits{Members: members, ForgetAfter: time.Hour})
}

// newTestFleet returns a view of n members that are all reached, and their records.
func newTestFleet(n int) (*View, []Record) {
	view := NewView("n0", Limits{Members: n, ForgetAfter: time.Hour})
	records := make([]Record, n)
	for i := range records {
		records[i] = Record{
			Name: fmt.Sprintf("n%d", i), Run: 1, Incarnation: 1, Seq: 1,
			Addr: fmt.Sprintf("10.0.%d.%d:7946", i>>8, i&255), Region: "belgium", Zone: fmt.Sprintf("z%d", i%3),
			Version: "1", State: Serving, Load: Load{Capacity: 6, Utilization: 0.5},
		}
		view.Merge(0, 0, records[i])
		view.ObserveReach(0, records[i].Name, 1, Reached)
	}
	return view, records
}

// Members that receive the same updates must end up with the same records, in whatever order and however often the updates
// arrive.
func TestMergeIsCommutativeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(drawRecord), 1, 20).Draw(t, "records")
		newest := map[string]Record{} // reference result
		for _, record := range records {
			if previous, ok := newest[record.Name]; !ok || previous.Less(&record) {
				newest[record.Name] = record
			}
		}
		for range 3 {
			view := newTestView(10)
			order := append(append([]Record{}, records...), records...)
			rand.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
			for i, record := range order {
				view.Merge(time.Duration(i)*time.Millisecond, 0, record)
			}
			require.Equal(t, len(newest), view.Size())
			for name, want := range newest {
				got := *view.entries[name].record
				require.False(t, got.Less(&want) || want.Less(&got), "%s: %+v, want %+v", name, got, want)
			}
		}
	})
}

// The time in transit of an update is not part of its age. A delayed update must not make a record look younger, and the
// drift of a member's clock must not make its records look older and older.
func TestAgeAllowsForTransitAndClockDrift(t *testing.T) {
	view := newTestView(10)
	merge := func(now time.Duration, seq uint64, up time.Duration) {
		view.Merge(now, 0, Record{Name: "n1", Run: 1, Seq: seq, Up: up})
	}
	age := func(now time.Duration) time.Duration { return view.Snapshot(now).Find("n1").Age(now) }
	merge(100*time.Second, 1, 10*time.Second)
	require.Equal(t, 5*time.Second, age(105*time.Second))
	merge(108*time.Second, 2, 12*time.Second) // 6 s in transit, as the member's uptime shows
	require.InDelta(t, 6*time.Second, age(108*time.Second), float64(20*time.Millisecond))
	merge(109*time.Second, 2, 12*time.Second) // the same update by another path must not look younger
	require.InDelta(t, 7*time.Second, age(109*time.Second), float64(20*time.Millisecond))
	for i := range 100 { // a member whose clock is slow by one part in 5000, for 100 hours
		now := 200*time.Second + time.Duration(i)*time.Hour
		merge(now, uint64(10+i), 110*time.Second+time.Duration(float64(i)*float64(time.Hour)*(1-1.0/5000)))
		require.Less(t, age(now), time.Second)
	}
}

// A partition, a failed process, a suspended process and a stalled loop call for different actions and must be distinguished.
func TestLivenessDistinguishesCauses(t *testing.T) {
	for name, testCase := range map[string]struct {
		reach   Reach
		outcome DialOutcome
		record  Record
		want    string
	}{
		"serving":               {Reached, OutcomeUnknown, Record{State: Serving}, "serving"},
		"warming up":            {Reached, OutcomeUnknown, Record{State: Warming}, "warming"},
		"loop stalls":           {Reached, OutcomeUnknown, Record{State: Serving, Stalled: 4 * time.Second}, "stalled"},
		"process suspended":     {Lost, ConnectionAccepted, Record{State: Serving}, "stalled"},
		"process killed":        {Lost, ConnectionRefused, Record{State: Serving}, "failed"},
		"partitioned":           {Lost, NoResponse, Record{State: Serving}, "unreachable"},
		"lost, not dialed":      {Lost, OutcomeUnknown, Record{State: Serving}, "unreachable"},
		"left":                  {Lost, ConnectionRefused, Record{State: Stopped}, "left"},
		"known by records only": {NeverReached, OutcomeUnknown, Record{State: Serving}, "unconfirmed"},
		"newer state":           {Reached, OutcomeUnknown, Record{State: 77}, "state(77)"},
	} {
		t.Run(name, func(t *testing.T) {
			view := newTestView(10)
			testCase.record.Name, testCase.record.Run, testCase.record.Seq = "n1", 1, 1
			view.Merge(0, 0, testCase.record)
			if testCase.reach != NeverReached {
				view.ObserveReach(0, "n1", 1, testCase.reach)
			}
			view.RecordDialOutcome("n1", 1, testCase.outcome)
			require.Equal(t, testCase.want, view.Snapshot(time.Second).Find("n1").Condition())
		})
	}
}

// A member that is reached, but whose current process has not published in time, must not count as alive: its state is
// unknown.
func TestLivenessWhenRecordsAreOverdue(t *testing.T) {
	view := newTestView(10)
	view.Merge(0, 0, Record{Name: "n1", Run: 1, Seq: 1, State: Serving})
	view.ObserveReach(0, "n1", 1, Reached)
	require.Equal(t, "suspect", view.Snapshot(time.Minute).Find("n1").Condition(), "its record is overdue")
	view.ObserveReach(0, "n1", 1, Lost)
	view.ObserveReach(0, "n1", 2, Reached)
	condition := view.Snapshot(time.Second).Find("n1").Condition()
	require.Equal(t, "suspect", condition, "its next process has not published yet")
}

// A flood of new names must neither displace members nor use unbounded memory. A member that has left makes room for a new
// one.
func TestViewIsBounded(t *testing.T) {
	view := NewView("me", Limits{Members: 4, ForgetAfter: time.Minute})
	for i := range 100 {
		name := fmt.Sprintf("n%d", i)
		view.Merge(0, 0, Record{Name: name, Run: 1, Seq: 1, State: Serving})
		view.ObserveReach(0, name, 1, Reached)
		for run := range uint64(50) {
			view.ObserveReach(0, name, run, Lost)
		}
	}
	require.Equal(t, 4, view.Size())
	require.NotZero(t, view.RejectedNames())
	require.LessOrEqual(t, len(view.entries["n0"].observations), maxObservations)
	view.Merge(time.Second, 0, Record{Name: "n1", Run: 9, Incarnation: 1, Seq: 2, State: Stopped})
	require.True(t, view.Merge(time.Second, 0, Record{Name: "new", Run: 1, Seq: 1}))
	require.Nil(t, view.entries["n1"])
	view.RemoveExpired(time.Hour)
	require.Zero(t, view.Size(), "members that were not reached within ForgetAfter are removed")
}

func BenchmarkMerge(b *testing.B) {
	for _, n := range []int{10, 100, 300, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			view, records := newTestFleet(n)
			b.ReportAllocs()
			for i := range b.N {
				record := records[i%n]
				record.Seq = uint64(i + 2)
				view.Merge(time.Duration(i), 0, record)
			}
		})
	}
}
