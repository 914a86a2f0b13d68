package fleet

import (
	"hash/fnv"
	"slices"
	"sort"
	"strings"
	"time"
)

// Member is a member in a snapshot. Times are on the observer's clock.
type Member struct {
	*Record    // shared between snapshots, and never changed; without a received record it holds just the name and Run
	Liveness   Liveness
	Self       bool          // the observer itself
	RecordedAt time.Duration // latest time at which the record can have been published; entry.lastReached if none
	Since      time.Duration // when the failure detection's result for its process last changed; entry.lastReached if none
}

// Age returns the age of the record, a lower bound.
func (m *Member) Age(now time.Duration) time.Duration { return max(now-m.RecordedAt, 0) }

// Condition returns the name of the state that the member reports. If the member is not alive or its state is not known, it
// returns the name of its liveness.
func (m *Member) Condition() string {
	if m.reportsState() {
		return m.State.String()
	}
	return m.Liveness.String()
}

// reportsState reports whether the member is alive and its state is known.
func (m *Member) reportsState() bool { return m.Liveness == Alive && m.State != 0 }

// AcceptsRequests reports whether the member is alive and accepts requests according to its last record, of whatever age.
func (m *Member) AcceptsRequests() bool { return m.Liveness == Alive && m.State.acceptsRequests() }

// Serves reports whether the member is alive and accepts requests according to a record no older than maxAge.
func (m *Member) Serves(now, maxAge time.Duration) bool {
	return m.AcceptsRequests() && m.Age(now) <= maxAge
}

func (m *Member) reached() bool { return m.Liveness == Alive || m.Liveness == Suspect }

// lost reports whether the failure detection has lost the member. A member that itself publishes that its loop stalls is
// not lost.
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

// minZoneMembers is the minimum size of a zone that MostlyUnreachable can report. In a zone of a single member, a partition
// of the zone cannot be told from a partition of the member alone.
const minZoneMembers = 2

// Zone counts the members of one zone.
type Zone struct {
	Region, Zone string
	Known        int           // members that have not left
	Count        [Left + 1]int // members by Liveness
}

// Reached returns the number of members that are reached.
func (z *Zone) Reached() int { return z.Count[Alive] + z.Count[Suspect] }

// MostlyUnreachable reports whether at least half of the zone's members are unreachable. A partition of the zone is then
// more likely than so many separate failures.
func (z *Zone) MostlyUnreachable() bool {
	return z.Known >= minZoneMembers && 2*z.Count[Unreachable] >= z.Known
}

func (z *Zone) add(liveness Liveness) {
	z.Count[liveness]++
	if liveness != Left {
		z.Known++
	}
}

// Position describes how well an observer is connected to its fleet.
type Position uint8

// The positions of an observer, which itself counts as reached unless its loop stalls. A partitioned observer must not act for
// the fleet. The numbers are published as a metric.
const (
	Alone              Position = iota // no record of another member was ever received
	FullyConnected                     // no member is unreachable, failed, stalled or suspect
	PartiallyConnected                 // some members are, but fewer are unreachable than are reached
	Partitioned                        // at least as many members are unreachable as are reached
)

var positionNames = [...]string{
	Alone: "alone", FullyConnected: "fully connected", PartiallyConnected: "partially connected",
	Partitioned: "partitioned",
}

func (p Position) String() string { return positionNames[p] }

// Snapshot is a View at one instant. It is immutable and safe for concurrent use. Times are on the observer's clock.
type Snapshot struct {
	At           time.Duration
	LastReceived time.Duration // when a record of another member was last received; 0: never
	Self         string        // name of the observer
	Position     Position
	Members      []Member // sorted by name
	Zones        []Zone   // sorted by region and zone
	Total        Zone     // counts the members of all zones
}

// Snapshot returns a snapshot of the view at now.
func (v *View) Snapshot(now time.Duration) *Snapshot {
	snapshot := &Snapshot{
		At: now, LastReceived: v.lastReceived, Self: v.self, Members: make([]Member, len(v.names)),
	}
	maxAge := v.maxRecordAge()
	for i, name := range v.names {
		member := &snapshot.Members[i]
		member.Self = name == v.self
		v.entries[name].describe(member, name, now, maxAge)
		snapshot.ensureZone(member.Region, member.Zone).add(member.Liveness)
		snapshot.Total.add(member.Liveness)
	}
	snapshot.Position = snapshot.position(v.everReceived)
	return snapshot
}

// describe fills in member, whose name is given, from its entry.
func (e *entry) describe(member *Member, name string, now, maxAge time.Duration) {
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
	member.Liveness = e.liveness(now, maxAge)
	if member.Self && member.Liveness != Left {
		member.Liveness = selfLiveness(member.Record)
	}
}

// selfLiveness returns the liveness of the observer itself, which its failure detection does not cover.
func selfLiveness(record *Record) Liveness {
	if record.Stalled > 0 {
		return Stalled
	}
	return Alive
}

// placeholderRecord returns a record with the name and, if known, the Run of a member whose record was not received yet.
func (e *entry) placeholderRecord(name string) *Record {
	record := &Record{Name: name}
	if len(e.observations) > 0 {
		record.Run = e.observations[len(e.observations)-1].run
	}
	return record
}

// findZone returns the index of a zone, or the index at which to insert it.
func (s *Snapshot) findZone(region, zone string) (index int, found bool) {
	return sort.Find(len(s.Zones), func(i int) int {
		known := &s.Zones[i]
		if order := strings.Compare(region, known.Region); order != 0 {
			return order
		}
		return strings.Compare(zone, known.Zone)
	})
}

// ensureZone returns a zone, which it adds if there is none.
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

// position returns the position of the observer. Unconfirmed members do not count: a record that is still passed on says
// nothing about the present. Failed members do not make the observer partitioned, as their machines respond to it.
func (s *Snapshot) position(everReceived bool) Position {
	total := &s.Total
	unavailable := total.Count[Unreachable] + total.Count[Failed] + total.Count[Stalled]
	unreachable := total.Count[Unreachable]
	switch {
	case unreachable > 0 && unreachable >= total.Reached():
		return Partitioned
	case !everReceived:
		return Alone
	case unavailable+total.Count[Suspect] > 0:
		return PartiallyConnected
	}
	return FullyConnected
}

// Find returns the member called name, or nil.
func (s *Snapshot) Find(name string) *Member {
	i, found := slices.BinarySearchFunc(s.Members, name, func(member Member, name string) int {
		return strings.Compare(member.Name, name)
	})
	if !found {
		return nil
	}
	return &s.Members[i]
}

// AgreementDigest returns a digest of the facts on which all members that reach one another should agree: the
// processes that are alive or stalled, and the state that each reports.
func (s *Snapshot) AgreementDigest() uint64 {
	digest := fnv.New64a()
	var encoded []byte
	for i := range s.Members {
		member := &s.Members[i]
		if member.Liveness != Alive && member.Liveness != Stalled {
			continue
		}
		encoded = append(encoded[:0], member.Process()...)
		encoded = append(encoded, byte(member.State), byte(member.Liveness))
		_, _ = digest.Write(encoded) // never returns an error
	}
	return digest.Sum64()
}
