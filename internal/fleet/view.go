package fleet

import (
	"slices"
	"time"
)

// clockDriftDivisor bounds the drift between the clocks of two machines: they drift apart by less than 1/2000 of the
// elapsed time.
const clockDriftDivisor = 2000

// Limits bound a view.
type Limits struct {
	Members     int           // maximum number of names
	ForgetAfter time.Duration // a lost member is removed if it was not reached for longer
}

// View holds the knowledge of one observer about its fleet. It is mutable and belongs to one goroutine; Snapshot copies it
// for others.
type View struct {
	self          string // name of the observer
	limits        Limits
	entries       map[string]*entry // by name
	names         []string          // sorted
	lastReceived  time.Duration     // when a record of another member was last received
	everReceived  bool              // a record of another member was received
	rejectedNames uint64            // attempts to add a name while the view was full and no member could be evicted
}

// NewView returns an empty view for the member called self.
func NewView(self string, limits Limits) *View {
	return &View{self: self, limits: limits, entries: map[string]*entry{}}
}

// RejectedNames returns how often a new name was rejected because the view was full.
func (v *View) RejectedNames() uint64 { return v.rejectedNames }

// Size returns the number of names in the view.
func (v *View) Size() int { return len(v.names) }

// Merge merges a record of the given age. It returns true if the record is greater, by Record.Less, than the one known
// under its name.
//
// Merging is commutative and idempotent: the view ends up with the greatest record of each name, in whatever order and
// however often records arrive. The age of a record is an estimate and a lower bound, see startEstimate.
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

// CurrentRecord returns the greatest record received of a name, or nil.
func (v *View) CurrentRecord(name string) *Record {
	if entry := v.entries[name]; entry != nil {
		return entry.record
	}
	return nil
}

// SupersededBy returns the record of another process that supersedes the given one, and the latest time at which that record
// can have been published. It returns nil if there is none. The caller must send the result to the process that published
// the given record: if that process started after its clock was set back, it then raises its incarnation.
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

// ObserveReach records a result of the failure detection for a process.
func (v *View) ObserveReach(now time.Duration, name string, run uint64, reach Reach) {
	entry := v.entryFor(now, name)
	if entry == nil {
		return
	}
	observed := entry.observe(now, run)
	if observed.reach != reach {
		observed.reach = reach
		observed.dialOutcome = OutcomeUnknown
		observed.since = now
	}
	if reach == Reached {
		entry.lastReached = now
	}
}

// RecordDialOutcome records the outcome of a dial to a lost process. The outcome is kept until the process is reached.
func (v *View) RecordDialOutcome(name string, run uint64, outcome DialOutcome) {
	entry := v.entries[name]
	if entry == nil {
		return
	}
	if observed := entry.observationOf(run); observed != nil && observed.reach == Lost {
		observed.dialOutcome = outcome
	}
}

// maxRecordAge returns the maximum age of a record that is not overdue.
func (v *View) maxRecordAge() time.Duration { return MaxFreshAge(len(v.names)) }

// entryFor returns the entry of a name, which it adds if there is none. In a full view it evicts a member that left or
// failed, and never one that may be alive. It returns nil if there is none to evict.
func (v *View) entryFor(now time.Duration, name string) *entry {
	if known := v.entries[name]; known != nil {
		return known
	}
	if len(v.names) >= v.limits.Members && !v.evict(now) {
		v.rejectedNames++
		return nil
	}
	added := &entry{lastReached: now}
	v.entries[name] = added
	i, _ := slices.BinarySearch(v.names, name)
	v.names = slices.Insert(v.names, i, name)
	return added
}
