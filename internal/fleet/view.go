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

var standingNames = [...]string{"heard of", "alive", "suspect", "wedged", "cut off", "dead", "left"}

func (s Liveness) String() string { return standingNames[s] }

// Bounds of a view.
const (
	leftKept  = 5 * time.Minute // a member that left is listed for that long
	metKept   = 10 * time.Minute
	driftPart = 2000 // clocks of two machines drift apart by less than one part in this many
	mostRuns  = 4    // processes of one name whose reach is kept
	// zoneLeast is the least number of members by which silence of a zone is told from that of a member.
	zoneLeast = 2
)

// Limits bound a view.
type Limits struct {
	Members     int           // names that it holds
	ForgetAfter time.Duration // a member that was not reached for that long is dropped
}

// entry is what a view holds of one name.
type entry struct {
	rec  *Record // nil: no word yet
	made time.Duration
	base time.Duration // least (receipt - Up) of the process so far: when it started, at the latest
	seen time.Duration // when base was last compared
	runs []sight       // newest last
	met  time.Duration // when any of its processes was last reached, or first heard of
}

// sight is what was seen of one process.
type sight struct {
	run      uint64
	reach    Reach
	evidence Evidence
	since    time.Duration
}

// View is the state from which snapshots are made. It belongs to one goroutine.
type View struct {
	self    string
	limits  Limits
	entries map[string]*entry
	names   []string // in order
	heard   time.Duration
	anyone  bool   // a word of another member was ever heard
	dropped uint64 // names that there was no room for
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
func (v *View) Merge(now, age time.Duration, r Record) bool {
	e := v.entry(now, r.Name)
	if e == nil {
		return false
	}
	if r.Name != v.self {
		v.heard, v.anyone = max(v.heard, now), true
	}
	switch {
	case e.rec == nil || e.rec.Run != r.Run && e.rec.Less(&r):
		e.base = now - age - r.Up
	case e.rec.Run == r.Run:
		e.base = min(e.base+max(now-e.seen, 0)/driftPart, now-age-r.Up)
	default:
		return false // a process that has been overtaken
	}
	e.seen = now
	made := min(now-age, e.base+r.Up)
	if e.rec == nil || e.rec.Less(&r) {
		e.rec, e.made = &r, made
		return true
	}
	if e.rec.Seq == r.Seq {
		e.made = min(e.made, made)
	}
	return false
}

// Known returns the word in force of a name, or nil.
func (v *View) Known(name string) *Record {
	if e := v.entries[name]; e != nil {
		return e.rec
	}
	return nil
}

// SupersededBy returns the word that r falls short of, if that is another process's, and when it was made. Whoever told r
// has to hear it: a process that has just started under a name, with a clock that was set back, raises itself then.
func (v *View) SupersededBy(r *Record) (by *Record, made time.Duration) {
	if e := v.entries[r.Name]; e != nil && e.rec != nil && e.rec.Run != r.Run && r.Less(e.rec) {
		return e.rec, e.made
	}
	return nil, 0
}

// ObserveReach notes what the failure detection says of a process.
func (v *View) ObserveReach(now time.Duration, name string, run uint64, reach Reach) {
	e := v.entry(now, name)
	if e == nil {
		return
	}
	s := e.sight(run)
	if s == nil {
		if len(e.runs) >= mostRuns {
			e.runs = slices.Delete(e.runs, 0, 1)
		}
		e.runs = append(e.runs, sight{run: run, since: now})
		s = &e.runs[len(e.runs)-1]
	}
	if s.reach != reach {
		s.reach, s.evidence, s.since = reach, NoEvidence, now
	}
	if reach == Reached {
		e.met = now
	}
}

// RecordEvidence notes what a call to a lost process showed. It counts for as long as the process is lost.
func (v *View) RecordEvidence(name string, run uint64, found Evidence) {
	if e := v.entries[name]; e != nil {
		if s := e.sight(run); s != nil && s.reach == Lost {
			s.evidence = found
		}
	}
}

// Forget drops who has not been reached for long.
func (v *View) Forget(now time.Duration) {
	fresh := v.fresh()
	for _, name := range slices.Clone(v.names) {
		e := v.entries[name]
		if name == v.self {
			continue
		}
		keep := v.limits.ForgetAfter
		switch e.standing(now, fresh) {
		case Left:
			keep = min(keep, leftKept)
		case Unmet:
			keep = min(keep, metKept)
		case Alive, Suspect, Wedged:
			continue
		}
		if now-e.met > keep {
			v.drop(name)
		}
	}
}

func (v *View) drop(name string) {
	delete(v.entries, name)
	if i, ok := slices.BinarySearch(v.names, name); ok {
		v.names = slices.Delete(v.names, i, i+1)
	}
}

// entry returns the entry of a name, a new one if there is room: strangers to the limit must not push out members,
// so only who is gone makes room.
func (v *View) entry(now time.Duration, name string) *entry {
	if e := v.entries[name]; e != nil {
		return e
	}
	if len(v.names) >= v.limits.Members && !v.evict(now) {
		v.dropped++
		return nil
	}
	e := &entry{met: now}
	v.entries[name] = e
	i, _ := slices.BinarySearch(v.names, name)
	v.names = slices.Insert(v.names, i, name)
	return e
}

// evict drops the member that has been gone for longest.
func (v *View) evict(now time.Duration) bool {
	worst := ""
	for _, name := range v.names {
		if s := v.entries[name].standing(now, v.fresh()); name == v.self || s != Left && s != Dead {
			continue
		}
		if worst == "" || v.entries[name].met < v.entries[worst].met {
			worst = name
		}
	}
	if worst != "" {
		v.drop(worst)
	}
	return worst != ""
}

func (e *entry) sight(run uint64) *sight {
	for i := range e.runs {
		if e.runs[i].run == run {
			return &e.runs[i]
		}
	}
	return nil
}

// current is the sight of the process whose word is in force; where no word has come, of the one seen last.
func (e *entry) current() *sight {
	if e.rec != nil {
		return e.sight(e.rec.Run)
	}
	if len(e.runs) == 0 {
		return nil
	}
	return &e.runs[len(e.runs)-1]
}

// fresh is how old the word of a member may be before it is overdue.
func (v *View) fresh() time.Duration { return Fresh(len(v.names)) }

func (e *entry) standing(now, fresh time.Duration) Liveness {
	s := e.current()
	switch {
	case e.rec != nil && e.rec.State == Stopped:
		return Left
	case s == nil:
		return Unmet
	case s.reach == Reached && e.rec != nil && e.rec.Stalled > 0:
		return Wedged
	case s.reach == Reached && now-s.since > fresh && (e.rec == nil || now-e.made > fresh):
		return Suspect
	case s.reach == Reached:
		return Alive
	case s.reach != Lost:
		return Unmet
	}
	for i := range e.runs {
		if e.runs[i].reach == Reached {
			return Suspect // the next process of the name is there, and its word has not come yet
		}
	}
	switch s.evidence {
	case ConnectionRefused:
		return Dead
	case ConnectionAccepted:
		return Wedged
	}
	return Silent
}
