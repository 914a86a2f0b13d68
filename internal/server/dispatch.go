package server

import (
	"time"

	"falldeal/admission"

	"github.com/sirupsen/logrus"
)

// Stage three, dispatch: each action of the controller is handed to the part that carries it out.

// millisecondsPerSecond turns seconds into the unit of log fields.
const millisecondsPerSecond = 1000

// dispatch carries out an action.
func (s *Server) dispatch(action admission.Action) {
	switch action.Kind {
	case admission.ActionHealth:
		s.health.healthy = action.Health.Healthy
		s.health.cached = action.Health.Cached
		s.announcer.SetAccepting(action.Health.Healthy)
	case admission.ActionIdleTimeout:
		s.connections.idleTimer.timeout = action.Duration
	case admission.ActionWake:
		s.scheduleWake(action.At)
	case admission.ActionLog:
		s.logCondition(action.Condition)
	default:
		// All others are about one request, but for ActionAdvertise. That has ID 0, which no request has, and is dropped
		// here without a warning, like an action on a request that has ended.
		if request := s.requests.byID[action.ID]; request != nil {
			s.dispatchRequest(request, action)
		}
	}
}

// conditionFields names the log field that has the value of a condition.
var conditionFields = map[admission.Condition]string{
	admission.ConditionBreaker:   "drop_probability",
	admission.ConditionCallLimit: "call_limit",
	admission.ConditionAdmission: "admit_probability",
	admission.ConditionMemory:    "memory_kb",
	admission.ConditionHealth:    "read_delay_ms",
}

// conditionValue returns the value of a change in the unit of its log field.
func conditionValue(change admission.ConditionChange) float64 {
	if change.Condition == admission.ConditionHealth {
		return change.Value * millisecondsPerSecond
	}
	return change.Value
}

// logCondition logs that a condition of the server begins or ends. One that limits the service is to be looked at; the
// drain was logged when it started.
func (s *Server) logCondition(change admission.ConditionChange) {
	level := logrus.InfoLevel
	switch {
	case change.Condition == admission.ConditionDrain:
		level = logrus.DebugLevel
	case change.Active:
		level = logrus.WarnLevel
	}
	fields := logrus.Fields{"active": change.Active}
	if field, known := conditionFields[change.Condition]; known {
		fields[field] = conditionValue(change)
	}
	s.log.WithFields(fields).Log(level, change.Condition.String())
}

// dispatchRequest carries out an action on a request.
func (s *Server) dispatchRequest(request *activeRequest, action admission.Action) {
	switch action.Kind {
	case admission.ActionRun:
		s.startRun(request)
	case admission.ActionReject:
		s.reject(request, action.Rejection)
	case admission.ActionFail:
		s.fail(request)
	case admission.ActionCall:
		s.callStore(request, action.Timeout)
	case admission.ActionSkipCall:
		s.skipCall(request)
	case admission.ActionRemember:
		s.idempotency.retain(request)
	case admission.ActionForget:
		// The controller's key table accounts for memory only. When a key expires is decided by the idempotencyTable: an
		// entry without a run is dropped with its last attempt, one with a run stays for its window.
	case admission.ActionReuse:
		s.reuseResult(request)
	default:
		// ActionStop: it needs settings that the configuration does not admit.
		s.warnings.WarnFields("controller", "unsupported action of the admission controller", nil,
			logrus.Fields{"action": int(action.Kind)})
	}
}

// scheduleWake lets the controller step at that time, with gauges that are asked for shortly before.
func (s *Server) scheduleWake(at time.Duration) {
	if sampleAt := at - gaugeRequestMargin; sampleAt > s.clock.now {
		s.deadlines.Add(sampleAt, s.agent.SampleGauges)
	} else {
		s.agent.SampleGauges()
	}
	s.deadlines.Add(at, func() {
		gauges := s.gauges.latest(s.clock.now)
		s.admission.enqueue(admission.TimerFired(gauges))
	})
}
