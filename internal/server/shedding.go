package server

import (
	"time"

	"falldeal/admission"
	"falldeal/internal/fleet"
	"falldeal/internal/overload"

	"github.com/sirupsen/logrus"
)

// Cutoff: what the fleet as a whole has room for. Where it cuts is found in package overload, from what members tell;
// here requests are put to it, and what it makes of them goes to the controller with the request.

const (
	sheddingInterval = 500 * time.Millisecond // between two looks at where the fleet cuts
	ticksPerReport   = 2                      // of these looks, for one report of tries
)

type loadShedding struct {
	overload.Shedder
	*overload.RetryCounter
	*overload.Collector
	*overload.AgeEstimator
	ticks  int
	logged overload.Threshold // of the last line of log
}

// fleetRanks are the words of package overload in those of the controller.
var fleetRanks = [...]admission.FleetRank{overload.VerdictUnknown: admission.RankUnknown, overload.VerdictElsewhere: admission.RankElsewhere,
	overload.VerdictFull: admission.RankFull, overload.VerdictBelowThreshold: admission.RankBelowThreshold}

// EnableShedding has requests judged by what the fleet has room for. Self is this process as the fleet knows it. It is called
// after Join and before Run.
func (s *Server) EnableShedding(self overload.ProcessID) {
	s.member.shedding = &loadShedding{RetryCounter: overload.NewRetryCounter(), Collector: overload.NewCollector(self),
		AgeEstimator: overload.NewAgeEstimator()}
}

// classifyForShedding puts r to what the fleet has room for: its standing, how old it is where it is a repeat, and by how much its
// caller should stay away for longer if it is refused. Nothing is asked of anybody: it goes by what was told before.
func (s *Server) classifyForShedding(request *activeRequest, e *admission.Event) {
	if s.member == nil || s.member.shedding == nil {
		return
	}
	c, attempt := s.member.shedding, &request.attempt
	requestFingerprint := fingerprint(attempt)
	e.SinceFirstAttempt = c.Age(s.clock.now, attempt.Class, attempt.Timeout)
	again := c.Arrived(s.clock.now, requestFingerprint) || e.SinceFirstAttempt > 0
	value, work := s.config.Settings.Classes[request.class].PriorityWeight, attempt.CostHint.Seconds()
	if s.config.Settings.WeightPerWork {
		value *= work
	}
	e.FleetRank, e.RetryJitter = fleetRanks[c.Classify(value, work, attempt.Rank, again)], c.RetryJitter(requestFingerprint)
}

func fingerprint(t *Attempt) uint64 {
	return overload.Fingerprint(t.Class, t.Subject, t.IdempotencyKey, t.Client, t.Rank, t.CostHint.Seconds())
}

// recordRejection remembers what was refused and will come again, here or elsewhere.
func (s *Server) recordRejection(r *activeRequest, a admission.Action) {
	if s.member != nil && s.member.shedding != nil && !a.NoRetryElsewhere {
		s.member.shedding.Rejected(s.clock.now, fingerprint(&r.attempt))
	}
}

// tickShedding looks where the fleet cuts, now and again from now on.
func (s *Server) tickShedding() {
	if s.member == nil || s.member.shedding == nil {
		return
	}
	member := s.member
	shedding, at, view := member.shedding, member.fleet.Now(), member.fleet.Snapshot()
	own := overload.LocalLoad{Cores: float64(s.config.Settings.Cores), Busy: -1, Attempts: shedding.AttemptRate(), Retries: shedding.RetryRatio()}
	if s.controller != nil {
		own.ServiceRate = s.controller.ServiceRate()
	}
	if s.clock.now-s.gaugesAt <= gaugeMaxAge {
		own.Busy = s.gauges.CPUUtilization
	}
	cut := shedding.Shedder.Tick(s.clock.now, own, view, at)
	if was, is := thresholdState(&shedding.logged), thresholdState(&cut); is != was {
		s.logChange(logrus.InfoLevel, "cutoff of the fleet", was, is, logrus.Fields{"place": cut.Priority, "offered": cut.Offered,
			"pace": cut.ServiceRate, "again": cut.RetryRatio, "members": cut.Members, "stale": cut.Stale, "oldest_ms": cut.Oldest.Milliseconds()})
		shedding.logged = cut
	}
	var l fleet.Load
	s.addCurrentLoad(&l)
	part := overload.PartialAggregate{From: shedding.Self(), Aggregate: overload.AggregateOf(&l)}
	for _, p := range shedding.Collector.Tick(member.fleet.Now(), part.Aggregate, view) {
		if to := view.Find(p.Name); to != nil && to.Run == p.Run {
			member.fleet.Send(to, overload.AppendPartial(nil, part))
		}
	}
	if shedding.ticks++; shedding.ticks%ticksPerReport == 0 {
		for _, x := range shedding.RetryCounter.Tick(s.clock.now, view) {
			if to := view.Find(x.To.Name); to != nil && to.Run == x.To.Run {
				member.fleet.Send(to, overload.AppendReport(nil, x))
			}
		}
	}
	s.deadlines.Add(s.clock.now+sheddingInterval, s.tickShedding)
}

// thresholdState is what operators are told of: nothing is cut, the fleet is full, it comes out of that, or nobody knows.
func thresholdState(threshold *overload.Threshold) string {
	switch {
	case !threshold.Known:
		return "unknown"
	case threshold.Full:
		return "full"
	case threshold.Priority > 0:
		return "sinking"
	}
	return ""
}

// addSheddingToLoad adds to a word what others need to find the cutoff.
func (s *Server) addSheddingToLoad(load *fleet.Load) {
	shedding := s.member.shedding
	if s.controller != nil {
		load.ServiceRate = s.controller.ServiceRate()
	}
	offers := shedding.Demand()
	load.Demand = string(offers.Append(nil))
	load.Attempts, load.RetryRatio, load.Threshold = shedding.AttemptRate(), shedding.RetryRatio(), shedding.Threshold().Priority
	load.Aggregate = shedding.Published()
}
