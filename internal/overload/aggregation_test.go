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

const (
	zones      = 3
	zonedCores = 4.0 // cores of each member of a zonedFleet, and its service rate in seconds of work per second
)

// zonedFleet simulates a fleet in three zones. Its members publish their load at the interval for a fleet of that size.
type zonedFleet struct {
	random     *rand.Rand
	now        time.Duration
	load       fleet.Load // load of each member
	collectors []*Collector
	view       *fleet.View
	dead       map[int]bool                       // members that have stopped, by index
	misreport  func(member int, load *fleet.Load) // changes the published load of a member; nil = no change
}

func newZonedFleet(members int) *zonedFleet {
	zoned := &zonedFleet{
		random: rand.New(rand.NewPCG(1, 2)),
		now:    time.Second,
		load: fleet.Load{
			Capacity:    zonedCores,
			ServiceRate: zonedCores,
			Utilization: 0.5,
			Attempts:    10,
			RetryRatio:  0.2,
			Demand:      string([]byte{10, 60, 70}),
		},
		view: fleet.NewView("n0", fleet.Limits{Members: members}),
		dead: map[int]bool{},
	}
	for member := range members {
		self := ProcessID{fmt.Sprint("n", member), uint64(member + 1)}
		zoned.collectors = append(zoned.collectors, NewCollector(self))
	}
	return zoned
}

// run simulates some seconds and returns the aggregate of the fleet in the last one.
func (f *zonedFleet) run(t *testing.T, seconds int) Aggregate {
	t.Helper()
	for range seconds {
		f.publishLoads()
		f.sendPartials()
		f.now += time.Second
	}
	at := f.now - time.Second
	aggregate, includesSelf := AggregateView(f.view.Snapshot(at), at)
	require.True(t, includesSelf)
	return aggregate
}

func (f *zonedFleet) publishLoads() {
	for member, collector := range f.collectors {
		if f.dead[member] {
			f.view.ObserveReach(f.now, collector.self.Name, collector.self.Run, fleet.Lost)
			continue
		}
		load := f.load
		load.Aggregate = collector.Published()
		if f.misreport != nil {
			f.misreport(member, &load)
		}
		if load.Aggregate == "" && !f.publishesNow(member) {
			continue
		}
		f.view.Merge(f.now, 0, fleet.Record{
			Name:  collector.self.Name,
			Run:   collector.self.Run,
			Seq:   uint64(f.now),
			Up:    f.now,
			State: fleet.Serving,
			Zone:  fmt.Sprint("z", member%zones),
			Load:  load,
		})
		f.view.ObserveReach(f.now, collector.self.Name, collector.self.Run, fleet.Reached)
	}
}

// publishesNow reports whether a member that is not a collector publishes its load now.
func (f *zonedFleet) publishesNow(member int) bool {
	interval := int(fleet.PublishInterval(len(f.collectors)) / time.Second)
	return f.now <= 2*time.Second || (int(f.now/time.Second)+member)%interval == 0
}

// sendPartials ticks all members and has them send their load to the collectors. One partial aggregate in 20 is lost.
func (f *zonedFleet) sendPartials() {
	snapshot := f.view.Snapshot(f.now)
	for member, collector := range f.collectors {
		if f.dead[member] {
			continue
		}
		own := AggregateOf(&f.load)
		for _, recipient := range collector.Tick(f.now, own, snapshot) {
			partial, ok := ParsePartial(AppendPartial(nil, PartialAggregate{collector.self, own}))
			if ok && f.random.IntN(20) > 0 {
				f.collectors[recipient.Run-1].Receive(f.now, partial)
			}
		}
	}
}

// publishing returns the indexes of the members that publish the aggregate of their zone.
func (f *zonedFleet) publishing() (members []int) {
	for member, collector := range f.collectors {
		if collector.Published() != "" && !f.dead[member] {
			members = append(members, member)
		}
	}
	return members
}

// requireAggregate requires that an aggregate is recent, and within a few percent of the load of this number of members.
func (f *zonedFleet) requireAggregate(t *testing.T, aggregate Aggregate, members int, when string) {
	t.Helper()
	require.InEpsilon(t, float64(members), float64(aggregate.Members), 0.03, when)
	require.InEpsilon(t, zonedCores*float64(members), aggregate.ServiceRate, 0.03, when)
	require.InEpsilon(t, float64(members)*encodedDemandTotal(f.load.Demand), aggregate.Demand.Total(), 0.05, when)
	require.InDelta(t, 0.5, aggregate.Utilization(), 0.01, when)
	require.InDelta(t, 0.2, aggregate.Retries/aggregate.Attempts, 0.01, when)
	require.LessOrEqual(t, aggregate.OldestAge, zoneAggregateMaxAge, when)
}

// exaggerate replaces the published aggregate by one with the largest figures that can be encoded.
func exaggerate(load *fleet.Load) {
	aggregate, err := ParseAggregate([]byte(load.Aggregate))
	if err != nil {
		return
	}
	for _, field := range aggregate.floatFields() {
		*field = 1e30
	}
	aggregate.Members, aggregate.Demand[40] = maxPartials, 1e9
	load.Aggregate = string(AppendAggregate(nil, &aggregate))
}

// In a large fleet the loads of single members are too old for shedding. The zone aggregates must stay recent and right if
// partial aggregates are lost and all collectors die. A collector that misreports must not count for more than its zone's
// cores allow, and a lost zone must not count at all.
func TestZoneAggregatesSurviveFaults(t *testing.T) {
	const members, live = 150, 150 - zones*collectorsPerZone
	zoned := newZonedFleet(members)
	zoned.requireAggregate(t, zoned.run(t, 8), members, "at rest")
	require.Len(t, zoned.publishing(), zones*collectorsPerZone)
	for _, member := range zoned.publishing() {
		zoned.dead[member] = true
	}
	zoned.requireAggregate(t, zoned.run(t, 10), live, "all collectors died")
	require.Len(t, zoned.publishing(), zones*collectorsPerZone)

	misreporting := zoned.publishing()[0]
	zoned.misreport = func(member int, load *fleet.Load) {
		if member == misreporting {
			exaggerate(load)
		}
	}
	aggregate := zoned.run(t, 3)
	cores := zonedCores * float64(live)
	require.LessOrEqual(t, aggregate.ServiceRate, cores/zones*maxServiceRatePerCore+cores,
		"a zone counts for at most what its cores allow")
	require.LessOrEqual(t, aggregate.Demand.Total(), maxDemandFactor*aggregate.ServiceRate)

	zoned.misreport = nil
	for member := range members {
		zoned.dead[member] = zoned.dead[member] || member%zones == 1
	}
	aggregate = zoned.run(t, 10)
	remaining := 2 * (members/zones - collectorsPerZone)
	require.InEpsilon(t, float64(remaining), float64(aggregate.Members), 0.05, "a zone is lost")

	small := viewOf(minMembersForCollectors-1, time.Second, func(int) fleet.Load { return zoned.load })
	require.Empty(t, NewCollector(ProcessID{"n0", 1}).Tick(time.Second, Aggregate{}, small))
}

// An encoded aggregate must fit into a fleet record and be decoded with at most the error of the demand steps. Noise from
// another member must not make the decoder panic or return a field that is out of range.
func TestAggregateEncodingAndNoise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		aggregate := Aggregate{
			Members:   rapid.IntRange(0, maxPartials).Draw(t, "members"),
			OldestAge: time.Duration(rapid.IntRange(0, 9000).Draw(t, "ms")) * time.Millisecond,
		}
		for _, field := range aggregate.floatFields() {
			*field = rapid.Float64Range(0, 1e9).Draw(t, "field")
		}
		for bin := range aggregate.Demand {
			aggregate.Demand[bin] = rapid.Float64Range(1, 1e6).Draw(t, "work")
		}
		encoded := AppendAggregate(nil, &aggregate)
		require.LessOrEqual(t, len(encoded), fleet.MaxAggregate)
		decoded, err := ParseAggregate(encoded)
		require.NoError(t, err)
		require.Equal(t, aggregate.Members, decoded.Members)
		require.Equal(t, aggregate.OldestAge, decoded.OldestAge)
		require.InEpsilon(t, aggregate.Demand.Total(), decoded.Demand.Total(), 0.05)

		noise := rapid.SliceOfN(rapid.Byte(), 0, 120).Draw(t, "noise")
		if decoded, err := ParseAggregate(noise); err == nil {
			for _, field := range decoded.floatFields() {
				require.True(t, *field >= 0 && *field < 1e39)
			}
		}
		ParsePartial(append([]byte{kindPartial}, noise...)) // must not panic
	})
}

// An old zone aggregate says nothing about the load now. Once it is older than zoneAggregateMaxAge, all members of its zone
// must count as stale.
func TestZoneAggregateExpires(t *testing.T) {
	const members = minMembersForCollectors
	encoded := string(AppendAggregate(nil, &Aggregate{Members: members, ServiceRate: 1}))
	view := viewOf(members, time.Second, func(int) fleet.Load { return fleet.Load{Capacity: 4, Aggregate: encoded} })
	recent, _ := AggregateView(view, time.Second+zoneAggregateMaxAge)
	require.Equal(t, members, recent.Members)
	require.Zero(t, recent.Stale)
	require.Equal(t, zoneAggregateMaxAge, recent.OldestAge)
	expired, _ := AggregateView(view, time.Second+zoneAggregateMaxAge+1)
	require.Zero(t, expired.Members)
	require.Equal(t, members, expired.Stale)
}
