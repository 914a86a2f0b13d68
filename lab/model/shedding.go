package model

import (
	"time"

	"falldeal/admission"
	"falldeal/internal/fleet"
	"falldeal/internal/overload"
)

// shedding holds what a process needs to shed load by the threshold of the whole fleet.
type shedding struct {
	shedder   overload.Shedder
	ages      *overload.AgeEstimator
	retries   *overload.RetryCounter
	collector *overload.Collector // collects the aggregate of the zone if this process is a collector
}

// startShedding starts shedding for a new process, if the options ask for it.
func (s *server) startShedding() {
	if !s.sim.opts.Shedding {
		return
	}
	s.shedding = &shedding{
		ages:      overload.NewAgeEstimator(),
		retries:   overload.NewRetryCounter(),
		collector: overload.NewCollector(s.processID()),
	}
	s.every(sheddingInterval, s.updateShedding)
}

func (s *server) processID() overload.ProcessID {
	return overload.ProcessID{Name: s.name, Run: s.processRun()}
}

// classify sets the fields of an arrival that depend on the rest of the fleet: its rank, the time since the first attempt, and
// the jitter of Retry-After. It also counts the attempt.
func (s *shedding) classify(now time.Duration, attempt *attempt, arrival *admission.Arrival) {
	request := attempt.request
	name := request.class.Name
	work := request.work.Seconds()
	attempt.fingerprint = overload.Fingerprint(name, "", "", request.client, request.rank, work)
	arrival.SinceFirstAttempt = s.ages.RecordAttempt(now, name, attempt.deadline-attempt.arrivedAt)
	knownRetry := s.retries.RecordAttempt(now, attempt.fingerprint) || arrival.SinceFirstAttempt > 0
	arrival.FleetRank = s.shedder.Classify(request.class.Value, work, request.rank, knownRetry).FleetRank()
	arrival.RetryJitter = s.shedder.RetryJitter(attempt.fingerprint)
}

// addToLoad sets the fields of the published load from which other servers compute the threshold.
func (s *shedding) addToLoad(load *fleet.Load) {
	s.shedder.AddToLoad(load)
	s.retries.AddToLoad(load)
	s.collector.AddToLoad(load)
}

// updateShedding recomputes the threshold. It sends other servers the attempts that they are to count (see
// overload.RetryCounter) and, with Options.Aggregates, sends the load of this server to the collectors of its zone.
func (s *server) updateShedding() {
	s.collectCompleted()
	retries := s.shedding.retries
	local := overload.LocalLoad{
		ServiceRate: s.controller.ServiceRate(), Cores: float64(s.sim.opts.Cores), Utilization: s.cores.Utilization(),
		AttemptRate: retries.AttemptRate(), RetryRatio: retries.RetryRatio(),
	}
	s.withSnapshot(func(snapshot *fleet.Snapshot) {
		s.shedding.shedder.Tick(s.sim.now, local, snapshot, s.sim.now)
		for _, report := range retries.Tick(s.sim.now, snapshot) {
			s.sim.send(report.To.Run, func(to *server) {
				to.shedding.retries.HandleReport(s.sim.now, report.Attempts)
			})
		}
		if s.sim.opts.Aggregates {
			s.sendAggregate(snapshot)
		}
	})
	s.cores.scheduleCompletion()
}

// sendAggregate sends the load of this server to the collectors of its zone.
func (s *server) sendAggregate(snapshot *fleet.Snapshot) {
	var load fleet.Load
	s.addToLoad(&load)
	partial := overload.PartialAggregate{From: s.processID(), Aggregate: overload.AggregateOf(&load)}
	for _, recipient := range s.shedding.collector.Tick(s.sim.now, partial.Aggregate, snapshot) {
		s.sim.send(recipient.Run, func(to *server) { to.shedding.collector.Receive(s.sim.now, partial) })
	}
}
