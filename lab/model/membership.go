package model

import (
	"math"
	"time"

	"falldeal/internal/fleet"
)

// Membership is modelled without single gossip messages: an update reaches all servers at the same time, gossipDelay after it
// was published.
const (
	gossipHopTime        = 200 * time.Millisecond // interval of gossip messages, and so the time of one hop
	gossipReach          = 4                      // factor by which a hop multiplies the servers that know an update
	failureDetectionTime = 4 * time.Second        // from the end of a process until other servers see it as failed
	aggregateInterval    = time.Second            // interval of updates of a server that publishes the aggregate of its zone
	publishTolerance     = time.Millisecond       // by which the interval between two updates may be shorter than required
	serverNumberBits     = 32                     // low bits of a run ID that hold the number of the server plus one
)

// update is a record that a server has published.
type update struct {
	at     time.Duration // when it was published
	record fleet.Record
}

// publisher holds the records that one server has published. Other servers read them from here.
type publisher struct {
	updates     []update      // in order of time: the newest that has reached other servers, and those after it
	publishedAt time.Duration // time of the last update
	sequence    uint64        // sequence number of the last record
}

// publish publishes a record under the next sequence number, which it sets in the record.
func (p *publisher) publish(now time.Duration, record *fleet.Record) {
	p.sequence++
	record.Seq = p.sequence
	p.publishedAt = now
	p.updates = append(p.updates, update{at: now, record: *record})
}

// last returns the newest record, or nil if there is none.
func (p *publisher) last() *fleet.Record {
	if len(p.updates) == 0 {
		return nil
	}
	return &p.updates[len(p.updates)-1].record
}

// newestAsOf returns the newest update that was published by a time, or nil if there is none. It drops older updates;
// therefore the times of successive calls must not decrease.
func (p *publisher) newestAsOf(publishedBy time.Duration) *update {
	for len(p.updates) > 1 && p.updates[1].at <= publishedBy {
		p.updates = p.updates[1:]
	}
	if len(p.updates) == 0 || p.updates[0].at > publishedBy {
		return nil
	}
	return &p.updates[0]
}

// gossipDelay returns how long an update takes to reach n servers: a number of hops that is logarithmic in n.
func gossipDelay(n int) time.Duration {
	return gossipHopTime * time.Duration(1+math.Ceil(math.Log(float64(n))/math.Log(gossipReach)))
}

// refreshSnapshot rebuilds the snapshot that all servers share, from the updates that are old enough to have reached them. It
// schedules the next refresh after snapshotInterval.
func (s *Simulation) refreshSnapshot() {
	n := len(s.servers)
	publishedBy := s.now - gossipDelay(n)
	snapshot := &fleet.Snapshot{
		At: s.now, LastReceived: s.now, Position: fleet.FullyConnected, Members: make([]fleet.Member, 0, n),
	}
	for _, server := range s.servers {
		snapshot.Members = append(snapshot.Members, server.memberAsOf(publishedBy))
	}
	s.snapshot = snapshot
	s.schedule(s.now+snapshotInterval, s.refreshSnapshot)
}

// serverOf returns the server of the process with a run ID.
func (s *Simulation) serverOf(run uint64) *server {
	return s.servers[int(run&(1<<serverNumberBits-1))-1]
}

// send delivers a message to the process with a run ID after networkDelay, by calling handle. The message is lost if the
// process has ended by then.
func (s *Simulation) send(run uint64, handle func(to *server)) {
	to := s.serverOf(run)
	s.schedule(s.now+networkDelay, func() {
		if to.up && to.processRun() == run {
			handle(to)
		}
	})
}

// processRun returns the run ID of the server's present process, which is unique in the fleet.
func (s *server) processRun() uint64 { return s.starts<<serverNumberBits | uint64(s.number+1) }

// memberAsOf returns the server as other servers see it if they know its updates that were published by a time. Without
// any, the member has a placeholder record, whose run ID belongs to no process. Older updates are dropped, as by newestAsOf.
func (s *server) memberAsOf(publishedBy time.Duration) fleet.Member {
	member := fleet.Member{
		Record:   &fleet.Record{Name: s.name, Zone: zoneName(s.zone), Run: s.starts + 1},
		Liveness: fleet.Unconfirmed,
	}
	if newest := s.publisher.newestAsOf(publishedBy); newest != nil {
		member.Record = &newest.record
		member.RecordedAt = newest.at
		member.Liveness = fleet.Alive
	}
	if !s.up && s.sim.now-s.upChangedAt > failureDetectionTime {
		member.Liveness = fleet.Failed
	}
	return member
}

// withSnapshot calls use with the shared snapshot as this server sees it: the server's own member is marked as the observer.
// It also has the current record, unless it already shows the present process as alive. The shared snapshot is restored
// afterwards.
func (s *server) withSnapshot(use func(snapshot *fleet.Snapshot)) {
	snapshot := s.sim.snapshot
	self := &snapshot.Members[s.number]
	shared := *self
	self.Self = true
	if self.Run != s.processRun() || self.Liveness != fleet.Alive {
		self.Record = s.currentRecord()
		self.RecordedAt = s.sim.now
		self.Liveness = fleet.Alive
	}
	use(snapshot)
	*self = shared
}

// currentRecord returns the record that describes the present process, without a sequence number.
func (s *server) currentRecord() *fleet.Record {
	record := &fleet.Record{Name: s.name, Run: s.processRun(), Zone: zoneName(s.zone), State: fleet.Serving}
	s.addToLoad(&record.Load)
	return record
}

// addToLoad sets the fields of the published load that describe the present process.
func (s *server) addToLoad(load *fleet.Load) {
	load.Capacity = float64(s.sim.opts.Cores)
	load.Utilization = s.cores.Utilization()
	load.InFlight = len(s.attempts)
	load.CallQuota = s.sim.settings.MaxCallsInFlight
	if s.shedding != nil {
		load.ServiceRate = s.controller.ServiceRate()
		s.shedding.addToLoad(load)
	}
	if s.probes != nil {
		s.probes.AddToLoad(load)
	}
}

// publish publishes the current record if shouldPublish allows it.
func (s *server) publish() {
	record := s.currentRecord()
	if s.shouldPublish(record) {
		s.publisher.publish(s.sim.now, record)
	}
}

// shouldPublish reports whether a record is to be published now: it is the first one of the server or of a process, it has an
// urgent change, or the publish interval has passed since the last one. That interval depends on the size of the fleet, and is
// aggregateInterval for a record with an aggregate.
func (s *server) shouldPublish(record *fleet.Record) bool {
	last := s.publisher.last()
	if last == nil {
		return true
	}
	interval := fleet.PublishInterval(len(s.sim.servers))
	if record.Load.Aggregate != "" {
		interval = aggregateInterval
	}
	if s.sim.now-s.publisher.publishedAt >= interval-publishTolerance {
		return true
	}
	return last.Run != record.Run || record.Urgent(last)
}
