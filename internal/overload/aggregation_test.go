package overload

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"falldeal/internal/fleet"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// zonedFleet is a fleet of n members in three zones that tell of their load as seldom as its size asks for.
type zonedFleet struct {
	members    int
	collectors []*Collector
	loads      []fleet.Load
	view       *fleet.View
	dead       map[int]bool
	misreport  func(i int, l *fleet.Load)
}

func newZonedFleet(n int) *zonedFleet {
	x := &zonedFleet{members: n, view: fleet.NewView("n0", fleet.Limits{Members: n}), dead: map[int]bool{}}
	for i := range n {
		x.collectors = append(x.collectors, NewCollector(ProcessID{fmt.Sprint("n", i), uint64(i + 1)}))
		x.loads = append(x.loads, fleet.Load{Capacity: 4, ServiceRate: 4, Busy: 0.5, Attempts: 10, RetryRatio: 0.2, Demand: string([]byte{10, 60, 70})})
	}
	return x
}

// tick plays a second; one part in twenty is lost.
func (x *zonedFleet) tick(now time.Duration, r *rand.Rand) {
	for i := range x.collectors {
		if x.dead[i] {
			x.view.ObserveReach(now, fmt.Sprint("n", i), uint64(i+1), fleet.Lost)
			continue
		}
		l := x.loads[i]
		l.Aggregate = x.collectors[i].Published()
		if x.misreport != nil {
			x.misreport(i, &l)
		}
		rec := fleet.Record{Name: fmt.Sprint("n", i), Run: uint64(i + 1), Seq: uint64(now), Up: now, State: fleet.Serving, Zone: fmt.Sprint("z", i%3), Load: l}
		if l.Aggregate == "" && now > 2*time.Second && (int(now/time.Second)+i)%int(fleet.Period(x.members)/time.Second) != 0 {
			continue
		}
		x.view.Merge(now, 0, rec)
		x.view.ObserveReach(now, rec.Name, rec.Run, fleet.Reached)
	}
	s := x.view.Snapshot(now)
	for i, c := range x.collectors {
		if x.dead[i] {
			continue
		}
		own := AggregateOf(&x.loads[i])
		for _, to := range c.Tick(now, own, s) {
			p, ok := ParsePartial(AppendPartial(nil, PartialAggregate{c.self, own}))
			if ok && r.IntN(20) > 0 {
				x.collectors[to.Run-1].Receive(now, p)
			}
		}
	}
}

// In a fleet whose words are far apart all must know the sum of all within seconds, though parts are lost, collectors
// die and one of them tells what it likes; and where a zone has nobody to sum it up, that must be known as not known.
func TestZoneAggregates(t *testing.T) {
	const n = 150
	r := rand.New(rand.NewPCG(1, 2))
	x := newZonedFleet(n)
	now := time.Second
	play := func(seconds int) Aggregate {
		for range seconds {
			x.tick(now, r)
			now += time.Second
		}
		s, whole := AggregateView(x.view.Snapshot(now-time.Second), now-time.Second)
		require.True(t, whole)
		return s
	}
	exact := func(s Aggregate, live int, what string) {
		require.InEpsilon(t, float64(live), float64(s.Members), 0.03, what)
		require.InEpsilon(t, 4*float64(live), s.ServiceRate, 0.03, what)
		require.InEpsilon(t, float64(live)*encodedDemandTotal(x.loads[0].Demand), s.Demand.Total(), 0.05, what)
		require.InDelta(t, 0.5, s.Busy(), 0.01, what)
		require.InDelta(t, 0.2, s.Retries/s.Attempts, 0.01, what)
		require.LessOrEqual(t, s.Oldest, zoneAggregateMaxAge, what)
	}
	exact(play(8), n, "at rest")
	tellers := func() (all []int) {
		for i, c := range x.collectors {
			if c.Published() != "" && !x.dead[i] {
				all = append(all, i)
			}
		}
		return all
	}
	require.Len(t, tellers(), 3*collectorsPerZone)
	for _, i := range tellers() {
		x.dead[i] = true
	}
	exact(play(10), n-3*collectorsPerZone, "all collectors died")
	require.Len(t, tellers(), 3*collectorsPerZone)

	liar := tellers()[0]
	x.misreport = func(i int, l *fleet.Load) {
		if s, err := ParseAggregate([]byte(l.Aggregate)); err == nil && i == liar {
			for _, v := range s.floatFields() {
				*v = 1e30
			}
			s.Members, s.Demand[40] = maxPartials, 1e9
			l.Aggregate = string(AppendAggregate(nil, &s))
		}
	}
	s := play(3)
	cores := 4.0 * float64(n-3*collectorsPerZone)
	require.LessOrEqual(t, s.ServiceRate, cores/3*maxServiceRatePerCore+cores, "one zone is believed for what it can be at most")
	require.LessOrEqual(t, s.Demand.Total(), maxDemandFactor*s.ServiceRate)
	x.misreport = nil
	for i := range n {
		x.dead[i] = x.dead[i] || i%3 == 1
	}
	s = play(10)
	require.InEpsilon(t, float64(2*(n/3-collectorsPerZone)), float64(s.Members), 0.05, "a zone is gone")
	small := viewOf(minMembersForCollectors-1, time.Second, func(int) fleet.Load { return x.loads[0] })
	require.Empty(t, NewCollector(ProcessID{"n0", 1}).Tick(time.Second, Aggregate{}, small))
}

// What is told of a sum must be read as it was, within the steps of the wire and the bounds of a record; nothing that a
// stranger writes may break the reading, or come out as a figure that is none.
func TestAggregateEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Aggregate{Members: rapid.IntRange(0, maxPartials).Draw(t, "members"), Oldest: time.Duration(rapid.IntRange(0, 9000).Draw(t, "ms")) * time.Millisecond}
		for _, v := range s.floatFields() {
			*v = rapid.Float64Range(0, 1e9).Draw(t, "figure")
		}
		for i := range s.Demand {
			s.Demand[i] = rapid.Float64Range(1, 1e6).Draw(t, "offer")
		}
		b := AppendAggregate(nil, &s)
		require.LessOrEqual(t, len(b), fleet.MaxAggregate)
		back, err := ParseAggregate(b)
		require.NoError(t, err)
		require.Equal(t, s.Members, back.Members)
		require.Equal(t, s.Oldest, back.Oldest)
		require.InEpsilon(t, s.Demand.Total(), back.Demand.Total(), 0.05)
		noise := rapid.SliceOfN(rapid.Byte(), 0, 120).Draw(t, "noise")
		if got, err := ParseAggregate(noise); err == nil {
			for _, v := range got.floatFields() {
				require.True(t, *v >= 0 && *v < 1e39)
			}
		}
		ParsePartial(append([]byte{kindPartial}, noise...))
	})
}
