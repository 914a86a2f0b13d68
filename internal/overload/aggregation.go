package overload

import (
	"time"

	"falldeal/internal/fleet"
)

// Bounds on what is believed and for how long.
const (
	maxServiceRatePerCore = 4.0             // seconds of work a second
	maxDemandFactor       = 4.0             // demand to service rate: rejecting a request costs a quarter of running it
	loadMaxAge            = 8 * time.Second // of the load of a single member, whatever the size of the fleet
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
	factor := 1.0
	if demand := encodedDemandTotal(load.Demand); demand > maxDemandFactor*aggregate.ServiceRate {
		factor = maxDemandFactor * aggregate.ServiceRate / demand
	}
	aggregate.Demand.addEncoded(load.Demand, factor)
	aggregate.Attempts = load.Attempts
	aggregate.Retries = load.Attempts * min(load.RetryRatio, 1)
	if load.Busy >= 0 {
		aggregate.Cores = load.Capacity
		aggregate.InUse = load.Capacity * min(load.Busy, 1)
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
