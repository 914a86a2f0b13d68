package fleet

import (
	"time"
)

// Bounds by which a process tells of itself.
const (
	// stallTimeout is how long the loop may say nothing before its process says that for it: the loop speaks each
	// second, also at rest.
	stallTimeout = 3 * time.Second
	// conflictTimeout is how long proof of a living process with the same name must go on. A process that is being
	// replaced has told within that time that it is.
	conflictTimeout = 3 * time.Second
	maxRivals       = 8
	minPeriod       = time.Second
	// updatesPerSecond is how many words of others a member can take in and pass on within one packet of 1,400 bytes
	// to three others five times a second, when each word has to be passed on some eight times to reach all.
	updatesPerSecond = 25
)

// Period is how often a member of a fleet of that size tells how much it has to do. It grows with the fleet, so that
// what each member sends and reads does not. Changes of another kind are told at once.
func Period(members int) time.Duration {
	return max(minPeriod, time.Duration(members)*time.Second/updatesPerSecond)
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
	record         Record
	startedAt      time.Duration // on this process's clock
	lastStatus     time.Duration // the loop's last word
	lastPublished  time.Duration // when a word was last told
	stallPublished bool          // the last word told was that the loop stands still
	replaced       bool
	released       bool
	rivals         map[uint64]rival
}

// rival is a process that has shown that it lives: it raised itself above this one.
type rival struct {
	firstProof, lastProof time.Duration // of its proofs in a row
	lastSeq               uint64        // of the last one
}

// NewSelf begins at now, with an incarnation that goes by the system's clock: that of a predecessor is lower, unless
// the clock was set back, which Heard makes good.
func NewSelf(now time.Duration, place Place, config, incarnation uint64) *Self {
	return &Self{startedAt: now, lastStatus: now, lastPublished: now, rivals: map[uint64]rival{}, record: Record{Name: place.Name, Run: place.Run,
		Incarnation: incarnation, Seq: 1, Addr: place.Addr, Region: place.Region, Zone: place.Zone, Version: place.Version, Config: config,
		State: Starting, Load: Load{Busy: -1}}}
}

// Record is the last word.
func (s *Self) Record() Record { return s.record }

// NameReleased reports whether the name is another process's now. Then nothing more is told.
func (s *Self) NameReleased() bool { return s.released }

// LoopStatus takes in what the loop said, and reports whether that is to be told at once.
func (s *Self) LoopStatus(now time.Duration, status Status) bool {
	s.lastStatus, s.replaced = now, status.Replaced
	if status.Replaced {
		status.State = Stopped // as far as the fleet is concerned the newer process is the member
	}
	urgent := status.State != s.record.State || s.stallPublished || status.Load.StoreState != s.record.Load.StoreState
	s.record.State, s.record.Load = status.State, status.Load
	return urgent
}

// Reconfigured notes another digest of the configuration.
func (s *Self) Reconfigured(config uint64) bool {
	changed := s.record.Config != config
	s.record.Config = config
	return changed
}

// Stalled reports whether the loop has been silent for too long, and its process has not said so yet.
func (s *Self) Stalled(now time.Duration) bool {
	return now-s.lastStatus > stallTimeout && !s.stallPublished
}

// PublishDue reports whether it is time to tell again, in a fleet of that size. A loop that stands still tells nothing; its
// process says so as often as the loop would have spoken, as any one word may miss a member.
func (s *Self) PublishDue(now time.Duration, members int) bool {
	period := Period(members)
	if s.record.Load.Aggregate != "" {
		period = minPeriod // it speaks for its zone
	}
	return !s.released && (s.Stalled(now) || now-s.lastPublished >= period)
}

// NextRecord makes the next word.
func (s *Self) NextRecord(now time.Duration) Record {
	s.record.Seq++
	s.stallPublished = now-s.lastStatus > stallTimeout
	s.record.Up, s.record.Stalled = s.lastStatus-s.startedAt, 0
	if s.stallPublished {
		s.record.Stalled = now - s.lastStatus
	}
	s.lastPublished = now
	return s.record
}

// LeaveRecord makes the last word.
func (s *Self) LeaveRecord(now time.Duration) Record {
	s.record.State, s.lastStatus = Stopped, now
	return s.NextRecord(now)
}

// Receive takes in the word of another process that goes by this name, and reports whether this one has something new
// to tell of itself: a higher incarnation, or that it has yielded.
func (s *Self) Receive(now time.Duration, record *Record) (urgent bool) {
	if record.Name != s.record.Name || record.Run == s.record.Run || s.released || s.replaced {
		return false
	}
	if record.Supersedes == s.record.Run && record.State != Stopped {
		rival, ok := s.rivals[record.Run]
		if !ok && len(s.rivals) >= maxRivals || record.Seq <= rival.lastSeq {
			return false
		}
		if now-rival.lastProof > conflictTimeout || !ok {
			rival.firstProof = now
		}
		rival.lastProof, rival.lastSeq = now, record.Seq
		s.rivals[record.Run] = rival
		if record.Run < s.record.Run && now-rival.firstProof >= conflictTimeout {
			s.released = true
			s.record.State = Stopped
			return true
		}
	}
	if record.Incarnation < s.record.Incarnation || record.Incarnation == s.record.Incarnation && record.Run < s.record.Run {
		return false
	}
	s.record.Incarnation, s.record.Supersedes = record.Incarnation+1, record.Run
	return true
}
