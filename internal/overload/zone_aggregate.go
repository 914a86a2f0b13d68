package overload

import (
	"time"

	"falldeal/internal/fleet"
)

// zoneAggregateMaxAge is the greatest age of a collector's load at which its aggregate of the zone counts.
const zoneAggregateMaxAge = 5 * time.Second

// zoneAggregate is the load of one zone, as one of its collectors has published it.
type zoneAggregate struct {
	region, zone string
	serving      int           // number of members that accept requests, by the view
	cores        float64       // cores of these members by their last load, however old: the cores of a machine do not change
	best         Aggregate     // of the aggregates that the collectors published, the one that counts the most members
	found        bool          // best is set
	age          time.Duration // age of the load that best was published in
}

// aggregateZones sums up the aggregates of all zones. Members of a zone without a recent aggregate count as stale.
func aggregateZones(view *fleet.Snapshot, at time.Duration) (total Aggregate) {
	var zones []zoneAggregate
	for i := range view.Members {
		member := &view.Members[i]
		if !member.AcceptsRequests() {
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

// indexOfZone returns the index of the zone that a member is in, or -1 if zones has no entry for it.
func indexOfZone(zones []zoneAggregate, member *fleet.Member) int {
	for i := range zones {
		if inZone(member, zones[i].region, zones[i].zone) {
			return i
		}
	}
	return -1
}

// addMember counts a member of the zone. If the member publishes a recent aggregate that counts more members than the
// best one so far, that becomes the best one.
func (z *zoneAggregate) addMember(member *fleet.Member, at time.Duration) {
	z.serving++
	z.cores += member.Load.Capacity
	if member.Load.Aggregate == "" || member.Age(at) > zoneAggregateMaxAge {
		return
	}
	aggregate, err := ParseAggregate([]byte(member.Load.Aggregate))
	if err != nil {
		return
	}
	if !z.found || aggregate.Members > z.best.Members {
		z.best = aggregate
		z.found = true
		z.age = member.Age(at)
	}
}

// addTo adds the load of the zone to the total of the fleet.
func (z *zoneAggregate) addTo(total *Aggregate) {
	if !z.found {
		total.Stale += z.serving
		return
	}
	z.best.OldestAge += z.age
	z.best.clamp(z.serving, z.cores)
	total.add(&z.best)
	total.Stale += z.serving - z.best.Members
}
