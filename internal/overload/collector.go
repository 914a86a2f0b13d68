package overload

import (
	"time"

	"falldeal/internal/fleet"

	"github.com/cespare/xxhash/v2"
)

const (
	minMembersForCollectors = 50 // in a smaller fleet all go by the published load of each member
	collectorsPerZone       = 2
	collectInterval         = time.Second     // between two partial aggregates, and two publications
	partialMaxAge           = 3 * time.Second // two were missed
	maxPartials             = 4096            // that a collector keeps, and members of an aggregate
)

// PartialAggregate is the load of one member, as it is sent to a collector.
type PartialAggregate struct {
	From      ProcessID
	Aggregate Aggregate // of one member
}

// Collector is a member's part in the aggregation of its zone.
//
// In a large fleet the load of a member spreads by gossip too slowly to shed by: its age grows with the number of
// members, to minutes. There each member sends its load directly to the collectors of its zone each second. These add up
// the zone and publish the aggregate in their own load each second, so that every member knows one aggregate for each
// zone that is a few seconds old at any size.
//
// Collectors are chosen by rendezvous hashing over the view, without an election. A lost one is replaced as soon as the
// view shows it, and the other goes on meanwhile. Views that differ make a third collector, which does no harm.
//
// It belongs to one goroutine.
type Collector struct {
	self      ProcessID
	partials  map[ProcessID]receivedPartial
	nextTick  time.Duration
	published string // encoded aggregate of the zone while this member is a collector
}

type receivedPartial struct {
	aggregate  Aggregate
	receivedAt time.Duration
}

// NewCollector returns a collector for this process that has received nothing.
func NewCollector(self ProcessID) *Collector {
	return &Collector{self: self, partials: map[ProcessID]receivedPartial{}}
}

// Self returns the process that this collector runs in.
func (c *Collector) Self() ProcessID { return c.self }

// Published returns the encoded aggregate of the zone; it is empty if other members collect or the fleet is small.
func (c *Collector) Published() string { return c.published }

// AddToLoad adds the aggregate of the zone to the load that this member publishes.
func (c *Collector) AddToLoad(load *fleet.Load) { load.Aggregate = c.published }

// Receive stores a partial aggregate. If there is no room for another sender it is dropped; the next one may fit.
func (c *Collector) Receive(now time.Duration, partial PartialAggregate) {
	if _, known := c.partials[partial.From]; !known && len(c.partials) >= maxPartials {
		return
	}
	c.partials[partial.From] = receivedPartial{partial.Aggregate, now}
}

// Tick publishes the aggregate of the zone if this member is one of its collectors. It is called at least once a second,
// and returns the other collectors, to which this member sends its partial aggregate now.
func (c *Collector) Tick(now time.Duration, own Aggregate, view *fleet.Snapshot) (recipients []ProcessID) {
	if len(view.Members) < minMembersForCollectors {
		c.reset()
		return nil
	}
	if now < c.nextTick {
		return nil
	}
	c.nextTick = now + collectInterval
	collects := false
	for _, collector := range c.zoneCollectors(view) {
		if collector == c.self {
			collects = true
		} else {
			recipients = append(recipients, collector)
		}
	}
	if !collects {
		c.reset()
		return recipients
	}
	total := c.collect(now, own)
	c.published = string(AppendAggregate(nil, &total))
	return recipients
}

// reset forgets what was collected.
func (c *Collector) reset() {
	c.published = ""
	clear(c.partials)
}

// collect adds up the partial aggregates that are recent, and this member's own.
func (c *Collector) collect(now time.Duration, own Aggregate) Aggregate {
	total := own
	ages := time.Duration(0)
	for from, partial := range c.partials {
		age := now - partial.receivedAt
		if age > partialMaxAge {
			delete(c.partials, from)
			continue
		}
		if from != c.self {
			total.add(&partial.aggregate)
			ages += age
		}
	}
	total.Oldest = ages / time.Duration(max(total.Members, 1)) // the mean age
	return total
}

// zoneCollectors returns the collectors of this member's zone: the members with the highest hashes of process and zone.
func (c *Collector) zoneCollectors(view *fleet.Snapshot) []ProcessID {
	self := view.Find(c.self.Name)
	if self == nil {
		return nil
	}
	seed := xxhash.Sum64String(self.Region + "/" + self.Zone)
	chosen := highestHashes{limit: collectorsPerZone}
	for i := range view.Members {
		member := &view.Members[i]
		if inZone(member, self.Region, self.Zone) && member.AcceptsRequests() {
			chosen.offer(mix(seed^member.Run), processOf(member))
		}
	}
	return chosen.processes()
}
