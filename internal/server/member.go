package server

import (
	"time"

	"falldeal/internal/fleet"
	"falldeal/internal/overload"

	"github.com/sirupsen/logrus"
)

// Fleet is the membership of a fleet, as the loop uses it. None of its methods blocks.
type Fleet interface {
	// Publish sends the status of this member to the others.
	Publish(status fleet.Status)
	// Snapshot returns what is known of the other members.
	Snapshot() *fleet.Snapshot
	// Now is the clock by which snapshots go; changes of the system's clock do not move it.
	Now() time.Duration
	// Send sends a message to one member; it may be lost.
	Send(to *fleet.Member, message []byte)
	// OnMessage sets what is called, on any goroutine, with each message to this member.
	OnMessage(handle func(message []byte))
}

// publishInterval is how often the status is published: a stalled member is noticed by its absence.
const publishInterval = time.Second

// fleetMember is this server as a member of a fleet. Its fields are set before Run; the loop owns their state.
type fleetMember struct {
	fleet             Fleet
	warmAt            time.Duration // when the agent has warmed up
	publishedAnswers  uint64        // requests answered as of the last status
	publishedUnserved uint64        // and those of them that were not served
	quota             *quotaLeasing // nil: off
	shedding          *loadShedding // nil: off
	probes            *storeProbes  // nil: off
	onStateChange     func(StateChange)
}

// StateChange is the change of one thing in this server's part of its fleet from one state to another.
type StateChange struct {
	Name   string // of what has changed
	From   string // "": the usual state
	To     string // "": the usual state
	Fields map[string]any
	// LogFields are logged as well, and are of no use to the handler of OnStateChange.
	LogFields map[string]any
}

// JoinFleet makes the server publish its status to a fleet. It is called before Run, and so are OnStateChange and the
// Enable methods that follow it.
func (s *Server) JoinFleet(f Fleet) {
	s.member = &fleetMember{fleet: f, onStateChange: func(StateChange) {}}
	f.OnMessage(s.receiveMemberMessage)
}

// OnStateChange has each StateChange handed to handle, on the loop, besides being logged. handle must not block. It is
// called after JoinFleet and before Run.
func (s *Server) OnStateChange(handle func(StateChange)) { s.member.onStateChange = handle }

// recordChange logs a change of state and hands it to the handler of OnStateChange.
func (s *Server) recordChange(level logrus.Level, change StateChange) {
	s.member.onStateChange(change)
	s.log.WithFields(change.Fields).
		WithFields(change.LogFields).
		WithFields(logrus.Fields{"from": stateText(change.From), "to": stateText(change.To)}).
		Log(level, change.Name+" changed")
}

// stateText is a state as it is logged, where the usual one has a name, too.
func stateText(state string) string {
	if state == "" {
		return "normal"
	}
	return state
}

// findProcess returns the member that a message to a process goes to, or nil if that process is not known.
func findProcess(view *fleet.Snapshot, id overload.ProcessID) *fleet.Member {
	if to := view.Find(id.Name); to != nil && to.Run == id.Run {
		return to
	}
	return nil
}

// receiveMemberMessage receives a message of another member. It is called from other goroutines and does not block:
// messages that find the inbox full are dropped.
func (s *Server) receiveMemberMessage(b []byte) {
	message, err := s.member.parseMessage(b)
	if err != nil {
		s.warnings.Warn("fleet message", "invalid message from a fleet member", err)
	}
	if message != nil {
		s.inbox.offer(message)
	}
}

// parseMessage reads a message of another member. It returns nil for one about something that is off here.
func (m *fleetMember) parseMessage(b []byte) (event, error) {
	if m.shedding != nil {
		if attempts, ok := overload.ParseReport(b); ok {
			return &retryReportReceived{attempts}, nil
		}
		if partial, ok := overload.ParsePartial(b); ok {
			return &partialReceived{partial}, nil
		}
	}
	message, err := overload.ParseMessage(b)
	switch {
	case err == nil && m.quota != nil:
		return &quotaMessageReceived{message}, nil
	case err != nil && !overload.IsSheddingMessage(b):
		return nil, err //nolint:wrapcheck // it says what the message is not
	}
	return nil, nil
}

// publishPeriodically publishes the status now, and each interval from now on.
func (s *Server) publishPeriodically() {
	if s.member != nil {
		s.publishStatus()
		s.deadlines.Add(s.clock.now+publishInterval, s.publishPeriodically)
	}
}

// publishStatus publishes the status of this server.
func (s *Server) publishStatus() {
	if s.member == nil {
		return
	}
	status := fleet.Status{
		State:    s.memberState(),
		Replaced: s.replaced(),
	}
	s.addCurrentLoad(&status.Load)
	status.Load.UnservedRatio = s.takeUnservedRatio()
	s.member.fleet.Publish(status)
}

// replaced reports whether a successor serves on: it has joined, or had when this process began to drain.
func (s *Server) replaced() bool {
	if s.handover.successor != nil {
		return true
	}
	return s.drain.started() && s.drain.replaced
}

// takeUnservedRatio returns the part of the requests answered since the last status that were not served.
func (s *Server) takeUnservedRatio() float64 {
	var answers, unserved uint64
	for _, counts := range s.stats.Responses {
		answers += counts.Served + counts.Rejected + counts.Failed
		unserved += counts.Rejected + counts.Failed
	}
	member := s.member
	ratio := 0.0
	if answers > member.publishedAnswers {
		ratio = float64(unserved-member.publishedUnserved) / float64(answers-member.publishedAnswers)
	}
	member.publishedAnswers = answers
	member.publishedUnserved = unserved
	return ratio
}

// addCurrentLoad fills in the load of this server, without UnservedRatio.
func (s *Server) addCurrentLoad(load *fleet.Load) {
	load.Capacity = float64(s.config.Settings.Cores)
	load.Busy = s.gauges.latest(s.clock.now).CPUUtilization
	load.InFlight = s.requests.size()
	load.CallQuota = s.config.Settings.MaxCallsInFlight
	if quota := s.quota(); quota != nil {
		load.MeanCalls = quota.MeanInFlight()
		if quota.known() {
			load.CallQuota = quota.limit.Calls()
		}
	}
	if s.shedding() != nil {
		s.addSheddingToLoad(load)
	}
	if probes := s.probes(); probes != nil {
		probes.AddToLoad(load)
	}
}

func (s *Server) memberState() fleet.State {
	switch {
	case s.drain.started() || s.health.deregistered:
		return fleet.Draining
	case !s.admission.started() || !s.listeners.opened:
		return fleet.Starting
	case s.clock.now < s.member.warmAt:
		return fleet.Warming
	}
	return fleet.Serving
}

// logFleet logs what is known of the other members.
func (s *Server) logFleet() {
	if s.member == nil {
		return
	}
	view := s.member.fleet.Snapshot()
	s.log.WithFields(logrus.Fields{
		"position":    view.Position.String(),
		"known":       view.Total.Known,
		"reached":     view.Total.Reached(),
		"unreachable": view.Total.Count[fleet.Unreachable],
	}).Info("fleet membership")
}
