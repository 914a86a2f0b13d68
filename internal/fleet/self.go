package fleet

import (
	"time"
)

// Bounds by which a process tells of itself.
const (
	// stallAfter is how long the loop may say nothing before its process says that for it: the loop speaks each
	// second, also at rest.
	stallAfter = 3 * time.Second
	// yieldAfter is how long proof of a living process with the same name must go on. A process that is being
	// replaced has told within that time that it is.
	yieldAfter  = 3 * time.Second
	mostRivals  = 8
	leastPeriod = time.Second
	// wordsPerSecond is how many words of others a member can take in and pass on within one packet of 1,400 bytes
	// to three others five times a second, when each word has to be passed on some eight times to reach all.
	wordsPerSecond = 25
)

// Period is how often a member of a fleet of that size tells how much it has to do. It grows with the fleet, so that
// what each member sends and reads does not. Changes of another kind are told at once.
func Period(members int) time.Duration {
	return max(leastPeriod, time.Duration(members)*time.Second/wordsPerSecond)
}

// Fresh is how old a word may be in a fleet of that size and still pass for the newest: three were missed, one in fifty
// each, and the way took a second.
func Fresh(members int) time.Duration { return 4*Period(members) + time.Second }

// Place is what does not change while a process lives.
type Place struct {
	Name, Addr, Region, Zone, Version string
	Run                               uint64
}

// Self is what one process tells of itself. It belongs to one goroutine. It decides whose name it is: the word of
// another process that goes by the same name is either that of a predecessor, which is overtaken, or that of a
// process that lives beside this one, and then the one that was started later yields.
type Self struct {
	rec      Record
	start    time.Duration // on this process's clock
	heard    time.Duration // the loop's last word
	told     time.Duration // when a word was last told
	silenced bool          // the last word told was that the loop stands still
	replaced bool
	yielded  bool
	rivals   map[uint64]rival
}

// rival is a process that has shown that it lives: it raised itself above this one.
type rival struct {
	since, last time.Duration // of its proofs in a row
	seq         uint64        // of the last one
}

// NewSelf begins at now, with an incarnation that goes by the system's clock: that of a predecessor is lower, unless
// the clock was set back, which Heard makes good.
func NewSelf(now time.Duration, p Place, config, incarnation uint64) *Self {
	return &Self{start: now, heard: now, told: now, rivals: map[uint64]rival{}, rec: Record{Name: p.Name, Run: p.Run,
		Incarnation: incarnation, Seq: 1, Addr: p.Addr, Region: p.Region, Zone: p.Zone, Version: p.Version, Config: config,
		State: Starting, Load: Load{Busy: -1}}}
}

// Record is the last word.
func (s *Self) Record() Record { return s.rec }

// NameReleased reports whether the name is another process's now. Then nothing more is told.
func (s *Self) NameReleased() bool { return s.yielded }

// LoopStatus takes in what the loop said, and reports whether that is to be told at once.
func (s *Self) LoopStatus(now time.Duration, st Status) bool {
	s.heard, s.replaced = now, st.Replaced
	if st.Replaced {
		st.State = Stopped // as far as the fleet is concerned the newer process is the member
	}
	urgent := st.State != s.rec.State || s.silenced || st.Load.StoreState != s.rec.Load.StoreState
	s.rec.State, s.rec.Load = st.State, st.Load
	return urgent
}

// Reconfigured notes another digest of the configuration.
func (s *Self) Reconfigured(config uint64) bool {
	changed := s.rec.Config != config
	s.rec.Config = config
	return changed
}

// Stalled reports whether the loop has been silent for too long, and its process has not said so yet.
func (s *Self) Stalled(now time.Duration) bool { return now-s.heard > stallAfter && !s.silenced }

// PublishDue reports whether it is time to tell again, in a fleet of that size. A loop that stands still tells nothing; its
// process says so as often as the loop would have spoken, as any one word may miss a member.
func (s *Self) PublishDue(now time.Duration, members int) bool {
	period := Period(members)
	if s.rec.Load.Aggregate != "" {
		period = leastPeriod // it speaks for its zone
	}
	return !s.yielded && (s.Stalled(now) || now-s.told >= period)
}

// NextRecord makes the next word.
func (s *Self) NextRecord(now time.Duration) Record {
	s.rec.Seq++
	s.silenced = now-s.heard > stallAfter
	s.rec.Up, s.rec.Stalled = s.heard-s.start, 0
	if s.silenced {
		s.rec.Stalled = now - s.heard
	}
	s.told = now
	return s.rec
}

// LeaveRecord makes the last word.
func (s *Self) LeaveRecord(now time.Duration) Record {
	s.rec.State, s.heard = Stopped, now
	return s.NextRecord(now)
}

// Receive takes in the word of another process that goes by this name, and reports whether this one has something new
// to tell of itself: a higher incarnation, or that it has yielded.
func (s *Self) Receive(now time.Duration, r *Record) (urgent bool) {
	if r.Name != s.rec.Name || r.Run == s.rec.Run || s.yielded || s.replaced {
		return false
	}
	if r.Supersedes == s.rec.Run && r.State != Stopped {
		known, ok := s.rivals[r.Run]
		if !ok && len(s.rivals) >= mostRivals || r.Seq <= known.seq {
			return false
		}
		if now-known.last > yieldAfter || !ok {
			known.since = now
		}
		known.last, known.seq = now, r.Seq
		s.rivals[r.Run] = known
		if r.Run < s.rec.Run && now-known.since >= yieldAfter {
			s.yielded = true
			s.rec.State = Stopped
			return true
		}
	}
	if r.Incarnation < s.rec.Incarnation || r.Incarnation == s.rec.Incarnation && r.Run < s.rec.Run {
		return false
	}
	s.rec.Incarnation, s.rec.Supersedes = r.Incarnation+1, r.Run
	return true
}
