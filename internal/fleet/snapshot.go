package fleet

import (
	"hash/fnv"
	"slices"
	"sort"
	"strings"
	"time"
)

// Member is one member in a snapshot. Its record is shared and never changes.
type Member struct {
	*Record
	Liveness   Liveness
	Self       bool
	RecordedAt time.Duration // latest possible time at which the record was published; on the observer's clock
	Since      time.Duration // when its process was first reached, or first not reached, without a change since
}

// Age is the least age of the record.
func (m *Member) Age(now time.Duration) time.Duration { return max(now-m.RecordedAt, 0) }

// Condition is the state that a member reports where it is alive, and else the conclusion of the observer.
func (m *Member) Condition() string {
	if m.reportsState() {
		return m.State.String()
	}
	return m.Liveness.String()
}

// reportsState reports whether the member is alive and has published its state.
func (m *Member) reportsState() bool { return m.Liveness == Alive && m.State != 0 }

// AcceptsRequests reports whether the member is alive and accepts requests by its last record, however old that is.
func (m *Member) AcceptsRequests() bool { return m.Liveness == Alive && m.State.acceptsRequests() }

// Serves reports whether the member is alive and accepts requests by a record that is no older than fresh.
func (m *Member) Serves(now, fresh time.Duration) bool {
	return m.AcceptsRequests() && m.Age(now) <= fresh
}

func (m *Member) reached() bool { return m.Liveness == Alive || m.Liveness == Suspect }

// lost reports whether the failure detection has lost the member. One that reports itself that its loop stalls is
// reached.
func (m *Member) lost() bool {
	switch m.Liveness {
	case Unreachable, Failed:
		return true
	case Stalled:
		return m.Stalled == 0
	default:
		return false
	}
}

// minZoneMembers is the number of members from which on a zone can be called unreachable, as against one member.
const minZoneMembers = 2

// Zone counts the members of one zone.
type Zone struct {
	Region, Zone string
	Known        int           // all but those that left
	Count        [Left + 1]int // by Liveness
}

// Reached is how many of its members are reached.
func (z *Zone) Reached() int { return z.Count[Alive] + z.Count[Suspect] }

// MostlyUnreachable reports whether at least half of the zone is unreachable: a partition is likelier than so many failures.
func (z *Zone) MostlyUnreachable() bool {
	return z.Known >= minZoneMembers && 2*z.Count[Unreachable] >= z.Known
}

func (z *Zone) add(liveness Liveness) {
	z.Count[liveness]++
	if liveness != Left {
		z.Known++
	}
}

// Position is how well an observer is connected to its fleet.
type Position uint8

// Positions of an observer. Their numbers are published as a metric.
const (
	Alone              Position = iota // no record of another member was ever received
	FullyConnected                     // all known members are reached
	PartiallyConnected                 // most of them are
	Partitioned                        // as many are unreachable as are reached, or more: it must not act for the fleet
)

var positionNames = [...]string{
	Alone: "alone", FullyConnected: "fully connected", PartiallyConnected: "partially connected",
	Partitioned: "partitioned",
}

func (p Position) String() string { return positionNames[p] }

// Snapshot is a view at one instant. It never changes; any goroutine may read it.
type Snapshot struct {
	At           time.Duration // on the observer's clock
	LastReceived time.Duration // when a record of another member was last received; 0 = never
	Self         string
	Position     Position
	Members      []Member // by name
	Zones        []Zone   // by region and zone
	Total        Zone
}

// Snapshot returns the view as of now.
func (v *View) Snapshot(now time.Duration) *Snapshot {
	snapshot := &Snapshot{
		At: now, LastReceived: v.lastReceived, Self: v.self, Members: make([]Member, len(v.names)),
	}
	fresh := v.freshAge()
	for i, name := range v.names {
		member := &snapshot.Members[i]
		member.Self = name == v.self
		v.entries[name].describe(member, name, now, fresh)
		snapshot.ensureZone(member.Region, member.Zone).add(member.Liveness)
		snapshot.Total.add(member.Liveness)
	}
	snapshot.Position = snapshot.position(v.everReceived)
	return snapshot
}

// describe sets the member of that name from its entry.
func (e *entry) describe(member *Member, name string, now, fresh time.Duration) {
	member.Record = e.record
	member.RecordedAt = e.recordedAt
	if e.record == nil {
		member.Record = e.placeholderRecord(name)
		member.RecordedAt = e.lastReached
	}
	member.Since = e.lastReached
	if current := e.currentObservation(); current != nil {
		member.Since = current.since
	}
	member.Liveness = e.liveness(now, fresh)
	if member.Self && member.Liveness != Left {
		member.Liveness = selfLiveness(member.Record)
	}
}

// selfLiveness is the liveness of the observer itself, which its own failure detection says nothing of.
func selfLiveness(record *Record) Liveness {
	if record.Stalled > 0 {
		return Stalled
	}
	return Alive
}

// placeholderRecord stands for a record that was not received yet.
func (e *entry) placeholderRecord(name string) *Record {
	record := &Record{Name: name}
	if len(e.observations) > 0 {
		record.Run = e.observations[len(e.observations)-1].run
	}
	return record
}

// findZone returns the index of a zone, or where it belongs.
func (s *Snapshot) findZone(region, zone string) (index int, found bool) {
	return sort.Find(len(s.Zones), func(i int) int {
		known := &s.Zones[i]
		if order := strings.Compare(region, known.Region); order != 0 {
			return order
		}
		return strings.Compare(zone, known.Zone)
	})
}

// ensureZone returns a zone, which it adds where it is new.
func (s *Snapshot) ensureZone(region, zone string) *Zone {
	i, found := s.findZone(region, zone)
	if !found {
		s.Zones = slices.Insert(s.Zones, i, Zone{Region: region, Zone: zone})
	}
	return &s.Zones[i]
}

// zoneNamed returns a zone, or nil.
func (s *Snapshot) zoneNamed(region, zone string) *Zone {
	i, found := s.findZone(region, zone)
	if !found {
		return nil
	}
	return &s.Zones[i]
}

// position does not count members that were never met: a record that is still passed on says nothing of the present.
// Failed members do not make an observer partitioned, as their machines answer.
func (s *Snapshot) position(everReceived bool) Position {
	total := &s.Total
	lost := total.Count[Unreachable] + total.Count[Failed] + total.Count[Stalled]
	unreachable := total.Count[Unreachable]
	switch {
	case unreachable > 0 && unreachable >= total.Reached():
		return Partitioned
	case !everReceived:
		return Alone
	case lost+total.Count[Suspect] > 0:
		return PartiallyConnected
	}
	return FullyConnected
}

// Find returns the member of that name, or nil.
func (s *Snapshot) Find(name string) *Member {
	i, found := slices.BinarySearchFunc(s.Members, name, func(member Member, name string) int {
		return strings.Compare(member.Name, name)
	})
	if !found {
		return nil
	}
	return &s.Members[i]
}

// Agreement is a digest of what should be the same at all members that reach one another: which processes are alive,
// and the state that each reports.
func (s *Snapshot) Agreement() uint64 {
	digest := fnv.New64a()
	var encoded []byte
	for i := range s.Members {
		member := &s.Members[i]
		if member.Liveness != Alive && member.Liveness != Stalled {
			continue
		}
		encoded = append(encoded[:0], member.Process()...)
		encoded = append(encoded, byte(member.State), byte(member.Liveness))
		_, _ = digest.Write(encoded) // a hash takes everything
	}
	return digest.Sum64()
}
