package server

import (
	"time"

	"falldeal/admission"
	"falldeal/internal/fleet"
	"falldeal/internal/overload"
)

// Load shedding by the capacity of the whole fleet. Package overload computes a threshold from what the members publish.
// This file classifies requests by it, and passes the result to the controller with each request.

const (
	sheddingInterval = 500 * time.Millisecond // between updates of the threshold
	ticksPerReport   = 2                      // updates of the threshold between two reports of attempts
)

// loadShedding is the load shedding of a fleet member. The loop owns it.
type loadShedding struct {
	shedder   overload.Shedder
	retries   *overload.RetryCounter
	collector *overload.Collector
	ages      *overload.AgeEstimator
	ticks     int                    // updates of the threshold so far
	logged    overload.SheddingState // state that was logged last
}

// EnableShedding makes the server classify requests by the capacity of its fleet. self identifies this process in the
// fleet. It must be called after JoinFleet and before Run.
func (s *Server) EnableShedding(self overload.ProcessID) {
	s.member.shedding = &loadShedding{
		retries:   overload.NewRetryCounter(),
		collector: overload.NewCollector(self),
		ages:      overload.NewAgeEstimator(),
	}
}

// shedding returns the load shedding of this member, or nil if it is off.
func (s *Server) shedding() *loadShedding {
	if s.member == nil {
		return nil
	}
	return s.member.shedding
}

// classifyForShedding adds to an arrival its rank against the fleet's threshold, the time since its first attempt if it
// is a retry, and the jitter of its Retry-After. It uses only what is known here already, and sends no message.
func (s *Server) classifyForShedding(request *activeRequest, arrival *admission.Arrival) {
	shedding := s.shedding()
	if shedding == nil {
		return
	}
	attempt := &request.attempt
	requestFingerprint := fingerprint(attempt)
	arrival.SinceFirstAttempt = shedding.ages.RecordAttempt(s.clock.now, attempt.Class, attempt.Timeout)
	retry := shedding.retries.RecordAttempt(s.clock.now, requestFingerprint) || arrival.SinceFirstAttempt > 0
	value := s.config.Settings.Classes[request.class].PriorityWeight
	work := attempt.CostHint.Seconds()
	if s.config.Settings.WeightPerWork {
		value *= work
	}
	arrival.FleetRank = shedding.shedder.Classify(value, work, attempt.Rank, retry).FleetRank()
	arrival.RetryJitter = shedding.shedder.RetryJitter(requestFingerprint)
}

// fingerprint identifies the request of an attempt. It is the same in all members.
func fingerprint(attempt *Attempt) uint64 {
	return overload.Fingerprint(attempt.Class, attempt.Subject, attempt.IdempotencyKey, attempt.Client,
		attempt.Rank, attempt.CostHint.Seconds())
}

// recordRejection records a rejected request, unless the rejection advises against a retry elsewhere.
func (s *Server) recordRejection(request *activeRequest, rejection admission.Rejection) {
	if shedding := s.shedding(); shedding != nil && !rejection.NoRetryElsewhere {
		shedding.retries.RecordRejection(s.clock.now, fingerprint(&request.attempt))
	}
}

// tickShedding updates the shedding threshold, and schedules the next update.
func (s *Server) tickShedding() {
	shedding := s.shedding()
	if shedding == nil {
		return
	}
	now := s.member.fleet.Now()
	view := s.member.fleet.Snapshot()
	state := shedding.shedder.Tick(s.clock.now, s.localLoad(shedding), view, now)
	s.logSheddingState(shedding, &state)
	s.sendPartials(shedding, view)
	shedding.ticks++
	if shedding.ticks%ticksPerReport == 0 {
		s.sendRetryReports(shedding, view)
	}
	s.deadlines.Add(s.clock.now+sheddingInterval, s.tickShedding)
}

// localLoad returns the load of this server alone.
func (s *Server) localLoad(shedding *loadShedding) overload.LocalLoad {
	load := overload.LocalLoad{
		Cores:       float64(s.config.Settings.Cores),
		Utilization: s.gauges.latest(s.clock.now).CPUUtilization,
		AttemptRate: shedding.retries.AttemptRate(),
		RetryRatio:  shedding.retries.RetryRatio(),
	}
	if s.admission.started() {
		load.ServiceRate = s.admission.controller.ServiceRate()
	}
	return load
}

// sendPartials sends this server's part of the load of its zone to the members that aggregate it.
func (s *Server) sendPartials(shedding *loadShedding, view *fleet.Snapshot) {
	var load fleet.Load
	s.addCurrentLoad(&load)
	partial := overload.PartialAggregate{From: shedding.collector.Self(), Aggregate: overload.AggregateOf(&load)}
	for _, id := range shedding.collector.Tick(s.member.fleet.Now(), partial.Aggregate, view) {
		if to := findProcess(view, id); to != nil {
			s.member.fleet.Send(to, overload.AppendPartial(nil, partial))
		}
	}
}

// sendRetryReports sends the attempts counted here to the members that count them for the fleet.
func (s *Server) sendRetryReports(shedding *loadShedding, view *fleet.Snapshot) {
	for _, report := range shedding.retries.Tick(s.clock.now, view) {
		if to := findProcess(view, report.To); to != nil {
			s.member.fleet.Send(to, overload.AppendAttemptReport(nil, report))
		}
	}
}

// retryReportReceived is a report of attempts from another member.
type retryReportReceived struct {
	attempts []uint64
}

func (e *retryReportReceived) handle(server *Server) {
	server.member.shedding.retries.HandleReport(server.clock.now, e.attempts)
}

// partialReceived is another member's part of the load of the zone.
type partialReceived struct {
	partial overload.PartialAggregate
}

func (e *partialReceived) handle(server *Server) {
	server.member.shedding.collector.Receive(server.member.fleet.Now(), e.partial)
}

// addSheddingToLoad adds to the published load what other members need to compute the threshold.
func (s *Server) addSheddingToLoad(load *fleet.Load) {
	shedding := s.member.shedding
	if s.admission.started() {
		load.ServiceRate = s.admission.controller.ServiceRate()
	}
	shedding.shedder.AddToLoad(load)
	shedding.retries.AddToLoad(load)
	shedding.collector.AddToLoad(load)
}
