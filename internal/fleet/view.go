package fleet

import (
	"slices"
	"time"
)

// Reach is what the failure detection says of a process, as this observer has it.
type Reach uint8

const (
	NeverMet Reach = iota // others spoke of it
	Reached               // it answers, here or at somebody who was asked to try, or may still object
	Lost                  // it did not answer, and did not object in time
)

// Evidence is what a call to the address of a lost process showed: by itself loss says only that nothing comes back.
type Evidence uint8

const (
	NoEvidence         Evidence = iota // not tried, or not over
	ConnectionRefused                  // its machine answers, and nothing listens there
	ConnectionAccepted                 // something takes the call and does not speak
	Unanswered                         // nothing comes back, not even a refusal
)

// Liveness is what an observer makes of a member.
type Liveness uint8

const (
	Unmet Liveness = iota // others spoke of it, and it was not met
	Alive
	Suspect // it is reached, but its word or that of its next process is overdue
	Wedged  // its process is there and says nothing of use: stopped, or its loop stands still
	Silent  // cut off, as seen from here; it may be well
	Dead    // its machine answers that it is not there
	Left    // it said good-bye
)

var livenessNames = [...]string{"heard of", "alive", "suspect", "wedged", "cut off", "dead", "left"}

func (liveness Liveness) String() string { return livenessNames[liveness] }

// Bounds of a view.
const (
	leftRetention     = 5 * time.Minute // a member that left is listed for that long
	unmetRetention    = 10 * time.Minute
	clockDriftDivisor = 2000 // clocks of two machines drift apart by less than one part in this many
	maxObservations   = 4    // processes of one name whose reach is kept
	// minZoneMembers is the least number of members by which silence of a zone is told from that of a member.
	minZoneMembers = 2
)

// Limits bound a view.
type Limits struct {
	Members     int           // names that it holds
	ForgetAfter time.Duration // a member that was not reached for that long is dropped
}

// entry is what a view holds of one name.
type entry struct {
	record           *Record // nil: no word yet
	recordedAt       time.Duration
	startedAt        time.Duration // least (receipt - Up) of the process so far: when it started, at the latest
	startEstimatedAt time.Duration // when base was last compared
	observations     []observation // newest last
	lastReached      time.Duration // when any of its processes was last reached, or first heard of
}

// observation is what was seen of one process.
type observation struct {
	run      uint64
	reach    Reach
	evidence Evidence
	since    time.Duration
}

// View is the state from which snapshots are made. It belongs to one goroutine.
type View struct {
	self         string
	limits       Limits
	entries      map[string]*entry
	names        []string // in order
	lastReceived time.Duration
	everReceived bool   // a word of another member was ever heard
	dropped      uint64 // names that there was no room for
}

// NewView returns the view of the member called self: empty.
func NewView(self string, limits Limits) *View {
	return &View{self: self, limits: limits, entries: map[string]*entry{}}
}

// Dropped is how many words were dropped for want of room.
func (v *View) Dropped() uint64 { return v.dropped }

// Size is how many names are known.
func (v *View) Size() int { return len(v.names) }

// Merge joins a word that is said to be that old, and reports whether it is news: newer than what is known of its
// name. Joining is commutative and idempotent: what is known of a name at last is the greatest word by Less,
// whatever the order in which words came. Only its age is an estimate. It is the least that is possible: time on the
// way that nobody has counted is told from the member's own clock, as far as an earlier word came faster.
func (v *View) Merge(now, age time.Duration, record Record) bool {
	entry := v.entryFor(now, record.Name)
	if entry == nil {
		return false
	}
	if record.Name != v.self {
		v.lastReceived, v.everReceived = max(v.lastReceived, now), true
	}
	switch {
	case entry.record == nil || entry.record.Run != record.Run && entry.record.Less(&record):
		entry.startedAt = now - age - record.Up
	case entry.record.Run == record.Run:
		entry.startedAt = min(entry.startedAt+max(now-entry.startEstimatedAt, 0)/clockDriftDivisor, now-age-record.Up)
	default:
		return false // a process that has been overtaken
	}
	entry.startEstimatedAt = now
	recordedAt := min(now-age, entry.startedAt+record.Up)
	if entry.record == nil || entry.record.Less(&record) {
		entry.record, entry.recordedAt = &record, recordedAt
		return true
	}
	if entry.record.Seq == record.Seq {
		entry.recordedAt = min(entry.recordedAt, recordedAt)
	}
	return false
}

// Known returns the word in force of a name, or nil.
func (v *View) Known(name string) *Record {
	if entry := v.entries[name]; entry != nil {
		return entry.record
	}
	return nil
}

// SupersededBy returns the word that r falls short of, if that is another process's, and when it was made. Whoever told r
// has to hear it: a process that has just started under a name, with a clock that was set back, raises itself then.
func (v *View) SupersededBy(record *Record) (by *Record, recordedAt time.Duration) {
	if entry := v.entries[record.Name]; entry != nil && entry.record != nil && entry.record.Run != record.Run && record.Less(entry.record) {
		return entry.record, entry.recordedAt
	}
	return nil, 0
}

// ObserveReach notes what the failure detection says of a process.
func (v *View) ObserveReach(now time.Duration, name string, run uint64, reach Reach) {
	entry := v.entryFor(now, name)
	if entry == nil {
		return
	}
	seen := entry.observationOf(run)
	if seen == nil {
		if len(entry.observations) >= maxObservations {
			entry.observations = slices.Delete(entry.observations, 0, 1)
		}
		entry.observations = append(entry.observations, observation{run: run, since: now})
		seen = &entry.observations[len(entry.observations)-1]
	}
	if seen.reach != reach {
		seen.reach, seen.evidence, seen.since = reach, NoEvidence, now
	}
	if reach == Reached {
		entry.lastReached = now
	}
}

// RecordEvidence notes what a call to a lost process showed. It counts for as long as the process is lost.
func (v *View) RecordEvidence(name string, run uint64, evidence Evidence) {
	if entry := v.entries[name]; entry != nil {
		if seen := entry.observationOf(run); seen != nil && seen.reach == Lost {
			seen.evidence = evidence
		}
	}
}

// Forget drops who has not been reached for long.
func (v *View) Forget(now time.Duration) {
	fresh := v.freshAge()
	for _, name := range slices.Clone(v.names) {
		entry := v.entries[name]
		if name == v.self {
			continue
		}
		retention := v.limits.ForgetAfter
		switch entry.liveness(now, fresh) {
		case Left:
			retention = min(retention, leftRetention)
		case Unmet:
			retention = min(retention, unmetRetention)
		case Alive, Suspect, Wedged:
			continue
		}
		if now-entry.lastReached > retention {
			v.remove(name)
		}
	}
}

func (v *View) remove(name string) {
	delete(v.entries, name)
	if i, ok := slices.BinarySearch(v.names, name); ok {
		v.names = slices.Delete(v.names, i, i+1)
	}
}

// entryFor returns the entry of a name, a new one if there is room: strangers to the limit must not push out members,
// so only who is gone makes room.
func (v *View) entryFor(now time.Duration, name string) *entry {
	if entry := v.entries[name]; entry != nil {
		return entry
	}
	if len(v.names) >= v.limits.Members && !v.evict(now) {
		v.dropped++
		return nil
	}
	entry := &entry{lastReached: now}
	v.entries[name] = entry
	i, _ := slices.BinarySearch(v.names, name)
	v.names = slices.Insert(v.names, i, name)
	return entry
}

// evict drops the member that has been gone for longest.
func (v *View) evict(now time.Duration) bool {
	longestGone := ""
	for _, name := range v.names {
		if liveness := v.entries[name].liveness(now, v.freshAge()); name == v.self || liveness != Left && liveness != Dead {
			continue
		}
		if longestGone == "" || v.entries[name].lastReached < v.entries[longestGone].lastReached {
			longestGone = name
		}
	}
	if longestGone != "" {
		v.remove(longestGone)
	}
	return longestGone != ""
}

func (e *entry) observationOf(run uint64) *observation {
	for i := range e.observations {
		if e.observations[i].run == run {
			return &e.observations[i]
		}
	}
	return nil
}

// currentObservation is the sight of the process whose word is in force; where no word has come, of the one seen last.
func (e *entry) currentObservation() *observation {
	if e.record != nil {
		return e.observationOf(e.record.Run)
	}
	if len(e.observations) == 0 {
		return nil
	}
	return &e.observations[len(e.observations)-1]
}

// freshAge is how old the word of a member may be before it is overdue.
func (v *View) freshAge() time.Duration { return Fresh(len(v.names)) }

func (e *entry) liveness(now, fresh time.Duration) Liveness {
	current := e.currentObservation()
	switch {
	case e.record != nil && e.record.State == Stopped:
		return Left
	case current == nil:
		return Unmet
	case current.reach == Reached && e.record != nil && e.record.Stalled > 0:
		return Wedged
	case current.reach == Reached && now-current.since > fresh && (e.record == nil || now-e.recordedAt > fresh):
		return Suspect
	case current.reach == Reached:
		return Alive
	case current.reach != Lost:
		return Unmet
	}
	for i := range e.observations {
		if e.observations[i].reach == Reached {
			return Suspect // the next process of the name is there, and its word has not come yet
		}
	}
	switch current.evidence {
	case ConnectionRefused:
		return Dead
	case ConnectionAccepted:
		return Wedged
	}
	return Silent
}
