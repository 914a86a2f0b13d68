package overload

import (
	"time"

	"falldeal/internal/fleet"

	"github.com/cespare/xxhash/v2"
)

const (
	minMembersForCollectors = 50 // a smaller fleet has no collectors: each member uses the published loads of all members
	collectorsPerZone       = 2
	collectInterval         = time.Second     // interval of sending partial aggregates and of publishing aggregates
	partialMaxAge           = 3 * time.Second // tolerates two lost partial aggregates in a row
	maxPartials             = 4096            // senders that a collector stores, and upper bound of Members in ParseAggregate
)

// PartialAggregate is the load of one member, as that member sends it to the collectors of its zone.
type PartialAggregate struct {
	From      ProcessID
	Aggregate Aggregate // the load of the sender alone
}

// Collector runs in every member of the fleet. It returns the collectors of the zone, to which the member sends its load.
// If the member is itself one of them, it also sums up the load of the zone.
//
// In a large fleet, gossip spreads the load of single members too slowly for load shedding: its age grows with the number
// of members, up to minutes. Therefore each member sends its load directly to the collectors of its zone once a second.
// The collectors sum up the load of the zone and publish the aggregate in their own load once a second. Each member then
// knows an aggregate of each zone that is a few seconds old, at any fleet size.
//
// Rendezvous hashing over the view chooses the collectors, without an election. A lost collector is replaced once the view
// shows the loss. The other collector of the zone continues in the meantime. Members with different views may choose a third
// collector, which does no harm.
//
// It belongs to one goroutine.
type Collector struct {
	self      ProcessID
	partials  map[ProcessID]receivedPartial // latest partial aggregate of each sender
	nextTick  time.Duration                 // earliest time at which Tick returns recipients again
	published string                        // encoded aggregate of the zone; empty if this member is not a collector
}

// receivedPartial is the load of another member of the zone.
type receivedPartial struct {
	aggregate  Aggregate
	receivedAt time.Duration
}

// NewCollector returns a Collector that runs in the process self.
func NewCollector(self ProcessID) *Collector {
	return &Collector{self: self, partials: map[ProcessID]receivedPartial{}}
}

// Self returns the process that this Collector runs in.
func (c *Collector) Self() ProcessID { return c.self }

// Published returns the encoded aggregate of the zone. It is empty if this member is not a collector of its zone or the
// fleet has fewer than 50 members.
func (c *Collector) Published() string { return c.published }

// AddToLoad adds the aggregate of the zone to the load that this member publishes.
func (c *Collector) AddToLoad(load *fleet.Load) { load.Aggregate = c.published }

// Receive stores a partial aggregate. If those of maxPartials senders are stored, it ignores one of a new sender.
func (c *Collector) Receive(now time.Duration, partial PartialAggregate) {
	if _, known := c.partials[partial.From]; !known && len(c.partials) >= maxPartials {
		return
	}
	c.partials[partial.From] = receivedPartial{partial.Aggregate, now}
}

// Tick updates the published aggregate of the zone if this member is one of its collectors. own is the load of this member.
// Tick returns the collectors of the zone other than this member. The caller is to send own to them now, as a partial
// aggregate. Tick is to be called at least once a second.
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

// reset drops the stored partial aggregates and stops publishing.
func (c *Collector) reset() {
	c.published = ""
	clear(c.partials)
}

// collect returns the sum of own, the load of this member, and the recent partial aggregates of other members. It drops
// partial aggregates that are older than partialMaxAge.
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
	total.OldestAge = ages / time.Duration(max(total.Members, 1)) // the mean age rather than the greatest one
	return total
}

// zoneCollectors returns the collectors of this member's zone. Of the members in the zone that accept requests, these are
// the ones with the highest hashes of zone and run.
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
