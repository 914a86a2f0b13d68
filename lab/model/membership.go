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
	processNumberBits    = 32                     // of a process's run that hold the number of its server
)

// update is a record that a server has published.
type update struct {
	at     time.Duration
	record fleet.Record
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
	for len(s.updates) > 1 && s.updates[1].at <= published {
		s.updates = s.updates[1:]
	}
	member := fleet.Member{
		Record:   &fleet.Record{Name: s.name, Zone: zoneName(s.zone), Run: s.starts + 1},
		Liveness: fleet.Unconfirmed,
	}
	if len(s.updates) > 0 && s.updates[0].at <= published {
		member.Record, member.RecordedAt, member.Liveness = &s.updates[0].record, s.updates[0].at, fleet.Alive
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
		self.Record, self.Liveness, self.RecordedAt = s.currentRecord(), fleet.Alive, s.sim.now
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
	load.Capacity, load.Busy = float64(s.sim.opts.Cores), s.cores.Utilization()
	load.InFlight, load.CallQuota = len(s.attempts), s.sim.settings.MaxCallsInFlight
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
	if !s.shouldPublish(record) {
		return
	}
	s.recordSequence++
	record.Seq, s.publishedAt = s.recordSequence, s.sim.now
	s.updates = append(s.updates, update{at: s.sim.now, record: *record})
}

// shouldPublish reports whether a record may be published now: the period is over, or it is urgent.
func (s *server) shouldPublish(record *fleet.Record) bool {
	if len(s.updates) == 0 {
		return true
	}
	period := fleet.Period(len(s.sim.servers))
	if record.Load.Aggregate != "" {
		period = aggregateInterval
	}
	if s.sim.now-s.publishedAt >= period-time.Millisecond {
		return true
	}
	last := &s.updates[len(s.updates)-1].record
	return last.Run != record.Run || record.Urgent(last)
}
