package overload

import (
	"time"

	"falldeal/internal/fleet"
)

// Bounds on the published load of a member or a zone. Loads that exceed them are reduced or ignored, so that a member that
// misreports its load does not decide for the whole fleet.
const (
	maxServiceRatePerCore = 4.0 // seconds of work that one core completes per second

	// Ratio of demand to service rate. A rejection costs 1/4 of running a request, so a server cannot handle more demand.
	maxDemandFactor = 4.0

	// An older load of a single member is ignored, even if fleet.MaxFreshAge allows its age in a fleet of this size.
	loadMaxAge = 8 * time.Second
)

// Aggregate is the sum of the load of several members.
type Aggregate struct {
	Members     int           // number of members whose load is counted
	Stale       int           // number of members that are alive but whose load is too old or not known
	Demand      Demand        // requested work
	ServiceRate float64       // completed work, in seconds of work per second
	Cores       float64       // cores of the members whose utilization is known
	CoresInUse  float64       // how many of Cores are in use
	Attempts    float64       // attempts per second, retries included
	Retries     float64       // attempts per second that are retries
	OldestAge   time.Duration // age of the oldest load that is counted; for a zone, the mean age of the loads
}

// Utilization returns the ratio of Cores that are in use, 0 to 1. It returns -1 if the utilization of no member is known.
func (a *Aggregate) Utilization() float64 {
	if a.Cores <= 0 {
		return -1
	}
	return a.CoresInUse / a.Cores
}

// AggregateView sums up the published loads in a view. The time at is on the clock of the view.
//
//   - In a small fleet it sums up the loads of all other members. The caller adds the load of this member,
//     for which it has more recent measurements.
//   - In a fleet of 50 members or more it sums up the published aggregates of the zones. These include the load of this
//     member.
//
// It limits the service rate of a member or a zone by the number of its cores, and the demand by that service rate. A
// member or a zone that misreports its load therefore does not decide for the whole fleet.
func AggregateView(view *fleet.Snapshot, at time.Duration) (total Aggregate, includesSelf bool) {
	if len(view.Members) >= minMembersForCollectors {
		return aggregateZones(view, at), true
	}
	return aggregateMembers(view, at), false
}

// aggregateMembers sums up the loads of all members except this one.
func aggregateMembers(view *fleet.Snapshot, at time.Duration) (total Aggregate) {
	maxAge := min(fleet.MaxFreshAge(len(view.Members)), loadMaxAge)
	for i := range view.Members {
		member := &view.Members[i]
		switch {
		case member.Self: // the caller adds the load of this member
		case member.Serves(at, maxAge):
			aggregate := AggregateOf(&member.Load)
			aggregate.OldestAge = member.Age(at)
			total.add(&aggregate)
		case member.Liveness == fleet.Alive && member.Age(at) > maxAge:
			total.Stale++
		}
	}
	return total
}

// AggregateOf returns the published load of one member as an aggregate. It limits the service rate by the number of the
// member's cores, and the demand by that service rate.
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
	if load.Utilization >= 0 {
		aggregate.Cores = load.Capacity
		aggregate.CoresInUse = load.Capacity * min(load.Utilization, 1)
	}
	return aggregate
}

// boundedServiceRate returns the service rate of a server, limited to maxServiceRatePerCore for each core. If the rate is 0,
// it is not known; the server is then assumed to complete one second of work per second on each core.
func boundedServiceRate(serviceRate, cores float64) float64 {
	if serviceRate <= 0 {
		return cores
	}
	return min(serviceRate, maxServiceRatePerCore*cores)
}

// floatFields returns the fields that are encoded as floats, in the order of the wire format.
func (a *Aggregate) floatFields() [5]*float64 {
	return [...]*float64{&a.ServiceRate, &a.Cores, &a.CoresInUse, &a.Attempts, &a.Retries}
}

// add adds other to a, except for Stale: only the caller that sums up a view counts stale members.
func (a *Aggregate) add(other *Aggregate) {
	a.Members += other.Members
	a.OldestAge = max(a.OldestAge, other.OldestAge)
	fields, otherFields := a.floatFields(), other.floatFields()
	for i := range fields {
		*fields[i] += *otherFields[i]
	}
	for bin, work := range other.Demand {
		a.Demand[bin] += work
	}
}

// clamp limits the published aggregate of a zone by two figures that the view shows: the number of members of the zone,
// and the number of cores that they have in total.
func (a *Aggregate) clamp(members int, cores float64) {
	a.Members = min(a.Members, members)
	a.ServiceRate = min(a.ServiceRate, maxServiceRatePerCore*cores)
	a.Cores = min(a.Cores, cores)
	a.CoresInUse = min(a.CoresInUse, a.Cores)
	a.Retries = min(a.Retries, a.Attempts)
	if demand := a.Demand.Total(); demand > maxDemandFactor*a.ServiceRate {
		a.Demand.scale(maxDemandFactor * a.ServiceRate / demand)
	}
}
