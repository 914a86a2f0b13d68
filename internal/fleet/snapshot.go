package fleet

import (
	"hash/fnv"
	"slices"
	"strings"
	"time"
)

// Member is one line of a snapshot. The record is shared and never changed.
type Member struct {
	*Record
	Liveness   Liveness
	Self       bool
	RecordedAt time.Duration // when the record was told, at the latest; on the observer's clock
	Since      time.Duration // of the reach that the standing goes by
}

// Age is how long ago the record was told, at least.
func (m *Member) Age(now time.Duration) time.Duration { return max(now-m.RecordedAt, 0) }

// Condition is what the member tells of itself where it is reached, and else what the observer makes of it.
func (m *Member) Condition() string {
	if m.Liveness == Alive && m.State != 0 {
		return m.State.String()
	}
	return m.Liveness.String()
}

// Serves reports whether the member is reached and takes work, by a word that is no older than fresh.
func (m *Member) Serves(now, fresh time.Duration) bool {
	return m.Liveness == Alive && (m.State == Serving || m.State == Warming) && m.Age(now) <= fresh
}

// Zone sums up the members of one zone.
type Zone struct {
	Region, Zone string
	Known        int // all but those that left
	Count        [Left + 1]int
}

// Reached is how many of its members answer in some way.
func (z *Zone) Reached() int { return z.Count[Alive] + z.Count[Suspect] }

// Unreachable reports whether at least half of what was a zone is silent: that is more likely a cut than so many deaths.
func (z *Zone) Unreachable() bool { return z.Known >= minZoneMembers && 2*z.Count[Silent] >= z.Known }

// Position is how an observer stands to its fleet.
type Position uint8

const (
	Alone              Position = iota // no other member was ever heard
	FullyConnected                     // everybody known is reached
	PartiallyConnected                 // some are not, and most are
	Partitioned                        // as many are silent as are reached, or more: this side must not speak for the fleet
)

var positionNames = [...]string{"alone", "whole", "torn", "cut off"}

func (p Position) String() string { return positionNames[p] }

// Snapshot is a view at one instant. Nothing in it changes any more; any goroutine may read it.
type Snapshot struct {
	At           time.Duration // on the observer's clock
	LastReceived time.Duration // when a word of another member came last; 0 = never
	Self         string
	Position     Position
	Members      []Member // by name
	Zones        []Zone   // by region and zone
	Total        Zone
}

// Snapshot returns what is known now.
func (v *View) Snapshot(now time.Duration) *Snapshot {
	snapshot := &Snapshot{At: now, LastReceived: v.lastReceived, Self: v.self, Members: make([]Member, 0, len(v.names))}
	fresh := v.freshAge()
	for _, name := range v.names {
		entry := v.entries[name]
		member := Member{Record: entry.record, Liveness: entry.liveness(now, fresh), Self: name == v.self, RecordedAt: entry.recordedAt, Since: entry.lastReached}
		if current := entry.currentObservation(); current != nil {
			member.Since = current.since
		}
		if member.Record == nil {
			member.Record = &Record{Name: name}
			member.RecordedAt = entry.lastReached
			if len(entry.observations) > 0 {
				member.Record.Run = entry.observations[len(entry.observations)-1].run
			}
		}
		if member.Self && member.Liveness != Left {
			member.Liveness = Alive
			if member.Stalled > 0 {
				member.Liveness = Wedged
			}
		}
		snapshot.Members = append(snapshot.Members, member)
		snapshot.zone(member.Region, member.Zone).add(member.Liveness)
		snapshot.Total.add(member.Liveness)
	}
	snapshot.Position = snapshot.position(v.everReceived)
	return snapshot
}

func (s *Snapshot) zone(region, zone string) *Zone {
	i, ok := slices.BinarySearchFunc(s.Zones, 0, func(z Zone, _ int) int {
		if c := strings.Compare(z.Region, region); c != 0 {
			return c
		}
		return strings.Compare(z.Zone, zone)
	})
	if !ok {
		s.Zones = slices.Insert(s.Zones, i, Zone{Region: region, Zone: zone})
	}
	return &s.Zones[i]
}

func (z *Zone) add(liveness Liveness) {
	z.Count[liveness]++
	if liveness != Left {
		z.Known++
	}
}

// position counts those that were heard of but not met as nothing: a word that still goes round says nothing of now.
// Dead ones do not make an observer cut off, as their machines answer.
func (s *Snapshot) position(everReceived bool) Position {
	total := &s.Total
	switch lost := total.Count[Silent] + total.Count[Dead] + total.Count[Wedged]; {
	case total.Count[Silent] > 0 && total.Count[Silent] >= total.Reached():
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
	i, ok := slices.BinarySearchFunc(s.Members, name, func(m Member, n string) int { return strings.Compare(m.Name, n) })
	if !ok {
		return nil
	}
	return &s.Members[i]
}

// Agreement is a digest of what should be the same at all members that can reach one another: which processes are
// alive, and what each says it does.
func (s *Snapshot) Agreement() uint64 {
	digest := fnv.New64a()
	var encoded []byte
	for i := range s.Members {
		if member := &s.Members[i]; member.Liveness == Alive || member.Liveness == Wedged {
			encoded = append(encoded[:0], member.Process()...)
			encoded = append(encoded, byte(member.State), byte(member.Liveness))
			digest.Write(encoded)
		}
	}
	return digest.Sum64()
}

// Aggregate is what members that serve have told, as far as it is fresh.
type Aggregate struct {
	Members, Stale int // counted, and left out as too old
	Capacity, Busy float64
	InFlight       int
	Oldest         time.Duration // age of the oldest word that counts

	ServiceRate, Attempts, Retries float64 // what those that cut can do and read a second, and how many tries of these are repeats
	MinThreshold, MaxThreshold     float64

	CallQuota, MeanCalls float64 // calls that all may have in hand in the mean, and have
}

// Aggregate adds up the words of serving members that are no older than fresh.
func (s *Snapshot) Aggregate(now, fresh time.Duration) (total Aggregate) {
	for i := range s.Members {
		member := &s.Members[i]
		if !member.Serves(now, fresh) {
			if member.Liveness == Alive && member.Age(now) > fresh {
				total.Stale++
			}
			continue
		}
		if total.Members++; member.Load.ServiceRate > 0 {
			if total.ServiceRate == 0 {
				total.MinThreshold = member.Load.Threshold
			}
			total.ServiceRate += member.Load.ServiceRate
			total.Attempts += member.Load.Attempts
			total.Retries += member.Load.Attempts * member.Load.RetryRatio
			total.MinThreshold, total.MaxThreshold = min(total.MinThreshold, member.Load.Threshold), max(total.MaxThreshold, member.Load.Threshold)
		}
		total.CallQuota += member.Load.CallQuota
		total.MeanCalls += member.Load.MeanCalls
		total.Capacity += member.Load.Capacity
		total.Busy += member.Load.Capacity * max(member.Load.Busy, 0)
		total.InFlight += member.Load.InFlight
		total.Oldest = max(total.Oldest, member.Age(now))
	}
	return total
}
