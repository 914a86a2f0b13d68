package server

import (
	"time"

	"falldeal/internal/fleet"
	"falldeal/internal/overload"

	"github.com/sirupsen/logrus"
)

// Fleet is where the loop tells how this server is, and where it reads what is known of the others. Neither blocks.
type Fleet interface {
	Publish(fleet.Status)
	Snapshot() *fleet.Snapshot
	Now() time.Duration              // the clock by which snapshots go; the system's clock does not move it
	Send(to *fleet.Member, b []byte) // to one member; it may not arrive
	OnMessage(func(b []byte))        // has messages to this member handed over
}

// publishInterval is how often the loop speaks: one that stands still is missed by that.
const publishInterval = time.Second

// fleetMember is this server as a member of a fleet; nil where it is in none, and then it costs nothing.
type fleetMember struct {
	fleet             Fleet
	warmAt            time.Duration
	publishedAnswers  uint64 // requests of which the last word told
	publishedUnserved uint64 // and those of them that were not served
	quota             *quotaLeasing
	shedding          *loadShedding
	probes            *storeProbes
	onChange          func(what, from, to string, fields map[string]any) // nil: changes are only logged
}

// Trace has each change in the server's part of its fleet handed to traced as well, on the loop, with "" for the usual
// state. It must not block. It is called after Join and before Run.
func (s *Server) Trace(traced func(what, from, to string, fields map[string]any)) {
	s.member.onChange = traced
}

// logChange logs and traces that something went from one state to another; "" is the usual one.
func (s *Server) logChange(level logrus.Level, what, from, to string, fields logrus.Fields) {
	if s.member.onChange != nil {
		s.member.onChange(what, from, to, fields)
	}
	s.log.WithFields(fields).WithFields(logrus.Fields{"from": from, "to": to}).Log(level, what)
}

// JoinFleet has the server tell a fleet how it is. It is called before Run, and so are Share, Cutoff and EnableCoordinatedProbes.
func (s *Server) JoinFleet(f Fleet) {
	s.member = &fleetMember{fleet: f}
	f.OnMessage(s.receiveMemberMessage)
}

// receiveMemberMessage takes in a message of another member to this one. It is called from other goroutines and does not
// block: what the loop is too far behind for is dropped.
func (s *Server) receiveMemberMessage(b []byte) {
	member := s.member
	c := member.shedding
	var act func()
	if tries, ok := overload.ParseReport(b); ok && c != nil {
		act = func() { c.RetryCounter.HandleReport(s.clock.now, tries) }
	} else if part, ok := overload.ParsePartial(b); ok && c != nil {
		act = func() { c.Collector.Receive(member.fleet.Now(), part) }
	} else if x, err := overload.ParseMessage(b); err == nil && member.quota != nil {
		act = func() { s.receiveQuotaMessage(x) }
	} else {
		if err != nil && !overload.IsSheddingMessage(b) {
			s.warnings.Warn("direct", "a message of another member can't be read", err)
		}
		return // or about what is off here
	}
	select {
	case s.inbox <- act:
	default:
	}
}

// publishPeriodically tells the fleet now and each second from now on.
func (s *Server) publishPeriodically() {
	if s.member != nil {
		s.publishStatus()
		s.deadlines.Add(s.clock.now+publishInterval, s.publishPeriodically)
	}
}

// publishStatus tells the fleet how this server is: at once where that has changed.
func (s *Server) publishStatus() {
	member := s.member
	if member == nil {
		return
	}
	status := fleet.Status{State: s.memberState(), Replaced: s.successor != nil || s.drain.started && s.drain.replaced}
	s.addCurrentLoad(&status.Load)
	var all, unserved uint64
	for _, a := range s.stats.Answers {
		all += a.Served + a.Rejected + a.Failed
		unserved += a.Rejected + a.Failed
	}
	if all > member.publishedAnswers {
		status.Load.ShedRatio = float64(unserved-member.publishedUnserved) / float64(all-member.publishedAnswers)
	}
	member.publishedAnswers, member.publishedUnserved = all, unserved
	member.fleet.Publish(status)
}

// addCurrentLoad is how much this server has to do, but for what it turned away.
func (s *Server) addCurrentLoad(load *fleet.Load) {
	member := s.member
	load.Capacity, load.Busy, load.InFlight, load.CallQuota = float64(s.config.Settings.Cores), -1, len(s.requests), s.config.Settings.MaxCallsInFlight
	if s.clock.now-s.gaugesAt <= gaugeMaxAge {
		load.Busy = s.gauges.CPUUtilization
	}
	if member.quota != nil {
		load.MeanCalls = member.quota.MeanInFlight()
		if member.quota.limit >= 0 {
			load.CallQuota = member.quota.limit.Calls()
		}
	}
	if member.shedding != nil {
		s.addSheddingToLoad(load)
	}
	if member.probes != nil {
		member.probes.AddToLoad(load)
	}
}

func (s *Server) memberState() fleet.State {
	switch {
	case s.drain.started || s.deregistered:
		return fleet.Draining
	case s.controller == nil || !s.opened:
		return fleet.Starting
	case s.clock.now < s.member.warmAt:
		return fleet.Warming
	}
	return fleet.Serving
}

// logFleet logs what is known of the others beside the counters.
func (s *Server) logFleet() {
	if s.member != nil {
		v := s.member.fleet.Snapshot()
		s.log.WithFields(logrus.Fields{"position": v.Position.String(), "known": v.Total.Known, "reached": v.Total.Reached(),
			"silent": v.Total.Count[fleet.Silent]}).Info("fleet")
	}
}
