package overload

import (
	"time"

	"falldeal/internal/fleet"
)

// Bounds on what is believed and for how long. The values are our own; docs/load-shedding.md has the measurements.
const (
	maxServiceRatePerCore = 4.0             // seconds of work a second
	maxDemandFactor       = 4.0             // demand to service rate: rejecting a request costs a quarter of running it
	loadMaxAge            = 8 * time.Second // of the load of a single member, whatever the size of the fleet
	zoneAggregateMaxAge   = 5 * time.Second // of the aggregate of a zone, the way through the fleet included
)

// Aggregate is the sum of the load of several members.
type Aggregate struct {
	Members           int // that are counted
	Stale             int // that are reached, but whose load is too old or not known
	Demand            Demand
	ServiceRate       float64       // seconds of work completed a second
	Cores, InUse      float64       // of the members that know how many are in use
	Attempts, Retries float64       // attempts a second, and how many of them are retries
	Oldest            time.Duration // age of the oldest load that is counted
}

// Busy returns the part of the cores that is in use; -1 if no member knows.
func (a *Aggregate) Busy() float64 {
	if a.Cores <= 0 {
		return -1
	}
	return a.InUse / a.Cores
}

// AggregateView sums up the load in a view at a time on the view's clock. In a small fleet that is the load of all other
// members, since the caller knows its own better. In a large fleet it is the aggregates of the zones, which include this
// member. No member and no zone counts for more than its cores allow, so that a wrong one does not decide for all.
func AggregateView(view *fleet.Snapshot, at time.Duration) (total Aggregate, includesSelf bool) {
	if len(view.Members) >= minMembersForCollectors {
		return aggregateZones(view, at), true
	}
	return aggregateMembers(view, at), false
}

// aggregateMembers sums up the load of all members but this one.
func aggregateMembers(view *fleet.Snapshot, at time.Duration) (total Aggregate) {
	maxAge := min(fleet.MaxFreshAge(len(view.Members)), loadMaxAge)
	for i := range view.Members {
		member := &view.Members[i]
		switch {
		case member.Self: // the caller adds its own load
		case member.Serves(at, maxAge):
			aggregate := AggregateOf(&member.Load)
			aggregate.Oldest = member.Age(at)
			total.add(&aggregate)
		case member.Liveness == fleet.Alive && member.Age(at) > maxAge:
			total.Stale++
		}
	}
	return total
}

// AggregateOf returns the published load of one member as an aggregate, within the bounds of what a server can do.
func AggregateOf(load *fleet.Load) (aggregate Aggregate) {
	aggregate.Members = 1
	aggregate.ServiceRate = boundedServiceRate(load.ServiceRate, load.Capacity)
	factor, demand := 1.0, encodedDemandTotal(load.Demand)
	if demand > maxDemandFactor*aggregate.ServiceRate {
		factor = maxDemandFactor * aggregate.ServiceRate / demand
	}
	aggregate.Demand.addEncoded(load.Demand, factor)
	aggregate.Attempts, aggregate.Retries = load.Attempts, load.Attempts*min(load.RetryRatio, 1)
	if load.Busy >= 0 {
		aggregate.Cores, aggregate.InUse = load.Capacity, load.Capacity*min(load.Busy, 1)
	}
	return aggregate
}

// boundedServiceRate returns a service rate that a server with so many cores can have. A server that publishes none is
// assumed to complete a second of work a second on each core.
func boundedServiceRate(serviceRate, cores float64) float64 {
	if serviceRate <= 0 {
		return cores
	}
	return min(serviceRate, maxServiceRatePerCore*cores)
}

// floatFields returns the fields that are encoded as floats, in the order of the wire format.
func (a *Aggregate) floatFields() [5]*float64 {
	return [...]*float64{&a.ServiceRate, &a.Cores, &a.InUse, &a.Attempts, &a.Retries}
}

// add adds other to a. Stale is not a sum of aggregates: whoever makes a total counts it.
func (a *Aggregate) add(other *Aggregate) {
	a.Members += other.Members
	a.Oldest = max(a.Oldest, other.Oldest)
	fields, otherFields := a.floatFields(), other.floatFields()
	for i := range fields {
		*fields[i] += *otherFields[i]
	}
	for bin, work := range other.Demand {
		a.Demand[bin] += work
	}
}

// clamp limits an aggregate to what so many members with so many cores can have published.
func (a *Aggregate) clamp(members int, cores float64) {
	a.Members = min(a.Members, members)
	a.ServiceRate = min(a.ServiceRate, maxServiceRatePerCore*cores)
	a.Cores = min(a.Cores, cores)
	a.InUse = min(a.InUse, a.Cores)
	a.Retries = min(a.Retries, a.Attempts)
	if demand := a.Demand.Total(); demand > maxDemandFactor*a.ServiceRate {
		a.Demand.scale(maxDemandFactor * a.ServiceRate / demand)
	}
}

// zoneAggregate is what is known of one zone.
type zoneAggregate struct {
	region, zone string
	serving      int       // members that take work, by the view
	cores        float64   // of these, as they have published at any time: a machine does not change
	best         Aggregate // of the collector that counted the most members
	found        bool
	age          time.Duration // of best
}

// aggregateZones sums up the aggregates of all zones. The members of a zone without a recent one count as stale.
func aggregateZones(view *fleet.Snapshot, at time.Duration) (total Aggregate) {
	var zones []zoneAggregate
	for i := range view.Members {
		member := &view.Members[i]
		if !acceptsWork(member) {
			continue
		}
		index := indexOfZone(zones, member)
		if index < 0 {
			index = len(zones)
			zones = append(zones, zoneAggregate{region: member.Region, zone: member.Zone})
		}
		zones[index].addMember(member, at)
	}
	for i := range zones {
		zones[i].addTo(&total)
	}
	return total
}

// indexOfZone returns the index of a member's zone; -1 if it is not among zones.
func indexOfZone(zones []zoneAggregate, member *fleet.Member) int {
	for i := range zones {
		if zones[i].zone == member.Zone && zones[i].region == member.Region {
			return i
		}
	}
	return -1
}

// addMember counts a member of the zone and takes its aggregate if it is a better one.
func (z *zoneAggregate) addMember(member *fleet.Member, at time.Duration) {
	z.serving++
	z.cores += member.Load.Capacity
	if member.Load.Aggregate == "" || member.Age(at) > zoneAggregateMaxAge {
		return
	}
	aggregate, err := ParseAggregate([]byte(member.Load.Aggregate))
	if err == nil && (!z.found || aggregate.Members > z.best.Members) {
		z.best, z.found, z.age = aggregate, true, member.Age(at)
	}
}

// addTo adds the zone to the total of the fleet.
func (z *zoneAggregate) addTo(total *Aggregate) {
	if !z.found {
		total.Stale += z.serving
		return
	}
	z.best.Oldest += z.age
	z.best.clamp(z.serving, z.cores)
	total.add(&z.best)
	total.Stale += z.serving - z.best.Members
}
