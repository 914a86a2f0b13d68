package overload

import (
	"encoding/binary"
	"errors"
	"math"
	"slices"
	"time"

	"falldeal/internal/fleet"

	"github.com/cespare/xxhash/v2"
)

// Sums by zone. In a large fleet a member's word of its load is as old as the size makes it (12 s at 300 members, two
// minutes at 3,000), which is too old to cut by. There each member tells two of its own zone, each second and directly,
// what it would put into its word; these two, the collectors, add up their zone and put the sum into words of their
// own, which they tell each second. Everybody then reads one sum for each zone, some two seconds old at any size.
//
// Collectors are named by a hash over the view, so that nobody appoints them: one that is lost is replaced by the next
// as soon as it is seen, and meanwhile the other goes on. Two views that differ make three collectors, which does no
// harm. Where a zone has no sum that is fresh, nothing is known of it.
const (
	minMembersForCollectors = 50              // members; in a smaller fleet everybody goes by the words of all
	collectorsPerZone       = 2               // of each zone
	collectInterval         = time.Second     // between two parts, and two sums
	partialMaxAge           = 3 * time.Second // older parts are left out: two were missed
	zoneAggregateMaxAge     = 5 * time.Second // and so are older sums, the way through the fleet included
	loadMaxAge              = 8 * time.Second // nor is a word of a single member cut by that is older, whatever the fleet's size
	maxPartials             = 4096            // that a collector keeps
)

// AppendAggregate appends a sum in its form on the wire: counts, then 32-bit floats, then the offers as they are told.
func AppendAggregate(b []byte, aggregate *Aggregate) []byte {
	b = binary.AppendUvarint(b, uint64(aggregate.Members))
	b = binary.AppendUvarint(b, uint64(max(aggregate.Oldest, 0)/time.Millisecond))
	for _, field := range aggregate.floatFields() {
		b = binary.BigEndian.AppendUint32(b, math.Float32bits(float32(*field)))
	}
	return aggregate.Demand.Append(b)
}

// floatFields are those of a sum that are told as floats, in their order on the wire.
func (s *Aggregate) floatFields() [5]*float64 {
	return [...]*float64{&s.ServiceRate, &s.Cores, &s.InUse, &s.Attempts, &s.Retries}
}

var errInvalidAggregate = errors.New("no sum of a zone")

// ParseAggregate reads a sum. What no sum can hold is an error: negative figures, and such as are no numbers.
func ParseAggregate(b []byte) (aggregate Aggregate, err error) {
	members, n := binary.Uvarint(b)
	if n <= 0 || members > maxPartials {
		return aggregate, errInvalidAggregate
	}
	b = b[n:]
	oldest, n := binary.Uvarint(b)
	if n <= 0 || oldest > uint64(time.Hour/time.Millisecond) {
		return aggregate, errInvalidAggregate
	}
	b = b[n:]
	aggregate.Members, aggregate.Oldest = int(members), time.Duration(oldest)*time.Millisecond
	for _, field := range aggregate.floatFields() {
		if len(b) < 4 {
			return aggregate, errInvalidAggregate
		}
		*field = float64(math.Float32frombits(binary.BigEndian.Uint32(b)))
		if b = b[4:]; !(*field >= 0 && *field < math.MaxFloat32) {
			return aggregate, errInvalidAggregate
		}
	}
	if len(b) > 1+demandBins {
		return aggregate, errInvalidAggregate
	}
	aggregate.Demand.addEncoded(string(b), 1)
	return aggregate, nil
}

// PartialAggregate is what a member tells a collector.
type PartialAggregate struct {
	From      ProcessID
	Aggregate Aggregate // of one
}

// kindPartial begins a part on the wire; see kindReport.
const kindPartial = 0xfe

// IsSheddingMessage reports whether a message to one member is about the cutoff: a report of tries, or a part of a sum.
func IsSheddingMessage(b []byte) bool {
	return len(b) > 0 && (b[0] == kindReport || b[0] == kindPartial)
}

// AppendPartial appends a part as it is sent.
func AppendPartial(b []byte, partial PartialAggregate) []byte {
	b = append(b, kindPartial, byte(len(partial.From.Name)))
	b = append(b, partial.From.Name...)
	return AppendAggregate(binary.BigEndian.AppendUint64(b, partial.From.Run), &partial.Aggregate)
}

// ParsePartial reads a part; ok is false for what is none.
func ParsePartial(b []byte) (partial PartialAggregate, ok bool) {
	if len(b) < 2 || b[0] != kindPartial {
		return partial, false
	}
	nameLength := int(b[1])
	if b = b[2:]; nameLength == 0 || nameLength > fleet.MaxText || len(b) < nameLength+8 {
		return partial, false
	}
	partial.From = ProcessID{string(b[:nameLength]), binary.BigEndian.Uint64(b[nameLength:])}
	aggregate, err := ParseAggregate(b[nameLength+8:])
	partial.Aggregate = aggregate
	return partial, err == nil && aggregate.Members <= 1
}

// Collector is a member's part in the sums of its zone. It belongs to one goroutine.
type Collector struct {
	self      ProcessID
	partials  map[ProcessID]receivedPartial
	nextTick  time.Duration
	published string // the sum that this member tells, if it collects
}

type receivedPartial struct {
	aggregate  Aggregate
	receivedAt time.Duration
}

// NewCollector begins with nothing heard.
func NewCollector(self ProcessID) *Collector {
	return &Collector{self: self, partials: map[ProcessID]receivedPartial{}}
}

// Self is this member.
func (c *Collector) Self() ProcessID { return c.self }

// Published is the sum of the zone that this member tells; empty where others collect, or the fleet is small.
func (c *Collector) Published() string { return c.published }

// Receive takes in a part. What there is no room for is dropped, and comes again.
func (c *Collector) Receive(now time.Duration, partial PartialAggregate) {
	if _, known := c.partials[partial.From]; !known && len(c.partials) >= maxPartials {
		return
	}
	c.partials[partial.From] = receivedPartial{partial.Aggregate, now}
}

// Tick is taken at least once a second. It returns to whom this member's own part goes now, if to anybody.
func (c *Collector) Tick(now time.Duration, own Aggregate, view *fleet.Snapshot) (to []ProcessID) {
	if len(view.Members) < minMembersForCollectors {
		if c.published != "" || len(c.partials) > 0 {
			c.published, c.partials = "", map[ProcessID]receivedPartial{}
		}
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
			to = append(to, collector)
		}
	}
	if !collects {
		c.published = ""
		clear(c.partials)
		return to
	}
	total, ages := own, time.Duration(0)
	for from, collector := range c.partials {
		if now-collector.receivedAt > partialMaxAge {
			delete(c.partials, from)
			continue
		}
		if from != c.self {
			total.add(&collector.aggregate)
			ages += now - collector.receivedAt
		}
	}
	total.Oldest = ages / time.Duration(max(total.Members, 1)) // in the mean
	c.published = string(AppendAggregate(nil, &total))
	return to
}

// zoneCollectors are the collectors of this member's zone: those with the highest hash of the process and the zone.
func (c *Collector) zoneCollectors(view *fleet.Snapshot) []ProcessID {
	self := view.Find(c.self.Name)
	if self == nil {
		return nil
	}
	type candidate struct {
		hash uint64
		who  ProcessID
	}
	var best []candidate
	seed := xxhash.Sum64String(self.Region + "/" + self.Zone)
	for i := range view.Members {
		member := &view.Members[i]
		if member.Zone != self.Zone || member.Region != self.Region || member.Liveness != fleet.Alive || member.State != fleet.Serving && member.State != fleet.Warming {
			continue
		}
		candidateMember := candidate{mix(seed ^ member.Run), ProcessID{member.Name, member.Run}}
		if len(best) == collectorsPerZone && candidateMember.hash <= best[collectorsPerZone-1].hash {
			continue
		}
		at := slices.IndexFunc(best, func(o candidate) bool { return candidateMember.hash > o.hash })
		if at < 0 {
			at = len(best)
		}
		if best = slices.Insert(best, at, candidateMember); len(best) > collectorsPerZone {
			best = best[:collectorsPerZone]
		}
	}
	var chosen []ProcessID
	for _, candidateMember := range best {
		chosen = append(chosen, candidateMember.who)
	}
	return chosen
}

// zoneAggregate is what is known of one zone.
type zoneAggregate struct {
	region, zone string
	serving      int     // members that serve, as the view has it
	cores        float64 // that these have told, however long ago: machines do not change
	best         Aggregate
	found        bool
	age          time.Duration
}

// aggregateZones adds up the sums of all zones. One collector's word is bounded by what the members of its zone can do at
// most; of two, the one that has counted more members is believed.
func aggregateZones(view *fleet.Snapshot, at time.Duration) (total Aggregate) {
	var zones []zoneAggregate
	for i := range view.Members {
		member := &view.Members[i]
		if member.Liveness != fleet.Alive || member.State != fleet.Serving && member.State != fleet.Warming {
			continue
		}
		index := slices.IndexFunc(zones, func(zone zoneAggregate) bool { return zone.zone == member.Zone && zone.region == member.Region })
		if index < 0 {
			index = len(zones)
			zones = append(zones, zoneAggregate{region: member.Region, zone: member.Zone})
		}
		zone := &zones[index]
		zone.serving++
		zone.cores += member.Load.Capacity
		if member.Load.Aggregate == "" || member.Age(at) > zoneAggregateMaxAge {
			continue
		}
		if aggregate, err := ParseAggregate([]byte(member.Load.Aggregate)); err == nil && (!zone.found || aggregate.Members > zone.best.Members) {
			zone.best, zone.found, zone.age = aggregate, true, member.Age(at)
		}
	}
	for i := range zones {
		zone := &zones[i]
		if !zone.found {
			total.Stale += zone.serving
			continue
		}
		zone.best.Oldest += zone.age
		zone.best.clamp(zone.serving, zone.cores)
		total.add(&zone.best)
		total.Stale += zone.serving - zone.best.Members
	}
	return total
}

// add adds o to s.
func (s *Aggregate) add(other *Aggregate) {
	s.Members += other.Members
	s.Oldest = max(s.Oldest, other.Oldest)
	mine, others := s.floatFields(), other.floatFields()
	for i := range mine {
		*mine[i] += *others[i]
	}
	for i, v := range other.Demand {
		s.Demand[i] += v
	}
}

// clamp holds a sum to what so many members with so many cores can have told.
func (s *Aggregate) clamp(members int, cores float64) {
	s.Members = min(s.Members, members)
	s.ServiceRate = min(s.ServiceRate, maxServiceRatePerCore*cores)
	s.Cores = min(s.Cores, cores)
	s.InUse, s.Retries = min(s.InUse, s.Cores), min(s.Retries, s.Attempts)
	if demand := s.Demand.Total(); demand > maxDemandFactor*s.ServiceRate {
		s.Demand.scale(maxDemandFactor * s.ServiceRate / demand)
	}
}

// AggregateOf is what one member tells of itself as a sum of one, bounded by what a server can do.
func AggregateOf(load *fleet.Load) (aggregate Aggregate) {
	aggregate.Members = 1
	aggregate.ServiceRate = boundedServiceRate(load.ServiceRate, load.Capacity)
	factor, total := 1.0, encodedDemandTotal(load.Demand)
	if total > maxDemandFactor*aggregate.ServiceRate {
		factor = maxDemandFactor * aggregate.ServiceRate / total
	}
	aggregate.Demand.addEncoded(load.Demand, factor)
	aggregate.Attempts, aggregate.Retries = load.Attempts, load.Attempts*min(load.RetryRatio, 1)
	if load.Busy >= 0 {
		aggregate.Cores, aggregate.InUse = load.Capacity, load.Capacity*min(load.Busy, 1)
	}
	return aggregate
}
