package model

import (
	"math"
	"time"

	"falldeal/internal/fleet"
)

// The membership is modelled as updates that reach all servers at once, some time after they were published.
const (
	gossipHopTime        = 200 * time.Millisecond // between two gossip messages
	gossipReach          = 4                      // after a hop, servers that know an update for each one that did before
	failureDetectionTime = 4 * time.Second        // until the others see that a server is down
	aggregateInterval    = time.Second            // between the updates of a server that publishes an aggregate
	publishTolerance     = time.Millisecond       // by which an interval may be short, as ticks are
	processNumberBits    = 32                     // of a process's run that hold the number of its server
)

// update is a record that a server has published.
type update struct {
	at     time.Duration
	record fleet.Record
}

// publisher publishes the records of one server.
type publisher struct {
	updates     []update // the newest that has reached the others, and those after it
	publishedAt time.Duration
	sequence    uint64 // of the last record
}

// publish adds a record to the updates.
func (p *publisher) publish(now time.Duration, record *fleet.Record) {
	p.sequence++
	record.Seq = p.sequence
	p.publishedAt = now
	p.updates = append(p.updates, update{at: now, record: *record})
}

// last returns the newest record, or nil where there is none.
func (p *publisher) last() *fleet.Record {
	if len(p.updates) == 0 {
		return nil
	}
	return &p.updates[len(p.updates)-1].record
}

// newestAsOf returns the newest update that was published by a time, or nil. It drops older ones, so that times must
// not decrease.
func (p *publisher) newestAsOf(published time.Duration) *update {
	for len(p.updates) > 1 && p.updates[1].at <= published {
		p.updates = p.updates[1:]
	}
	if len(p.updates) == 0 || p.updates[0].at > published {
		return nil
	}
	return &p.updates[0]
}

// gossipDelay returns how long an update takes to reach n servers.
func gossipDelay(n int) time.Duration {
	return gossipHopTime * time.Duration(1+math.Ceil(math.Log(float64(n))/math.Log(gossipReach)))
}

// refreshSnapshot builds the snapshot that all servers share, from the updates old enough to have reached them.
func (s *Simulation) refreshSnapshot() {
	n := len(s.servers)
	published := s.now - gossipDelay(n)
	snapshot := &fleet.Snapshot{
		At: s.now, LastReceived: s.now, Position: fleet.FullyConnected, Members: make([]fleet.Member, 0, n),
	}
	for _, server := range s.servers {
		snapshot.Members = append(snapshot.Members, server.memberAsOf(published))
	}
	s.snapshot = snapshot
	s.schedule(s.now+snapshotInterval, s.refreshSnapshot)
}

// serverOf returns the server of a process.
func (s *Simulation) serverOf(run uint64) *server {
	return s.servers[int(run&(1<<processNumberBits-1))-1]
}

// send has a server handle a message from another, unless its process has ended by then.
func (s *Simulation) send(run uint64, handle func(to *server)) {
	to := s.serverOf(run)
	s.schedule(s.now+networkDelay, func() {
		if to.up && to.processRun() == run {
			handle(to)
		}
	})
}

// processRun identifies the process of a server in the fleet.
func (s *server) processRun() uint64 { return s.starts<<processNumberBits | uint64(s.number+1) }

// memberAsOf returns what the others know of the server from updates published by a time. Older ones are dropped.
func (s *server) memberAsOf(published time.Duration) fleet.Member {
	member := fleet.Member{
		Record:   &fleet.Record{Name: s.name, Zone: zoneName(s.zone), Run: s.starts + 1},
		Liveness: fleet.Unconfirmed,
	}
	if newest := s.publisher.newestAsOf(published); newest != nil {
		member.Record = &newest.record
		member.RecordedAt = newest.at
		member.Liveness = fleet.Alive
	}
	if !s.up && s.sim.now-s.upChangedAt > failureDetectionTime {
		member.Liveness = fleet.Failed
	}
	return member
}

// withSnapshot calls use with the shared snapshot, in which this server is marked as the observer meanwhile.
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

func (s *server) currentRecord() *fleet.Record {
	record := &fleet.Record{Name: s.name, Run: s.processRun(), Zone: zoneName(s.zone), State: fleet.Serving}
	s.addToLoad(&record.Load)
	return record
}

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

// publish publishes the server's record, at once where it is urgent and else as often as the size of the fleet allows.
func (s *server) publish() {
	record := s.currentRecord()
	if s.shouldPublish(record) {
		s.publisher.publish(s.sim.now, record)
	}
}

// shouldPublish reports whether a record may be published now: the interval is over, or it is urgent.
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
