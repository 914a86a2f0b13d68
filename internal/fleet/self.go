package fleet

import "time"

// stallTimeout is how long the server loop may not report before its process publishes that it stalls. The loop
// reports each second, also when idle.
const stallTimeout = 3 * time.Second

// Place is what stays the same for the lifetime of a process.
type Place struct {
	Name, Addr, Region, Zone, Version string
	Run                               uint64
}

// nameOwnership is whether the process still speaks for its name.
type nameOwnership uint8

const (
	nameOwned       nameOwnership = iota
	nameTransferred               // to a newer process that replaces this one
	nameReleased                  // to an earlier process of the same name, for good
)

var ownershipNames = [...]string{nameOwned: "owned", nameTransferred: "handed over", nameReleased: "released"}

func (o nameOwnership) String() string { return ownershipNames[o] }

// Self is what this process publishes of itself, and how it settles conflicts over its name (see Receive). It
// belongs to one goroutine.
type Self struct {
	record         Record
	startedAt      time.Duration // on this process's clock, as all times here
	lastStatus     time.Duration
	lastPublished  time.Duration
	stallPublished bool // the last record said that the loop stalls
	ownership      nameOwnership
	rivals         rivalSet
}

// NewSelf returns the Self of a process that starts at now. The incarnation goes by the system's clock, so that it is
// above that of a predecessor; Receive corrects it where the clock was set back.
func NewSelf(now time.Duration, place Place, config, incarnation uint64) *Self {
	return &Self{
		startedAt: now, lastStatus: now, lastPublished: now,
		rivals: rivalSet{},
		record: Record{
			Name: place.Name, Run: place.Run, Incarnation: incarnation, Seq: 1,
			Addr: place.Addr, Region: place.Region, Zone: place.Zone, Version: place.Version,
			Config: config, State: Starting, Load: Load{Busy: -1},
		},
	}
}

// Record returns the current record.
func (s *Self) Record() Record { return s.record }

// NameReleased reports whether the name has been given up to another process. Nothing more is published then.
func (s *Self) NameReleased() bool { return s.ownership == nameReleased }

// SetStatus records a report of the loop, and returns whether it is to be published at once.
func (s *Self) SetStatus(now time.Duration, status Status) (urgent bool) {
	s.lastStatus = now
	s.setReplaced(status.Replaced)
	if status.Replaced {
		status.State = Stopped // to the fleet, the newer process is the member
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

// SetConfig sets the digest of the configuration, and returns whether it has changed.
func (s *Self) SetConfig(config uint64) (changed bool) {
	changed = s.record.Config != config
	s.record.Config = config
	return changed
}

// Stalled reports whether the loop has not reported for too long, and this has not been published yet.
func (s *Self) Stalled(now time.Duration) bool { return s.loopStalled(now) && !s.stallPublished }

func (s *Self) loopStalled(now time.Duration) bool { return now-s.lastStatus > stallTimeout }

// ShouldPublish reports whether the next record is due in a fleet of that size. A stall is published at once and then
// once a period, as the loop's own records would be: any single update may miss a member.
func (s *Self) ShouldPublish(now time.Duration, members int) bool {
	period := Period(members)
	if s.record.Load.Aggregate != "" {
		period = minPeriod // it publishes for its whole zone
	}
	if s.NameReleased() {
		return false
	}
	return s.Stalled(now) || now-s.lastPublished >= period
}

// NextRecord advances to the next record and returns it.
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

// LeaveRecord returns the last record of the process, in state Stopped.
func (s *Self) LeaveRecord(now time.Duration) Record {
	s.record.State = Stopped
	s.lastStatus = now
	return s.NextRecord(now)
}
