package fleet

import "time"

// stallTimeout is the time without a report of the server loop after which its process publishes that the loop stalls.
// The loop reports every second, also when idle.
const stallTimeout = 3 * time.Second

// ProcessInfo identifies a process and its location. It does not change in the lifetime of the process.
type ProcessInfo struct {
	Name, Addr, Region, Zone, Version string
	Run                               uint64 // as Record.Run
}

// nameOwnership says whether the process publishes records under its name.
type nameOwnership uint8

const (
	nameOwned       nameOwnership = iota
	nameTransferred               // a newer process replaces this one and publishes instead
	nameReleased                  // an earlier process with the same name publishes instead, permanently
)

var ownershipNames = [...]string{nameOwned: "owned", nameTransferred: "handed over", nameReleased: "released"}

func (o nameOwnership) String() string { return ownershipNames[o] }

// Self holds the record that this process publishes, and settles conflicts over its name (see Receive). It belongs to
// one goroutine. All times are on this process's clock.
type Self struct {
	record         Record
	startedAt      time.Duration
	lastStatus     time.Duration // when the loop last reported
	lastPublished  time.Duration // when the last record was made
	stallPublished bool          // the last record reports that the loop stalls
	ownership      nameOwnership
	rivals         rivalSet
}

// NewSelf returns the Self of a process that starts at now. The caller takes the incarnation from the system clock, so
// that it exceeds the predecessor's. If that clock was set back, Receive raises the incarnation.
func NewSelf(now time.Duration, info ProcessInfo, config, incarnation uint64) *Self {
	return &Self{
		startedAt: now, lastStatus: now, lastPublished: now,
		rivals: rivalSet{},
		record: Record{
			Name: info.Name, Run: info.Run, Incarnation: incarnation, Seq: 1,
			Addr: info.Addr, Region: info.Region, Zone: info.Zone, Version: info.Version,
			Config: config, State: Starting, Load: Load{Utilization: -1},
		},
	}
}

// Record returns the current record. It includes changes that have not been published yet.
func (s *Self) Record() Record { return s.record }

// NameReleased reports whether this process has released its name to another one. Apart
// from the release itself, it publishes nothing from then on.
func (s *Self) NameReleased() bool { return s.ownership == nameReleased }

// SetStatus takes a report of the loop. It returns true if the next record must be published at once: the state or the
// health of the store has changed, or a published stall has ended.
func (s *Self) SetStatus(now time.Duration, status Status) (urgent bool) {
	s.lastStatus = now
	s.setReplaced(status.Replaced)
	if status.Replaced {
		status.State = Stopped // other members see the newer process under this name
	}
	urgent = status.State != s.record.State || s.stallPublished ||
		status.Load.StoreState != s.record.Load.StoreState
	s.record.State = status.State
	s.record.Load = status.Load
	return urgent
}

func (s *Self) setReplaced(replaced bool) {
	switch {
	case s.ownership == nameReleased:
	case replaced:
		s.ownership = nameTransferred
	default:
		s.ownership = nameOwned
	}
}

// SetConfig sets the digest of the configuration. It returns whether the digest has changed.
func (s *Self) SetConfig(config uint64) (changed bool) {
	changed = s.record.Config != config
	s.record.Config = config
	return changed
}

// Stalled reports whether the loop has not reported for more than stallTimeout and no record has reported the stall yet.
func (s *Self) Stalled(now time.Duration) bool { return s.loopStalled(now) && !s.stallPublished }

func (s *Self) loopStalled(now time.Duration) bool { return now-s.lastStatus > stallTimeout }

// ShouldPublish reports whether the next record is due in a fleet with that many members. A stall is published at once,
// and then again every interval, because a single update does not reach every member.
func (s *Self) ShouldPublish(now time.Duration, members int) bool {
	interval := PublishInterval(members)
	if s.record.Load.Aggregate != "" {
		interval = minPublishInterval // its records carry the aggregate of the whole zone
	}
	if s.NameReleased() {
		return false
	}
	return s.Stalled(now) || now-s.lastPublished >= interval
}

// NextRecord returns the next record, with a new sequence number. The caller publishes it.
func (s *Self) NextRecord(now time.Duration) Record {
	s.record.Seq++
	s.stallPublished = s.loopStalled(now)
	s.record.Up = s.lastStatus - s.startedAt
	s.record.Stalled = 0
	if s.stallPublished {
		s.record.Stalled = now - s.lastStatus
	}
	s.lastPublished = now
	return s.record
}

// LeaveRecord returns the last record of the process, whose state is Stopped.
func (s *Self) LeaveRecord(now time.Duration) Record {
	s.record.State = Stopped
	s.lastStatus = now
	return s.NextRecord(now)
}
