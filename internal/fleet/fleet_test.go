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

const s = time.Second

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
func TestJoiningIsCommutativeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		words := rapid.SliceOfN(rapid.Custom(drawRecord), 1, 20).Draw(t, "words")
		newest := map[string]Record{} // the plain reference
		for _, r := range words {
			if was, ok := newest[r.Name]; !ok || was.Less(&r) {
				newest[r.Name] = r
			}
		}
		for range 3 {
			v := NewView("me", Limits{Members: 10, ForgetAfter: time.Hour})
			order := append(append([]Record{}, words...), words...)
			rand.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
			for i, r := range order {
				v.Merge(time.Duration(i)*time.Millisecond, 0, r)
			}
			require.Equal(t, len(newest), v.Size())
			for name, want := range newest {
				got := *v.entries[name].rec
				require.False(t, got.Less(&want) || want.Less(&got), "%s: %+v, want %+v", name, got, want)
			}
		}
	})
}

// A word must come over whole, with what a newer version has added to it.
func TestWordsTravelWithUnknownFields(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := drawRecord(t)
		b := AppendUpdate(nil, &r, 1500*time.Millisecond)
		b = protowire.AppendString(protowire.AppendTag(b, 99, protowire.BytesType), "of a newer version")
		got, age, err := ParseUpdate(b)
		require.NoError(t, err)
		require.Equal(t, 1500*time.Millisecond, age)
		require.Equal(t, b, AppendUpdate(nil, &got, age))
		got.unknown = ""
		require.Equal(t, r, got)
	})
}

// Noise, cut words and such that are too long must be turned down, and never cost more than their bound.
func FuzzParseWord(f *testing.F) {
	r := Record{Name: "n1", Run: 7, Seq: 1, State: Serving}
	good := AppendUpdate(nil, &r, s)
	f.Add(good)
	f.Add(good[:len(good)-1])
	f.Add(append(good, make([]byte, MaxRecord)...))
	f.Add(protowire.AppendBytes(protowire.AppendTag(good, 99, protowire.BytesType), make([]byte, MaxUnknown)))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, age, err := ParseUpdate(b)
		if err != nil {
			return
		}
		again, _, err := ParseUpdate(AppendUpdate(nil, &r, age))
		require.NoError(t, err)
		require.Equal(t, r, again)
	})
}

func TestSpoiltWordsAreTurnedDown(t *testing.T) {
	r := Record{Name: "n1", Run: 7, Seq: 1, State: Serving}
	good := AppendUpdate(nil, &r, s)
	for name, b := range map[string][]byte{
		"empty": nil, "cut": good[:len(good)-1], "kind": append([]byte{9}, good[1:]...),
		"long":            append(good, make([]byte, MaxRecord)...),
		"unknown grows":   protowire.AppendBytes(protowire.AppendTag(append([]byte{}, good...), 99, protowire.BytesType), make([]byte, MaxUnknown)),
		"name of control": AppendUpdate(nil, &Record{Name: "a\nb", Run: 7}, s),
		"no name":         AppendUpdate(nil, &Record{Run: 7}, s),
		"name too long":   AppendUpdate(nil, &Record{Name: string(make([]byte, MaxText+1)), Run: 7}, s),
	} {
		_, _, err := ParseUpdate(b)
		require.Error(t, err, name)
	}
}

// Ages must not be made younger by a word that was held up, nor older by a clock that drifts.
func TestAges(t *testing.T) {
	v := NewView("me", Limits{Members: 10, ForgetAfter: time.Hour})
	word := func(now, age time.Duration, seq uint64, up time.Duration) {
		v.Merge(now, age, Record{Name: "n1", Run: 1, Seq: seq, Up: up})
	}
	age := func(now time.Duration) time.Duration { return v.Snapshot(now).Find("n1").Age(now) }
	word(100*s, 0, 1, 10*s)
	require.Equal(t, 5*s, age(105*s))
	word(108*s, 0, 2, 12*s) // held up by 6 s on the way: nobody counted that, but the member's own clock tells
	require.InDelta(t, 6*s, age(108*s), float64(20*time.Millisecond))
	word(109*s, 0, 2, 12*s) // the same again by another way is not younger
	require.InDelta(t, 7*s, age(109*s), float64(20*time.Millisecond))
	for i := range 100 { // a member whose clock is slow by one part in 5000, for 100 hours
		now := 200*s + time.Duration(i)*time.Hour
		word(now, 0, uint64(10+i), 110*s+time.Duration(float64(i)*float64(time.Hour)*(1-1.0/5000)))
		require.Less(t, age(now), s)
	}
}

// What a cut, a death, a stop and a wedged loop look like must not be taken for one another.
func TestStandings(t *testing.T) {
	for name, c := range map[string]struct {
		reach    Reach
		evidence Evidence
		rec      Record
		want     string
	}{
		"well":            {Reached, NoEvidence, Record{State: Serving}, "serving"},
		"cold":            {Reached, NoEvidence, Record{State: Warming}, "warming"},
		"wedged loop":     {Reached, NoEvidence, Record{State: Serving, Stalled: 4 * s}, "wedged"},
		"stopped":         {Lost, ConnectionAccepted, Record{State: Serving}, "wedged"},
		"killed":          {Lost, ConnectionRefused, Record{State: Serving}, "dead"},
		"cut":             {Lost, Unanswered, Record{State: Serving}, "cut off"},
		"lost, not tried": {Lost, NoEvidence, Record{State: Serving}, "cut off"},
		"good-bye":        {Lost, ConnectionRefused, Record{State: Stopped}, "left"},
		"only spoken of":  {NeverMet, NoEvidence, Record{State: Serving}, "heard of"},
		"newer state":     {Reached, NoEvidence, Record{State: 77}, "state(77)"},
	} {
		v := NewView("me", Limits{Members: 10, ForgetAfter: time.Hour})
		c.rec.Name, c.rec.Run, c.rec.Seq = "n1", 1, 1
		v.Merge(0, 0, c.rec)
		if c.reach != NeverMet {
			v.ObserveReach(0, "n1", 1, c.reach)
		}
		v.RecordEvidence("n1", 1, c.evidence)
		require.Equal(t, c.want, v.Snapshot(s).Find("n1").Condition(), name)
	}
	v := NewView("me", Limits{Members: 10, ForgetAfter: time.Hour})
	v.Merge(0, 0, Record{Name: "n1", Run: 1, Seq: 1, State: Serving})
	v.ObserveReach(0, "n1", 1, Reached)
	require.Equal(t, "suspect", v.Snapshot(time.Minute).Find("n1").Condition(), "its word is overdue")
	v.ObserveReach(0, "n1", 1, Lost)
	v.ObserveReach(0, "n1", 2, Reached)
	require.Equal(t, "suspect", v.Snapshot(s).Find("n1").Condition(), "its next process has said nothing yet")
}

// 'I am cut off', 'half of a zone is silent' and 'these are dead' lead to different deeds.
func TestPositions(t *testing.T) {
	for name, c := range map[string]struct {
		silent, dead, departed int // of nine others; n0, n3 and n6 are in the first zone
		want                   Position
		dark                   int
	}{
		"all well": {0, 0, 0, FullyConnected, 0}, "one cut": {1, 0, 0, PartiallyConnected, 0}, "most dead": {0, 8, 0, PartiallyConnected, 0},
		"half cut": {5, 0, 0, Partitioned, 2}, "a third dead, two cut": {2, 3, 0, PartiallyConnected, 0}, "all left": {0, 0, 9, FullyConnected, 0},
		"two left, four cut": {4, 0, 2, Partitioned, 3},
	} {
		v := NewView("me", Limits{Members: 20, ForgetAfter: time.Hour})
		v.Merge(0, 0, Record{Name: "me", Run: 1, Seq: 1, Zone: "z0", State: Serving})
		for i := range 9 {
			r := Record{Name: fmt.Sprintf("n%d", i), Run: 1, Seq: 1, Zone: fmt.Sprintf("z%d", i%3), State: Serving}
			if i >= 9-c.departed {
				r.State = Stopped
			}
			v.Merge(0, 0, r)
			v.ObserveReach(0, r.Name, 1, Reached)
			if i < c.silent+c.dead {
				v.ObserveReach(s, r.Name, 1, Lost)
			}
			if i >= c.silent && i < c.silent+c.dead {
				v.RecordEvidence(r.Name, 1, ConnectionRefused)
			}
		}
		snap := v.Snapshot(2 * s)
		dark := 0
		for i := range snap.Zones {
			if snap.Zones[i].Unreachable() {
				dark++
			}
		}
		require.Equal(t, c.want, snap.Position, name)
		require.Equal(t, c.dark, dark, name)
	}
	require.Equal(t, Alone, NewView("me", Limits{Members: 2}).Snapshot(0).Position)
}

// Names without end must not push out members, nor take memory; who has gone makes room.
func TestViewIsBounded(t *testing.T) {
	v := NewView("me", Limits{Members: 4, ForgetAfter: time.Minute})
	for i := range 100 {
		name := fmt.Sprintf("n%d", i)
		v.Merge(0, 0, Record{Name: name, Run: 1, Seq: 1, State: Serving})
		v.ObserveReach(0, name, 1, Reached)
		for run := range uint64(50) {
			v.ObserveReach(0, name, run, Lost)
		}
	}
	require.Equal(t, 4, v.Size())
	require.NotZero(t, v.Dropped())
	require.LessOrEqual(t, len(v.entries["n0"].runs), mostRuns)
	v.Merge(s, 0, Record{Name: "n1", Run: 9, Incarnation: 1, Seq: 2, State: Stopped})
	require.True(t, v.Merge(s, 0, Record{Name: "new", Run: 1, Seq: 1}))
	require.Nil(t, v.entries["n1"])
	v.Forget(time.Hour)
	require.Zero(t, v.Size(), "who was not reached for long is forgotten")
}

// A process that starts after its clock was set back must still overtake its predecessor; of two that live under one
// name the later one must yield, and one that is being replaced must not fight its successor.
func TestNames(t *testing.T) {
	start := func(run, inc uint64) *Self { return NewSelf(0, Place{Name: "n1", Run: run}, 0, inc) }
	old := start(1, 500).Record()
	next := start(2, 100)
	require.True(t, next.Receive(s, &old))
	raised := next.NextRecord(s)
	require.True(t, old.Less(&raised))
	require.False(t, next.Receive(s, &old), "once is enough: a dead process does not answer")
	for range 10 {
		next.Receive(time.Hour, &old)
	}
	require.False(t, next.NameReleased())

	a, b, now := start(1, 100), start(2, 100), time.Duration(0)
	for ; now < 10*s; now += s / 2 {
		ra, rb := a.NextRecord(now), b.NextRecord(now)
		a.Receive(now, &rb)
		b.Receive(now, &ra)
	}
	require.True(t, b.NameReleased())
	require.False(t, a.NameReleased())

	a, b = start(1, 100), start(2, 100)
	a.LoopStatus(0, Status{State: Serving, Replaced: true})
	for now = 0; now < 10*s; now += s / 2 {
		ra, rb := a.NextRecord(now), b.NextRecord(now)
		a.Receive(now, &rb)
		b.Receive(now, &ra)
	}
	require.False(t, b.NameReleased())
}

// A loop that stands still must be told of, and nothing that it said before may pass for news.
func TestStalledLoop(t *testing.T) {
	f := NewSelf(0, Place{Name: "n1", Run: 1}, 0, 1)
	f.LoopStatus(s, Status{State: Serving})
	require.Zero(t, f.NextRecord(s).Stalled)
	require.False(t, f.PublishDue(3*s/2, 5))
	require.True(t, f.PublishDue(2*s, 5))
	f.NextRecord(2 * s)
	require.True(t, f.PublishDue(5*s, 5))
	r := f.NextRecord(5 * s)
	require.Equal(t, 4*s, r.Stalled)
	require.Equal(t, s, r.Up, "the word is as old as the loop's")
	require.False(t, f.PublishDue(5*s+s/2, 5))
	require.True(t, f.PublishDue(6*s, 5), "it is told again: any one word may miss a member")
	require.Positive(t, f.NextRecord(6*s).Stalled)
	require.True(t, f.LoopStatus(time.Hour, Status{State: Serving}), "and so is its end")
	require.Zero(t, f.NextRecord(time.Hour).Stalled)
}

// Everybody calls who was lost, but not all at once, not without end, and not those that left.
func TestRejoin(t *testing.T) {
	v := NewView("me", Limits{Members: 100, ForgetAfter: time.Hour})
	v.Merge(0, 0, Record{Name: "me", Run: 1, Seq: 1})
	for i, state := range []State{Serving, Serving, Serving, Stopped} {
		r := Record{Name: fmt.Sprintf("n%d", i), Run: 1, Seq: 1, State: state, Addr: fmt.Sprintf("a%d", i)}
		v.Merge(0, 0, r)
		v.ObserveReach(0, r.Name, 1, Lost)
	}
	rj := NewRejoin([]string{"seed"}, rand.New(rand.NewPCG(1, 1)))
	called, last := map[string]int{}, map[string]time.Duration{}
	for now := time.Duration(0); now < time.Hour; now += s / 4 {
		next := rj.Next(now, v.Snapshot(now))
		require.LessOrEqual(t, len(next), rejoinAt)
		for _, a := range next {
			called[a]++
			require.LessOrEqual(t, now-last[a], 3*rejoinMost)
			last[a] = now
		}
	}
	require.Len(t, called, 4)
	require.NotZero(t, called["seed"])
	require.Zero(t, called["a3"])
	for a, n := range called {
		require.InDelta(t, 100, n, 60, a)
	}
}

// fleetOf fills a view with n members that were all reached.
func fleetOf(n int) (*View, []Record) {
	v := NewView("n0", Limits{Members: n, ForgetAfter: time.Hour})
	words := make([]Record, n)
	for i := range words {
		words[i] = Record{Name: fmt.Sprintf("n%d", i), Run: 1, Incarnation: 1, Seq: 1, Addr: fmt.Sprintf("10.0.%d.%d:7946", i>>8, i&255),
			Region: "belgium", Zone: fmt.Sprintf("z%d", i%3), Version: "1", State: Serving, Load: Load{Capacity: 6, Busy: 0.5}}
		v.Merge(0, 0, words[i])
		v.ObserveReach(0, words[i].Name, 1, Reached)
	}
	return v, words
}

func BenchmarkJoin(b *testing.B) {
	for _, n := range []int{10, 100, 300, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v, words := fleetOf(n)
			b.ReportAllocs()
			for i := range b.N {
				r := words[i%n]
				r.Seq = uint64(i + 2)
				v.Merge(time.Duration(i), 0, r)
			}
		})
	}
}

func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{10, 100, 300, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v, _ := fleetOf(n)
			last := v.Snapshot(0)
			b.ReportAllocs()
			for range b.N {
				next := v.Snapshot(s)
				next.Changes(last)
				last = next
			}
		})
	}
}

func BenchmarkWord(b *testing.B) {
	_, words := fleetOf(1)
	b.ReportAllocs()
	for range b.N {
		if _, _, err := ParseUpdate(AppendUpdate(nil, &words[0], s)); err != nil {
			b.Fatal(err)
		}
	}
}

// How a zone that is cut off looks from the other side.
func ExampleSnapshot() {
	v, words := fleetOf(9)
	for _, r := range words {
		if r.Zone == "z2" {
			v.ObserveReach(40*s, r.Name, r.Run, Lost) // half a minute without an answer, to anybody
			v.RecordEvidence(r.Name, r.Run, Unanswered)
		} else {
			r.Seq, r.Up = 2, 40*s
			v.Merge(40*s, 0, r)
		}
	}
	now := 41 * s
	snap := v.Snapshot(now)
	fmt.Println("position:", snap.Position)
	for _, z := range snap.Zones {
		fmt.Println(z.Zone, "reached", z.Reached(), "of", z.Known, "dark:", z.Unreachable())
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
