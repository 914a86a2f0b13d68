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
	cutEvery    = 500 * time.Millisecond // between two looks at where the fleet cuts
	reportEvery = 2                      // of these looks, for one report of tries
)

type cutoff struct {
	overload.Shedder
	*overload.RetryCounter
	*overload.Collector
	*overload.AgeEstimator
	turns int
	shown overload.Threshold // of the last line of log
}

// standings are the words of package overload in those of the controller.
var standings = [...]admission.FleetRank{overload.VerdictUnknown: admission.RankUnknown, overload.VerdictElsewhere: admission.RankElsewhere,
	overload.VerdictFull: admission.RankFull, overload.VerdictBelowThreshold: admission.RankBelowThreshold}

// EnableShedding has requests judged by what the fleet has room for. Self is this process as the fleet knows it. It is called
// after Join and before Run.
func (s *Server) EnableShedding(self overload.ProcessID) {
	s.member.cutoff = &cutoff{RetryCounter: overload.NewRetryCounter(), Collector: overload.NewCollector(self),
		AgeEstimator: overload.NewAgeEstimator()}
}

// judge puts r to what the fleet has room for: its standing, how old it is where it is a repeat, and by how much its
// caller should stay away for longer if it is refused. Nothing is asked of anybody: it goes by what was told before.
func (s *Server) judge(r *request, e *admission.Event) {
	if s.member == nil || s.member.cutoff == nil {
		return
	}
	c, t := s.member.cutoff, &r.try
	fp := fingerprint(t)
	e.SinceFirstAttempt = c.Age(s.clock.now, t.Class, t.Timeout)
	again := c.Arrived(s.clock.now, fp) || e.SinceFirstAttempt > 0
	value, work := s.cfg.Settings.Classes[r.class].PriorityWeight, t.CostHint.Seconds()
	if s.cfg.Settings.WeightPerWork {
		value *= work
	}
	e.FleetRank, e.RetryJitter = standings[c.Classify(value, work, t.Rank, again)], c.RetryJitter(fp)
}

func fingerprint(t *Attempt) uint64 {
	return overload.Fingerprint(t.Class, t.Subject, t.IdempotencyKey, t.Client, t.Rank, t.CostHint.Seconds())
}

// refusedHere remembers what was refused and will come again, here or elsewhere.
func (s *Server) refusedHere(r *request, a admission.Action) {
	if s.member != nil && s.member.cutoff != nil && !a.NoRetryElsewhere {
		s.member.cutoff.Rejected(s.clock.now, fingerprint(&r.try))
	}
}

// keepCutoff looks where the fleet cuts, now and again from now on.
func (s *Server) keepCutoff() {
	if s.member == nil || s.member.cutoff == nil {
		return
	}
	m := s.member
	c, at, view := m.cutoff, m.fleet.Now(), m.fleet.Snapshot()
	own := overload.LocalLoad{Cores: float64(s.cfg.Settings.Cores), Busy: -1, Attempts: c.AttemptRate(), Retries: c.RetryRatio()}
	if s.ctl != nil {
		own.ServiceRate = s.ctl.ServiceRate()
	}
	if s.clock.now-s.gaugesAt <= gaugesFresh {
		own.Busy = s.gauges.CPUUtilization
	}
	cut := c.Shedder.Tick(s.clock.now, own, view, at)
	if was, is := cutState(&c.shown), cutState(&cut); is != was {
		s.changed(logrus.InfoLevel, "cutoff of the fleet", was, is, logrus.Fields{"place": cut.Priority, "offered": cut.Offered,
			"pace": cut.ServiceRate, "again": cut.RetryRatio, "members": cut.Members, "stale": cut.Stale, "oldest_ms": cut.Oldest.Milliseconds()})
		c.shown = cut
	}
	var l fleet.Load
	s.loadNow(&l)
	part := overload.PartialAggregate{From: c.Self(), Aggregate: overload.AggregateOf(&l)}
	for _, p := range c.Collector.Tick(m.fleet.Now(), part.Aggregate, view) {
		if to := view.Find(p.Name); to != nil && to.Run == p.Run {
			m.fleet.Send(to, overload.AppendPartial(nil, part))
		}
	}
	if c.turns++; c.turns%reportEvery == 0 {
		for _, x := range c.RetryCounter.Tick(s.clock.now, view) {
			if to := view.Find(x.To.Name); to != nil && to.Run == x.To.Run {
				m.fleet.Send(to, overload.AppendReport(nil, x))
			}
		}
	}
	s.deadlines.Add(s.clock.now+cutEvery, s.keepCutoff)
}

// cutState is what operators are told of: nothing is cut, the fleet is full, it comes out of that, or nobody knows.
func cutState(c *overload.Threshold) string {
	switch {
	case !c.Known:
		return "unknown"
	case c.Full:
		return "full"
	case c.Priority > 0:
		return "sinking"
	}
	return ""
}

// tellCutoff adds to a word what others need to find the cutoff.
func (s *Server) tellCutoff(l *fleet.Load) {
	c := s.member.cutoff
	if s.ctl != nil {
		l.ServiceRate = s.ctl.ServiceRate()
	}
	offers := c.Demand()
	l.Demand = string(offers.Append(nil))
	l.Attempts, l.RetryRatio, l.Threshold = c.AttemptRate(), c.RetryRatio(), c.Threshold().Priority
	l.Aggregate = c.Published()
}
