package overload

import (
	"time"

	"falldeal/internal/fleet"
)

// zoneAggregateMaxAge bounds the age of the aggregate of a zone, its way through the fleet included.
const zoneAggregateMaxAge = 5 * time.Second

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

// indexOfZone returns the index of a member's zone; -1 if it is not among zones.
func indexOfZone(zones []zoneAggregate, member *fleet.Member) int {
	for i := range zones {
		if inZone(member, zones[i].region, zones[i].zone) {
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
	if err != nil {
		return
	}
	if !z.found || aggregate.Members > z.best.Members {
		z.best = aggregate
		z.found = true
		z.age = member.Age(at)
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
