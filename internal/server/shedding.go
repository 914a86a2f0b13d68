package server

import (
	"time"

	"falldeal/admission"
	"falldeal/internal/fleet"
	"falldeal/internal/overload"

	"github.com/sirupsen/logrus"
)

// Load shedding by what the fleet as a whole has capacity for. Package overload finds the threshold from what members
// publish; here requests are put to it, and its verdict goes to the controller with the request.

const (
	sheddingInterval = 500 * time.Millisecond // between two looks at the threshold of the fleet
	ticksPerReport   = 2                      // of these, between two reports of attempts
)

// loadShedding is the part of a fleet member that sheds load. The loop owns it.
type loadShedding struct {
	shedder   overload.Shedder
	retries   *overload.RetryCounter
	collector *overload.Collector
	ages      *overload.AgeEstimator
	ticks     int
	logged    overload.SheddingState // the last one that was logged
}

// fleetRanks gives the verdicts of package overload in the controller's terms.
var fleetRanks = [...]admission.FleetRank{
	overload.VerdictUnknown:        admission.RankUnknown,
	overload.VerdictHasCapacity:    admission.RankElsewhere,
	overload.VerdictFleetFull:      admission.RankFull,
	overload.VerdictBelowThreshold: admission.RankBelowThreshold,
}

// EnableShedding has requests judged by what the fleet has capacity for. self is this process as the fleet knows it. It
// is called after JoinFleet and before Run.
func (s *Server) EnableShedding(self overload.ProcessID) {
	s.member.shedding = &loadShedding{
		retries:   overload.NewRetryCounter(),
		collector: overload.NewCollector(self),
		ages:      overload.NewAgeEstimator(),
	}
}

// shedding returns the load shedding of the fleet, or nil where it is off.
func (s *Server) shedding() *loadShedding {
	if s.member == nil {
		return nil
	}
	return s.member.shedding
}

// classifyForShedding adds to the event of a request what the fleet makes of it: its rank, its age where it is a retry,
// and by how much its caller should stay away for longer if it is rejected. It goes by what was received before; nobody
// is asked.
func (s *Server) classifyForShedding(request *activeRequest, event *admission.Event) {
	shedding := s.shedding()
	if shedding == nil {
		return
	}
	attempt := &request.attempt
	requestFingerprint := fingerprint(attempt)
	event.SinceFirstAttempt = shedding.ages.Age(s.clock.now, attempt.Class, attempt.Timeout)
	retry := shedding.retries.Arrived(s.clock.now, requestFingerprint) || event.SinceFirstAttempt > 0
	value, work := s.config.Settings.Classes[request.class].PriorityWeight, attempt.CostHint.Seconds()
	if s.config.Settings.WeightPerWork {
		value *= work
	}
	event.FleetRank = fleetRanks[shedding.shedder.Classify(value, work, attempt.Rank, retry)]
	event.RetryJitter = shedding.shedder.RetryJitter(requestFingerprint)
}

func fingerprint(a *Attempt) uint64 {
	return overload.Fingerprint(a.Class, a.Subject, a.IdempotencyKey, a.Client, a.Rank, a.CostHint.Seconds())
}

// recordRejection records a request that will be retried, here or elsewhere.
func (s *Server) recordRejection(r *activeRequest, a admission.Action) {
	if shedding := s.shedding(); shedding != nil && !a.NoRetryElsewhere {
		shedding.retries.Rejected(s.clock.now, fingerprint(&r.attempt))
	}
}

// tickShedding finds the threshold of the fleet now, and each interval from now on.
func (s *Server) tickShedding() {
	shedding := s.shedding()
	if shedding == nil {
		return
	}
	now, view := s.member.fleet.Now(), s.member.fleet.Snapshot()
	threshold := shedding.shedder.Tick(s.clock.now, s.localLoad(shedding), view, now)
	s.logThreshold(shedding, threshold)
	s.sendPartials(shedding, view)
	shedding.ticks++
	if shedding.ticks%ticksPerReport == 0 {
		s.sendRetryReports(shedding, view)
	}
	s.deadlines.Add(s.clock.now+sheddingInterval, s.tickShedding)
}

// localLoad is the load of this server alone.
func (s *Server) localLoad(shedding *loadShedding) overload.LocalLoad {
	load := overload.LocalLoad{
		Cores:    float64(s.config.Settings.Cores),
		Busy:     -1,
		Attempts: shedding.retries.AttemptRate(),
		Retries:  shedding.retries.RetryRatio(),
	}
	if s.admission.started() {
		load.ServiceRate = s.admission.controller.ServiceRate()
	}
	if s.gauges.fresh(s.clock.now) {
		load.Busy = s.gauges.values.CPUUtilization
	}
	return load
}

// logThreshold logs a threshold if its state has changed.
func (s *Server) logThreshold(shedding *loadShedding, threshold overload.SheddingState) {
	from, to := thresholdState(&shedding.logged), thresholdState(&threshold)
	if from == to {
		return
	}
	s.logChange(logrus.InfoLevel, "cutoff of the fleet", from, to, logrus.Fields{
		"place":     threshold.Threshold,
		"offered":   threshold.Offered,
		"pace":      threshold.ServiceRate,
		"again":     threshold.RetryRatio,
		"members":   threshold.Members,
		"stale":     threshold.Stale,
		"oldest_ms": threshold.Oldest.Milliseconds(),
	})
	shedding.logged = threshold
}

// thresholdState is the state of the fleet as operators see it: nothing is shed (""), the fleet is full, it recovers
// from that, or it is not known.
func thresholdState(threshold *overload.SheddingState) string {
	switch {
	case !threshold.Known:
		return "unknown"
	case threshold.Full:
		return "full"
	case threshold.Threshold > 0:
		return "sinking"
	}
	return ""
}

// sendPartials sends this server's part of the load of its zone to the members that add it up.
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
			s.member.fleet.Send(to, overload.AppendReport(nil, report))
		}
	}
}

// retryReportReceived is a report of attempts by another member.
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

// addSheddingToLoad adds what other members need to find the threshold.
func (s *Server) addSheddingToLoad(load *fleet.Load) {
	shedding := s.member.shedding
	if s.admission.started() {
		load.ServiceRate = s.admission.controller.ServiceRate()
	}
	demand := shedding.shedder.Demand()
	load.Demand = string(demand.Append(nil))
	load.Attempts, load.RetryRatio = shedding.retries.AttemptRate(), shedding.retries.RetryRatio()
	load.Threshold = shedding.shedder.State().Threshold
	load.Aggregate = shedding.collector.Published()
}
