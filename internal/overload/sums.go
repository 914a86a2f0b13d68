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
	sumsFrom     = 50              // members; in a smaller fleet everybody goes by the words of all
	collectors   = 2               // of each zone
	collectEvery = time.Second     // between two parts, and two sums
	partFresh    = 3 * time.Second // older parts are left out: two were missed
	sumFresh     = 5 * time.Second // and so are older sums, the way through the fleet included
	wordsFresh   = 8 * time.Second // nor is a word of a single member cut by that is older, whatever the fleet's size
	mostParts    = 4096            // that a collector keeps
)

// AppendAggregate appends a sum in its form on the wire: counts, then 32-bit floats, then the offers as they are told.
func AppendAggregate(b []byte, s *Aggregate) []byte {
	b = binary.AppendUvarint(b, uint64(s.Members))
	b = binary.AppendUvarint(b, uint64(max(s.Oldest, 0)/time.Millisecond))
	for _, v := range s.figures() {
		b = binary.BigEndian.AppendUint32(b, math.Float32bits(float32(*v)))
	}
	return s.Demand.Append(b)
}

// figures are those of a sum that are told as floats, in their order on the wire.
func (s *Aggregate) figures() [5]*float64 {
	return [...]*float64{&s.ServiceRate, &s.Cores, &s.InUse, &s.Attempts, &s.Retries}
}

var errSum = errors.New("no sum of a zone")

// ParseAggregate reads a sum. What no sum can hold is an error: negative figures, and such as are no numbers.
func ParseAggregate(b []byte) (s Aggregate, err error) {
	members, n := binary.Uvarint(b)
	if n <= 0 || members > mostParts {
		return s, errSum
	}
	b = b[n:]
	oldest, n := binary.Uvarint(b)
	if n <= 0 || oldest > uint64(time.Hour/time.Millisecond) {
		return s, errSum
	}
	b = b[n:]
	s.Members, s.Oldest = int(members), time.Duration(oldest)*time.Millisecond
	for _, v := range s.figures() {
		if len(b) < 4 {
			return s, errSum
		}
		*v = float64(math.Float32frombits(binary.BigEndian.Uint32(b)))
		if b = b[4:]; !(*v >= 0 && *v < math.MaxFloat32) {
			return s, errSum
		}
	}
	if len(b) > 1+bins {
		return s, errSum
	}
	s.Demand.add(string(b), 1)
	return s, nil
}

// PartialAggregate is what a member tells a collector.
type PartialAggregate struct {
	From      ProcessID
	Aggregate Aggregate // of one
}

// kindPart begins a part on the wire; see kindTries.
const kindPart = 0xfe

// IsSheddingMessage reports whether a message to one member is about the cutoff: a report of tries, or a part of a sum.
func IsSheddingMessage(b []byte) bool { return len(b) > 0 && (b[0] == kindTries || b[0] == kindPart) }

// AppendPartial appends a part as it is sent.
func AppendPartial(b []byte, p PartialAggregate) []byte {
	b = append(b, kindPart, byte(len(p.From.Name)))
	b = append(b, p.From.Name...)
	return AppendAggregate(binary.BigEndian.AppendUint64(b, p.From.Run), &p.Aggregate)
}

// ParsePartial reads a part; ok is false for what is none.
func ParsePartial(b []byte) (p PartialAggregate, ok bool) {
	if len(b) < 2 || b[0] != kindPart {
		return p, false
	}
	n := int(b[1])
	if b = b[2:]; n == 0 || n > fleet.MaxText || len(b) < n+8 {
		return p, false
	}
	p.From = ProcessID{string(b[:n]), binary.BigEndian.Uint64(b[n:])}
	sum, err := ParseAggregate(b[n+8:])
	p.Aggregate = sum
	return p, err == nil && sum.Members <= 1
}

// Collector is a member's part in the sums of its zone. It belongs to one goroutine.
type Collector struct {
	self  ProcessID
	parts map[ProcessID]heardPart
	next  time.Duration
	told  string // the sum that this member tells, if it collects
}

type heardPart struct {
	sum Aggregate
	at  time.Duration
}

// NewCollector begins with nothing heard.
func NewCollector(self ProcessID) *Collector {
	return &Collector{self: self, parts: map[ProcessID]heardPart{}}
}

// Self is this member.
func (c *Collector) Self() ProcessID { return c.self }

// Published is the sum of the zone that this member tells; empty where others collect, or the fleet is small.
func (c *Collector) Published() string { return c.told }

// Receive takes in a part. What there is no room for is dropped, and comes again.
func (c *Collector) Receive(now time.Duration, p PartialAggregate) {
	if _, known := c.parts[p.From]; !known && len(c.parts) >= mostParts {
		return
	}
	c.parts[p.From] = heardPart{p.Aggregate, now}
}

// Tick is taken at least once a second. It returns to whom this member's own part goes now, if to anybody.
func (c *Collector) Tick(now time.Duration, own Aggregate, view *fleet.Snapshot) (to []ProcessID) {
	if len(view.Members) < sumsFrom {
		if c.told != "" || len(c.parts) > 0 {
			c.told, c.parts = "", map[ProcessID]heardPart{}
		}
		return nil
	}
	if now < c.next {
		return nil
	}
	c.next = now + collectEvery
	collects := false
	for _, p := range c.chosen(view) {
		if p == c.self {
			collects = true
		} else {
			to = append(to, p)
		}
	}
	if !collects {
		c.told = ""
		clear(c.parts)
		return to
	}
	sum, ages := own, time.Duration(0)
	for from, p := range c.parts {
		if now-p.at > partFresh {
			delete(c.parts, from)
			continue
		}
		if from != c.self {
			sum.join(&p.sum)
			ages += now - p.at
		}
	}
	sum.Oldest = ages / time.Duration(max(sum.Members, 1)) // in the mean
	c.told = string(AppendAggregate(nil, &sum))
	return to
}

// chosen are the collectors of this member's zone: those with the highest hash of the process and the zone.
func (c *Collector) chosen(view *fleet.Snapshot) []ProcessID {
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
		m := &view.Members[i]
		if m.Zone != self.Zone || m.Region != self.Region || m.Liveness != fleet.Alive || m.State != fleet.Serving && m.State != fleet.Warming {
			continue
		}
		x := candidate{mix(seed ^ m.Run), ProcessID{m.Name, m.Run}}
		if len(best) == collectors && x.hash <= best[collectors-1].hash {
			continue
		}
		at := slices.IndexFunc(best, func(o candidate) bool { return x.hash > o.hash })
		if at < 0 {
			at = len(best)
		}
		if best = slices.Insert(best, at, x); len(best) > collectors {
			best = best[:collectors]
		}
	}
	var all []ProcessID
	for _, x := range best {
		all = append(all, x.who)
	}
	return all
}

// zoneSum is what is known of one zone.
type zoneSum struct {
	region, zone string
	serving      int     // members that serve, as the view has it
	cores        float64 // that these have told, however long ago: machines do not change
	best         Aggregate
	found        bool
	age          time.Duration
}

// sumOfZones adds up the sums of all zones. One collector's word is bounded by what the members of its zone can do at
// most; of two, the one that has counted more members is believed.
func sumOfZones(view *fleet.Snapshot, at time.Duration) (s Aggregate) {
	var zones []zoneSum
	for i := range view.Members {
		m := &view.Members[i]
		if m.Liveness != fleet.Alive || m.State != fleet.Serving && m.State != fleet.Warming {
			continue
		}
		k := slices.IndexFunc(zones, func(z zoneSum) bool { return z.zone == m.Zone && z.region == m.Region })
		if k < 0 {
			k = len(zones)
			zones = append(zones, zoneSum{region: m.Region, zone: m.Zone})
		}
		z := &zones[k]
		z.serving++
		z.cores += m.Load.Capacity
		if m.Load.Aggregate == "" || m.Age(at) > sumFresh {
			continue
		}
		if sum, err := ParseAggregate([]byte(m.Load.Aggregate)); err == nil && (!z.found || sum.Members > z.best.Members) {
			z.best, z.found, z.age = sum, true, m.Age(at)
		}
	}
	for i := range zones {
		z := &zones[i]
		if !z.found {
			s.Stale += z.serving
			continue
		}
		z.best.Oldest += z.age
		z.best.bound(z.serving, z.cores)
		s.join(&z.best)
		s.Stale += z.serving - z.best.Members
	}
	return s
}

// join adds o to s.
func (s *Aggregate) join(o *Aggregate) {
	s.Members += o.Members
	s.Oldest = max(s.Oldest, o.Oldest)
	mine, others := s.figures(), o.figures()
	for i := range mine {
		*mine[i] += *others[i]
	}
	for i, v := range o.Demand {
		s.Demand[i] += v
	}
}

// bound holds a sum to what so many members with so many cores can have told.
func (s *Aggregate) bound(members int, cores float64) {
	s.Members = min(s.Members, members)
	s.ServiceRate = min(s.ServiceRate, paceMost*cores)
	s.Cores = min(s.Cores, cores)
	s.InUse, s.Retries = min(s.InUse, s.Cores), min(s.Retries, s.Attempts)
	if total := s.Demand.Total(); total > readsMost*s.ServiceRate {
		s.Demand.scale(readsMost * s.ServiceRate / total)
	}
}

// AggregateOf is what one member tells of itself as a sum of one, bounded by what a server can do.
func AggregateOf(l *fleet.Load) (s Aggregate) {
	s.Members = 1
	s.ServiceRate = paceOf(l.ServiceRate, l.Capacity)
	factor, total := 1.0, offered(l.Demand)
	if total > readsMost*s.ServiceRate {
		factor = readsMost * s.ServiceRate / total
	}
	s.Demand.add(l.Demand, factor)
	s.Attempts, s.Retries = l.Attempts, l.Attempts*min(l.RetryRatio, 1)
	if l.Busy >= 0 {
		s.Cores, s.InUse = l.Capacity, l.Capacity*min(l.Busy, 1)
	}
	return s
}
