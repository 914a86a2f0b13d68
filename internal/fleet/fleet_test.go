package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protowire"
	"pgregory.net/rapid"
)

const second = time.Second

func drawRecord(t *rapid.T) Record {
	text := rapid.StringMatching(`[!-~]{0,64}`)
	return Record{Name: rapid.StringMatching(`n[0-3]`).Draw(t, "name"), Run: rapid.Uint64Range(1, 3).Draw(t, "run"),
		Incarnation: rapid.Uint64Range(0, 3).Draw(t, "inc"), Supersedes: rapid.Uint64().Draw(t, "over"), Seq: rapid.Uint64Range(1, 5).Draw(t, "seq"),
		Up: time.Duration(rapid.Int64Range(0, 1e9).Draw(t, "up")) * time.Millisecond, Addr: text.Draw(t, "addr"), Zone: text.Draw(t, "zone"),
		Version: text.Draw(t, "version"), Config: rapid.Uint64().Draw(t, "config"), State: State(rapid.IntRange(0, 9).Draw(t, "state")),
		Load: Load{Capacity: 5.5, Busy: -1, InFlight: rapid.IntRange(0, 1e6).Draw(t, "hand"), ShedRatio: 0.25,
			Demand: string(rapid.SliceOfN(rapid.Byte(), 0, MaxDemand).Draw(t, "offer")), Threshold: 23.5, StoreState: 2, StoreID: 1 << 31, ProbeRound: 77,
			Aggregate: string(rapid.SliceOfN(rapid.Byte(), 0, MaxAggregate).Draw(t, "sum"))}}
}

// What two members have heard must come to the same, whatever the order and however often words come.
func TestMergeIsCommutativeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(drawRecord), 1, 20).Draw(t, "words")
		newest := map[string]Record{} // the plain reference
		for _, record := range records {
			if previous, ok := newest[record.Name]; !ok || previous.Less(&record) {
				newest[record.Name] = record
			}
		}
		for range 3 {
			view := NewView("me", Limits{Members: 10, ForgetAfter: time.Hour})
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

// A word must come over whole, with what a newer version has added to it.
func TestUpdatesKeepUnknownFields(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		record := drawRecord(t)
		b := AppendUpdate(nil, &record, 1500*time.Millisecond)
		b = protowire.AppendString(protowire.AppendTag(b, 99, protowire.BytesType), "of a newer version")
		got, age, err := ParseUpdate(b)
		require.NoError(t, err)
		require.Equal(t, 1500*time.Millisecond, age)
		require.Equal(t, b, AppendUpdate(nil, &got, age))
		got.unknown = ""
		require.Equal(t, record, got)
	})
}

// Noise, cut words and such that are too long must be turned down, and never cost more than their bound.
func FuzzParseUpdate(f *testing.F) {
	record := Record{Name: "n1", Run: 7, Seq: 1, State: Serving}
	good := AppendUpdate(nil, &record, second)
	f.Add(good)
	f.Add(good[:len(good)-1])
	f.Add(append(good, make([]byte, MaxRecord)...))
	f.Add(protowire.AppendBytes(protowire.AppendTag(good, 99, protowire.BytesType), make([]byte, MaxUnknown)))
	f.Fuzz(func(t *testing.T, b []byte) {
		record, age, err := ParseUpdate(b)
		if err != nil {
			return
		}
		again, _, err := ParseUpdate(AppendUpdate(nil, &record, age))
		require.NoError(t, err)
		require.Equal(t, record, again)
	})
}

func TestMalformedUpdatesAreRejected(t *testing.T) {
	record := Record{Name: "n1", Run: 7, Seq: 1, State: Serving}
	good := AppendUpdate(nil, &record, second)
	for name, b := range map[string][]byte{
		"empty": nil, "cut": good[:len(good)-1], "kind": append([]byte{9}, good[1:]...),
		"long":            append(good, make([]byte, MaxRecord)...),
		"unknown grows":   protowire.AppendBytes(protowire.AppendTag(append([]byte{}, good...), 99, protowire.BytesType), make([]byte, MaxUnknown)),
		"name of control": AppendUpdate(nil, &Record{Name: "a\nb", Run: 7}, second),
		"no name":         AppendUpdate(nil, &Record{Run: 7}, second),
		"name too long":   AppendUpdate(nil, &Record{Name: string(make([]byte, MaxText+1)), Run: 7}, second),
	} {
		_, _, err := ParseUpdate(b)
		require.Error(t, err, name)
	}
}

// Ages must not be made younger by a word that was held up, nor older by a clock that drifts.
func TestAges(t *testing.T) {
	view := NewView("me", Limits{Members: 10, ForgetAfter: time.Hour})
	merge := func(now, age time.Duration, seq uint64, up time.Duration) {
		view.Merge(now, age, Record{Name: "n1", Run: 1, Seq: seq, Up: up})
	}
	age := func(now time.Duration) time.Duration { return view.Snapshot(now).Find("n1").Age(now) }
	merge(100*second, 0, 1, 10*second)
	require.Equal(t, 5*second, age(105*second))
	merge(108*second, 0, 2, 12*second) // held up by 6 s on the way: nobody counted that, but the member's own clock tells
	require.InDelta(t, 6*second, age(108*second), float64(20*time.Millisecond))
	merge(109*second, 0, 2, 12*second) // the same again by another way is not younger
	require.InDelta(t, 7*second, age(109*second), float64(20*time.Millisecond))
	for i := range 100 { // a member whose clock is slow by one part in 5000, for 100 hours
		now := 200*second + time.Duration(i)*time.Hour
		merge(now, 0, uint64(10+i), 110*second+time.Duration(float64(i)*float64(time.Hour)*(1-1.0/5000)))
		require.Less(t, age(now), second)
	}
}

// What a cut, a death, a stop and a wedged loop look like must not be taken for one another.
func TestLiveness(t *testing.T) {
	for name, testCase := range map[string]struct {
		reach    Reach
		evidence Evidence
		rec      Record
		want     string
	}{
		"well":            {Reached, NoEvidence, Record{State: Serving}, "serving"},
		"cold":            {Reached, NoEvidence, Record{State: Warming}, "warming"},
		"wedged loop":     {Reached, NoEvidence, Record{State: Serving, Stalled: 4 * second}, "wedged"},
		"stopped":         {Lost, ConnectionAccepted, Record{State: Serving}, "wedged"},
		"killed":          {Lost, ConnectionRefused, Record{State: Serving}, "dead"},
		"cut":             {Lost, Unanswered, Record{State: Serving}, "cut off"},
		"lost, not tried": {Lost, NoEvidence, Record{State: Serving}, "cut off"},
		"good-bye":        {Lost, ConnectionRefused, Record{State: Stopped}, "left"},
		"only spoken of":  {NeverMet, NoEvidence, Record{State: Serving}, "heard of"},
		"newer state":     {Reached, NoEvidence, Record{State: 77}, "state(77)"},
	} {
		view := NewView("me", Limits{Members: 10, ForgetAfter: time.Hour})
		testCase.rec.Name, testCase.rec.Run, testCase.rec.Seq = "n1", 1, 1
		view.Merge(0, 0, testCase.rec)
		if testCase.reach != NeverMet {
			view.ObserveReach(0, "n1", 1, testCase.reach)
		}
		view.RecordEvidence("n1", 1, testCase.evidence)
		require.Equal(t, testCase.want, view.Snapshot(second).Find("n1").Condition(), name)
	}
	view := NewView("me", Limits{Members: 10, ForgetAfter: time.Hour})
	view.Merge(0, 0, Record{Name: "n1", Run: 1, Seq: 1, State: Serving})
	view.ObserveReach(0, "n1", 1, Reached)
	require.Equal(t, "suspect", view.Snapshot(time.Minute).Find("n1").Condition(), "its word is overdue")
	view.ObserveReach(0, "n1", 1, Lost)
	view.ObserveReach(0, "n1", 2, Reached)
	require.Equal(t, "suspect", view.Snapshot(second).Find("n1").Condition(), "its next process has said nothing yet")
}

// 'I am cut off', 'half of a zone is silent' and 'these are dead' lead to different deeds.
func TestPositions(t *testing.T) {
	for name, testCase := range map[string]struct {
		silent, dead, departed int // of nine others; n0, n3 and n6 are in the first zone
		want                   Position
		dark                   int
	}{
		"all well": {0, 0, 0, FullyConnected, 0}, "one cut": {1, 0, 0, PartiallyConnected, 0}, "most dead": {0, 8, 0, PartiallyConnected, 0},
		"half cut": {5, 0, 0, Partitioned, 2}, "a third dead, two cut": {2, 3, 0, PartiallyConnected, 0}, "all left": {0, 0, 9, FullyConnected, 0},
		"two left, four cut": {4, 0, 2, Partitioned, 3},
	} {
		view := NewView("me", Limits{Members: 20, ForgetAfter: time.Hour})
		view.Merge(0, 0, Record{Name: "me", Run: 1, Seq: 1, Zone: "z0", State: Serving})
		for i := range 9 {
			record := Record{Name: fmt.Sprintf("n%d", i), Run: 1, Seq: 1, Zone: fmt.Sprintf("z%d", i%3), State: Serving}
			if i >= 9-testCase.departed {
				record.State = Stopped
			}
			view.Merge(0, 0, record)
			view.ObserveReach(0, record.Name, 1, Reached)
			if i < testCase.silent+testCase.dead {
				view.ObserveReach(second, record.Name, 1, Lost)
			}
			if i >= testCase.silent && i < testCase.silent+testCase.dead {
				view.RecordEvidence(record.Name, 1, ConnectionRefused)
			}
		}
		snapshot := view.Snapshot(2 * second)
		unreachable := 0
		for i := range snapshot.Zones {
			if snapshot.Zones[i].Unreachable() {
				unreachable++
			}
		}
		require.Equal(t, testCase.want, snapshot.Position, name)
		require.Equal(t, testCase.dark, unreachable, name)
	}
	require.Equal(t, Alone, NewView("me", Limits{Members: 2}).Snapshot(0).Position)
}

// Names without end must not push out members, nor take memory; who has gone makes room.
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
	require.NotZero(t, view.Dropped())
	require.LessOrEqual(t, len(view.entries["n0"].observations), maxObservations)
	view.Merge(second, 0, Record{Name: "n1", Run: 9, Incarnation: 1, Seq: 2, State: Stopped})
	require.True(t, view.Merge(second, 0, Record{Name: "new", Run: 1, Seq: 1}))
	require.Nil(t, view.entries["n1"])
	view.Forget(time.Hour)
	require.Zero(t, view.Size(), "who was not reached for long is forgotten")
}

// A process that starts after its clock was set back must still overtake its predecessor; of two that live under one
// name the later one must yield, and one that is being replaced must not fight its successor.
func TestNameConflicts(t *testing.T) {
	start := func(run, inc uint64) *Self { return NewSelf(0, Place{Name: "n1", Run: run}, 0, inc) }
	old := start(1, 500).Record()
	next := start(2, 100)
	require.True(t, next.Receive(second, &old))
	raised := next.NextRecord(second)
	require.True(t, old.Less(&raised))
	require.False(t, next.Receive(second, &old), "once is enough: a dead process does not answer")
	for range 10 {
		next.Receive(time.Hour, &old)
	}
	require.False(t, next.NameReleased())

	a, b, now := start(1, 100), start(2, 100), time.Duration(0)
	for ; now < 10*second; now += second / 2 {
		recordA, recordB := a.NextRecord(now), b.NextRecord(now)
		a.Receive(now, &recordB)
		b.Receive(now, &recordA)
	}
	require.True(t, b.NameReleased())
	require.False(t, a.NameReleased())

	a, b = start(1, 100), start(2, 100)
	a.LoopStatus(0, Status{State: Serving, Replaced: true})
	for now = 0; now < 10*second; now += second / 2 {
		recordA, recordB := a.NextRecord(now), b.NextRecord(now)
		a.Receive(now, &recordB)
		b.Receive(now, &recordA)
	}
	require.False(t, b.NameReleased())
}

// A loop that stands still must be told of, and nothing that it said before may pass for news.
func TestStalledLoop(t *testing.T) {
	self := NewSelf(0, Place{Name: "n1", Run: 1}, 0, 1)
	self.LoopStatus(second, Status{State: Serving})
	require.Zero(t, self.NextRecord(second).Stalled)
	require.False(t, self.PublishDue(3*second/2, 5))
	require.True(t, self.PublishDue(2*second, 5))
	self.NextRecord(2 * second)
	require.True(t, self.PublishDue(5*second, 5))
	record := self.NextRecord(5 * second)
	require.Equal(t, 4*second, record.Stalled)
	require.Equal(t, second, record.Up, "the word is as old as the loop's")
	require.False(t, self.PublishDue(5*second+second/2, 5))
	require.True(t, self.PublishDue(6*second, 5), "it is told again: any one word may miss a member")
	require.Positive(t, self.NextRecord(6*second).Stalled)
	require.True(t, self.LoopStatus(time.Hour, Status{State: Serving}), "and so is its end")
	require.Zero(t, self.NextRecord(time.Hour).Stalled)
}

// Everybody calls who was lost, but not all at once, not without end, and not those that left.
func TestRejoin(t *testing.T) {
	view := NewView("me", Limits{Members: 100, ForgetAfter: time.Hour})
	view.Merge(0, 0, Record{Name: "me", Run: 1, Seq: 1})
	for i, state := range []State{Serving, Serving, Serving, Stopped} {
		record := Record{Name: fmt.Sprintf("n%d", i), Run: 1, Seq: 1, State: state, Addr: fmt.Sprintf("a%d", i)}
		view.Merge(0, 0, record)
		view.ObserveReach(0, record.Name, 1, Lost)
	}
	rejoin := NewRejoin([]string{"seed"}, rand.New(rand.NewPCG(1, 1)))
	called, last := map[string]int{}, map[string]time.Duration{}
	for now := time.Duration(0); now < time.Hour; now += second / 4 {
		next := rejoin.NextDials(now, view.Snapshot(now))
		require.LessOrEqual(t, len(next), maxDialsAtOnce)
		for _, addr := range next {
			called[addr]++
			require.LessOrEqual(t, now-last[addr], 3*maxDialDelay)
			last[addr] = now
		}
	}
	require.Len(t, called, 4)
	require.NotZero(t, called["seed"])
	require.Zero(t, called["a3"])
	for addr, n := range called {
		require.InDelta(t, 100, n, 60, addr)
	}
}

// newTestFleet fills a view with n members that were all reached.
func newTestFleet(n int) (*View, []Record) {
	view := NewView("n0", Limits{Members: n, ForgetAfter: time.Hour})
	records := make([]Record, n)
	for i := range records {
		records[i] = Record{Name: fmt.Sprintf("n%d", i), Run: 1, Incarnation: 1, Seq: 1, Addr: fmt.Sprintf("10.0.%d.%d:7946", i>>8, i&255),
			Region: "belgium", Zone: fmt.Sprintf("z%d", i%3), Version: "1", State: Serving, Load: Load{Capacity: 6, Busy: 0.5}}
		view.Merge(0, 0, records[i])
		view.ObserveReach(0, records[i].Name, 1, Reached)
	}
	return view, records
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

func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{10, 100, 300, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			view, _ := newTestFleet(n)
			last := view.Snapshot(0)
			b.ReportAllocs()
			for range b.N {
				next := view.Snapshot(second)
				next.Changes(last)
				last = next
			}
		})
	}
}

func BenchmarkUpdate(b *testing.B) {
	_, records := newTestFleet(1)
	b.ReportAllocs()
	for range b.N {
		if _, _, err := ParseUpdate(AppendUpdate(nil, &records[0], second)); err != nil {
			b.Fatal(err)
		}
	}
}

// How a zone that is cut off looks from the other side.
func ExampleSnapshot() {
	view, records := newTestFleet(9)
	for _, record := range records {
		if record.Zone == "z2" {
			view.ObserveReach(40*second, record.Name, record.Run, Lost) // half a minute without an answer, to anybody
			view.RecordEvidence(record.Name, record.Run, Unanswered)
		} else {
			record.Seq, record.Up = 2, 40*second
			view.Merge(40*second, 0, record)
		}
	}
	now := 41 * second
	snap := view.Snapshot(now)
	fmt.Println("position:", snap.Position)
	for _, zone := range snap.Zones {
		fmt.Println(zone.Zone, "reached", zone.Reached(), "of", zone.Known, "dark:", zone.Unreachable())
	}
	n2 := snap.Find("n2")
	fmt.Println(n2.Name, n2.Condition(), "told", n2.State, n2.Age(now), "ago")
	fmt.Printf("fresh: %.0f cores at %d members\n", snap.Aggregate(now, Fresh(9)).Capacity, snap.Aggregate(now, Fresh(9)).Members)
	// Output:
	// position: torn
	// z0 reached 3 of 3 dark: false
	// z1 reached 3 of 3 dark: false
	// z2 reached 0 of 3 dark: true
	// n2 cut off told serving 41s ago
	// fresh: 36 cores at 6 members
}
