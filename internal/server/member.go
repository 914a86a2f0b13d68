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

// tellEvery is how often the loop speaks: one that stands still is missed by that.
const tellEvery = time.Second

// member is this server as a member of a fleet; nil where it is in none, and then it costs nothing.
type member struct {
	fleet     Fleet
	warmAt    time.Duration
	answered  uint64 // requests of which the last word told
	turnedOff uint64 // and those of them that were not served
	sharing   *sharing
	cutoff    *cutoff
	probes    *probes
	traced    func(what, from, to string, fields map[string]any) // nil: changes are only logged
}

// Trace has each change in the server's part of its fleet handed to traced as well, on the loop, with "" for the usual
// state. It must not block. It is called after Join and before Run.
func (s *Server) Trace(traced func(what, from, to string, fields map[string]any)) {
	s.member.traced = traced
}

// changed logs and traces that something went from one state to another; "" is the usual one.
func (s *Server) changed(level logrus.Level, what, from, to string, fields logrus.Fields) {
	if s.member.traced != nil {
		s.member.traced(what, from, to, fields)
	}
	s.log.WithFields(fields).WithFields(logrus.Fields{"from": from, "to": to}).Log(level, what)
}

// JoinFleet has the server tell a fleet how it is. It is called before Run, and so are Share, Cutoff and EnableCoordinatedProbes.
func (s *Server) JoinFleet(f Fleet) {
	s.member = &member{fleet: f}
	f.OnMessage(s.heardDirectly)
}

// heardDirectly takes in a message of another member to this one. It is called from other goroutines and does not
// block: what the loop is too far behind for is dropped.
func (s *Server) heardDirectly(b []byte) {
	m := s.member
	c := m.cutoff
	var act func()
	if tries, ok := overload.ParseReport(b); ok && c != nil {
		act = func() { c.RetryCounter.HandleReport(s.clock.now, tries) }
	} else if part, ok := overload.ParsePartial(b); ok && c != nil {
		act = func() { c.Collector.Receive(m.fleet.Now(), part) }
	} else if x, err := overload.ParseMessage(b); err == nil && m.sharing != nil {
		act = func() { s.heardOfShare(x) }
	} else {
		if err != nil && !overload.IsSheddingMessage(b) {
			s.warn.Warn("direct", "a message of another member can't be read", err)
		}
		return // or about what is off here
	}
	select {
	case s.in <- act:
	default:
	}
}

// keepTelling tells the fleet now and each second from now on.
func (s *Server) keepTelling() {
	if s.member != nil {
		s.tellFleet()
		s.deadlines.Add(s.clock.now+tellEvery, s.keepTelling)
	}
}

// tellFleet tells the fleet how this server is: at once where that has changed.
func (s *Server) tellFleet() {
	m := s.member
	if m == nil {
		return
	}
	st := fleet.Status{State: s.memberState(), Replaced: s.newer != nil || s.drain.on && s.drain.replaced}
	s.loadNow(&st.Load)
	var all, off uint64
	for _, a := range s.stats.Answers {
		all += a.Served + a.Rejected + a.Failed
		off += a.Rejected + a.Failed
	}
	if all > m.answered {
		st.Load.ShedRatio = float64(off-m.turnedOff) / float64(all-m.answered)
	}
	m.answered, m.turnedOff = all, off
	m.fleet.Publish(st)
}

// loadNow is how much this server has to do, but for what it turned away.
func (s *Server) loadNow(l *fleet.Load) {
	m := s.member
	l.Capacity, l.Busy, l.InFlight, l.CallQuota = float64(s.cfg.Settings.Cores), -1, len(s.requests), s.cfg.Settings.MaxCallsInFlight
	if s.clock.now-s.gaugesAt <= gaugesFresh {
		l.Busy = s.gauges.CPUUtilization
	}
	if m.sharing != nil {
		l.MeanCalls = m.sharing.MeanInFlight()
		if m.sharing.bound >= 0 {
			l.CallQuota = m.sharing.bound.Calls()
		}
	}
	if m.cutoff != nil {
		s.tellCutoff(l)
	}
	if m.probes != nil {
		m.probes.AddToLoad(l)
	}
}

func (s *Server) memberState() fleet.State {
	switch {
	case s.drain.on || s.withdrawn:
		return fleet.Draining
	case s.ctl == nil || !s.opened:
		return fleet.Starting
	case s.clock.now < s.member.warmAt:
		return fleet.Warming
	}
	return fleet.Serving
}

// printFleet logs what is known of the others beside the counters.
func (s *Server) printFleet() {
	if s.member != nil {
		v := s.member.fleet.Snapshot()
		s.log.WithFields(logrus.Fields{"position": v.Position.String(), "known": v.Total.Known, "reached": v.Total.Reached(),
			"silent": v.Total.Count[fleet.Silent]}).Info("fleet")
	}
}
