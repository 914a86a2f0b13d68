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
func (z *Zone) Unreachable() bool { return z.Known >= zoneLeast && 2*z.Count[Silent] >= z.Known }

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
	s := &Snapshot{At: now, LastReceived: v.heard, Self: v.self, Members: make([]Member, 0, len(v.names))}
	fresh := v.fresh()
	for _, name := range v.names {
		e := v.entries[name]
		m := Member{Record: e.rec, Liveness: e.standing(now, fresh), Self: name == v.self, RecordedAt: e.made, Since: e.met}
		if c := e.current(); c != nil {
			m.Since = c.since
		}
		if m.Record == nil {
			m.Record = &Record{Name: name}
			m.RecordedAt = e.met
			if len(e.runs) > 0 {
				m.Record.Run = e.runs[len(e.runs)-1].run
			}
		}
		if m.Self && m.Liveness != Left {
			m.Liveness = Alive
			if m.Stalled > 0 {
				m.Liveness = Wedged
			}
		}
		s.Members = append(s.Members, m)
		s.zone(m.Region, m.Zone).add(m.Liveness)
		s.Total.add(m.Liveness)
	}
	s.Position = s.position(v.anyone)
	return s
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

func (z *Zone) add(s Liveness) {
	z.Count[s]++
	if s != Left {
		z.Known++
	}
}

// position counts those that were heard of but not met as nothing: a word that still goes round says nothing of now.
// Dead ones do not make an observer cut off, as their machines answer.
func (s *Snapshot) position(anyone bool) Position {
	t := &s.Total
	switch lost := t.Count[Silent] + t.Count[Dead] + t.Count[Wedged]; {
	case t.Count[Silent] > 0 && t.Count[Silent] >= t.Reached():
		return Partitioned
	case !anyone:
		return Alone
	case lost+t.Count[Suspect] > 0:
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
	h := fnv.New64a()
	var b []byte
	for i := range s.Members {
		if m := &s.Members[i]; m.Liveness == Alive || m.Liveness == Wedged {
			b = append(b[:0], m.Process()...)
			b = append(b, byte(m.State), byte(m.Liveness))
			h.Write(b)
		}
	}
	return h.Sum64()
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
func (s *Snapshot) Aggregate(now, fresh time.Duration) (t Aggregate) {
	for i := range s.Members {
		m := &s.Members[i]
		if !m.Serves(now, fresh) {
			if m.Liveness == Alive && m.Age(now) > fresh {
				t.Stale++
			}
			continue
		}
		if t.Members++; m.Load.ServiceRate > 0 {
			if t.ServiceRate == 0 {
				t.MinThreshold = m.Load.Threshold
			}
			t.ServiceRate += m.Load.ServiceRate
			t.Attempts += m.Load.Attempts
			t.Retries += m.Load.Attempts * m.Load.RetryRatio
			t.MinThreshold, t.MaxThreshold = min(t.MinThreshold, m.Load.Threshold), max(t.MaxThreshold, m.Load.Threshold)
		}
		t.CallQuota += m.Load.CallQuota
		t.MeanCalls += m.Load.MeanCalls
		t.Capacity += m.Load.Capacity
		t.Busy += m.Load.Capacity * max(m.Load.Busy, 0)
		t.InFlight += m.Load.InFlight
		t.Oldest = max(t.Oldest, m.Age(now))
	}
	return t
}
