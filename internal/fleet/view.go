package fleet

import (
	"slices"
	"time"
)

// clockDriftDivisor bounds the drift between the clocks of two machines: less than one part in this many.
const clockDriftDivisor = 2000

// Limits bound a view.
type Limits struct {
	Members     int           // names that it holds
	ForgetAfter time.Duration // a member that was not reached for that long is removed
}

// View is the mutable state from which snapshots are made. It belongs to one goroutine.
type View struct {
	self         string
	limits       Limits
	entries      map[string]*entry
	names        []string // sorted
	lastReceived time.Duration
	everReceived bool   // a record of another member was received
	dropped      uint64 // names rejected for want of room
}

// NewView returns the empty view of the member called self.
func NewView(self string, limits Limits) *View {
	return &View{self: self, limits: limits, entries: map[string]*entry{}}
}

// Dropped is how often a new name was rejected because the view was full.
func (v *View) Dropped() uint64 { return v.dropped }

// Size is how many names are known.
func (v *View) Size() int { return len(v.names) }

// Merge merges a record of the given age, and returns whether it is newer than what is known of its name.
//
// Merging is commutative and idempotent: the record that holds of a name in the end is the greatest by Record.Less,
// whatever the order of receipt. Only its age is an estimate, and a lower bound: time in transit, which nobody counted,
// is inferred from the member's own uptime, as far as an earlier record was faster.
func (v *View) Merge(now, age time.Duration, record Record) bool {
	entry := v.entryFor(now, record.Name)
	if entry == nil {
		return false
	}
	if record.Name != v.self {
		v.lastReceived = max(v.lastReceived, now)
		v.everReceived = true
	}
	return entry.merge(now, age, &record)
}

// Known returns the current record of a name, or nil.
func (v *View) Known(name string) *Record {
	if entry := v.entries[name]; entry != nil {
		return entry.record
	}
	return nil
}

// SupersededBy returns the record of another process that supersedes the given one, and when it was published; nil if
// there is none. The sender of the given record has to receive it: a process that was started with a clock that had
// been set back raises its incarnation then.
func (v *View) SupersededBy(record *Record) (by *Record, recordedAt time.Duration) {
	entry := v.entries[record.Name]
	if entry == nil || entry.record == nil {
		return nil, 0
	}
	if entry.record.Run == record.Run || !record.Less(entry.record) {
		return nil, 0
	}
	return entry.record, entry.recordedAt
}

// ObserveReach records what the failure detection reports of a process.
func (v *View) ObserveReach(now time.Duration, name string, run uint64, reach Reach) {
	entry := v.entryFor(now, name)
	if entry == nil {
		return
	}
	observed := entry.observe(now, run)
	if observed.reach != reach {
		observed.reach = reach
		observed.evidence = NoEvidence
		observed.since = now
	}
	if reach == Reached {
		entry.lastReached = now
	}
}

// RecordEvidence records the result of a dial to a lost process. It counts for as long as the process is lost.
func (v *View) RecordEvidence(name string, run uint64, evidence Evidence) {
	entry := v.entries[name]
	if entry == nil {
		return
	}
	if observed := entry.observationOf(run); observed != nil && observed.reach == Lost {
		observed.evidence = evidence
	}
}

// freshAge is the greatest age of a record that is not overdue.
func (v *View) freshAge() time.Duration { return MaxFreshAge(len(v.names)) }

// entryFor returns the entry of a name. A new one is made if there is room: new names must not displace members, so
// that only one that left or is dead makes room. It returns nil if there is none.
func (v *View) entryFor(now time.Duration, name string) *entry {
	if known := v.entries[name]; known != nil {
		return known
	}
	if len(v.names) >= v.limits.Members && !v.evict(now) {
		v.dropped++
		return nil
	}
	added := &entry{lastReached: now}
	v.entries[name] = added
	i, _ := slices.BinarySearch(v.names, name)
	v.names = slices.Insert(v.names, i, name)
	return added
}
