package server

import (
	"time"

	"falldeal/internal/fleet"
	"falldeal/internal/overload"

	"github.com/sirupsen/logrus"
)

// Fleet is the server's access to the fleet that it belongs to. No method blocks.
type Fleet interface {
	// Publish sends the status of this member to the others.
	Publish(status fleet.Status)
	// Snapshot returns what is known about the other members.
	Snapshot() *fleet.Snapshot
	// Now returns the time on the clock of the snapshots, which does not follow changes of the system clock.
	Now() time.Duration
	// Send sends a message to one member. The message may be lost.
	Send(to *fleet.Member, message []byte)
	// OnMessage sets the function that is called, on any goroutine, with each message to this member.
	OnMessage(handle func(message []byte))
}

// publishInterval is the interval at which the status is published. Other members notice a stalled member because its
// status fails to arrive.
const publishInterval = time.Second

// fleetMember is this server as a member of a fleet. Its fields are set before Run; the loop owns their state.
type fleetMember struct {
	fleet             Fleet
	warmAt            time.Duration // when the agent will have warmed up
	publishedAnswers  uint64        // number of requests answered as of the last status
	publishedUnserved uint64        // number of requests answered, but not served, as of the last status
	quota             *quotaLeasing // nil if off
	shedding          *loadShedding // nil if off
	probes            *storeProbes  // nil if off
	onStateChange     func(StateChange)
}

// StateChange reports that one state of this server within its fleet has changed.
type StateChange struct {
	Name   string // of the state
	From   string // old value; "" is the usual one
	To     string // new value; "" is the usual one
	Fields map[string]any
	// LogFields are logged in addition to Fields. The handler of OnStateChange has no use for them.
	LogFields map[string]any
}

// JoinFleet makes the server publish its status to a fleet. It must be called before Run, and before OnStateChange and the
// Enable methods.
func (s *Server) JoinFleet(f Fleet) {
	s.member = &fleetMember{fleet: f, onStateChange: func(StateChange) {}}
	f.OnMessage(s.receiveMemberMessage)
}

// OnStateChange sets a function that is called with each StateChange, in addition to logging it. It is called on the loop
// and must not block. OnStateChange must be called after JoinFleet and before Run.
func (s *Server) OnStateChange(handle func(StateChange)) { s.member.onStateChange = handle }

// recordChange logs a change of state, and passes it to the handler of OnStateChange.
func (s *Server) recordChange(level logrus.Level, change StateChange) {
	s.member.onStateChange(change)
	s.log.WithFields(change.Fields).
		WithFields(change.LogFields).
		WithFields(logrus.Fields{"from": stateText(change.From), "to": stateText(change.To)}).
		Log(level, change.Name+" changed")
}

// stateText returns the name of a state in log lines, where the usual one has a name, too.
func stateText(state string) string {
	if state == "" {
		return "normal"
	}
	return state
}

// findProcess returns the member that runs as the given process, or nil if that process is unknown.
func findProcess(view *fleet.Snapshot, id overload.ProcessID) *fleet.Member {
	if to := view.Find(id.Name); to != nil && to.Run == id.Run {
		return to
	}
	return nil
}

// receiveMemberMessage receives a message from another member. It is called from other goroutines and does not block:
// messages are dropped while the inbox is full.
func (s *Server) receiveMemberMessage(b []byte) {
	message, err := s.member.parseMessage(b)
	if err != nil {
		s.warnings.Warn("fleet message", "invalid message from a fleet member", err)
	}
	if message != nil {
		s.inbox.offer(message)
	}
}

// parseMessage parses a message from another member. It returns nil for a message about a feature that is off here.
func (m *fleetMember) parseMessage(b []byte) (event, error) {
	if m.shedding != nil {
		if attempts, ok := overload.ParseAttemptReport(b); ok {
			return &retryReportReceived{attempts}, nil
		}
		if partial, ok := overload.ParsePartial(b); ok {
			return &partialReceived{partial}, nil
		}
	}
	message, err := overload.ParseLeaseMessage(b)
	switch {
	case err == nil && m.quota != nil:
		return &quotaMessageReceived{message}, nil
	case err != nil && !overload.IsSheddingMessage(b):
		return nil, err //nolint:wrapcheck // the error says what is wrong with the message
	}
	return nil, nil
}

// publishPeriodically publishes the status, and schedules the next publication.
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

// replaced reports whether a successor takes over: one is connected, or was when this process started to drain.
func (s *Server) replaced() bool {
	if s.handover.successor != nil {
		return true
	}
	return s.drain.started() && s.drain.replaced
}

// takeUnservedRatio returns the fraction of the requests answered since the last status that were not served.
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

// addCurrentLoad sets the load of this server, except for UnservedRatio.
func (s *Server) addCurrentLoad(load *fleet.Load) {
	load.Capacity = float64(s.config.Settings.Cores)
	load.Utilization = s.gauges.latest(s.clock.now).CPUUtilization
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

// logFleet logs what is known about the other members.
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
