package server

import (
	"time"

	"falldeal/admission"

	"github.com/sirupsen/logrus"
)

// Stage 3, dispatch: each action of the controller is passed to the part that carries it out.

// millisecondsPerSecond converts seconds to the unit of log fields.
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
		// All other actions concern one request, except for ActionAdvertise. The ID of ActionAdvertise is 0, which no request
		// has, so it is dropped here without a warning, as is an action on a request that has ended.
		if request := s.requests.byID[action.ID]; request != nil {
			s.dispatchRequest(request, action)
		}
	}
}

// conditionFields maps a condition to the log field that holds its value.
var conditionFields = map[admission.Condition]string{
	admission.ConditionBreaker:   "drop_probability",
	admission.ConditionCallLimit: "call_limit",
	admission.ConditionAdmission: "admit_probability",
	admission.ConditionMemory:    "memory_kb",
	admission.ConditionHealth:    "read_delay_ms",
}

// conditionValue returns the value of a condition in the unit of its log field.
func conditionValue(change admission.ConditionChange) float64 {
	if change.Condition == admission.ConditionHealth {
		return change.Value * millisecondsPerSecond
	}
	return change.Value
}

// logCondition logs that a condition of the server begins or ends. Conditions that limit the service begin with a warning.
// A drain is logged at level debug, because its start was logged before.
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
		// The controller's key table only accounts for memory. The idempotencyTable decides when a key expires: an entry
		// without a run is dropped with its last attempt, and one with a run stays for its window.
	case admission.ActionReuse:
		s.reuseResult(request)
	default:
		// ActionStop is issued only with settings that the configuration does not allow.
		s.warnings.WarnFields("controller", "unsupported action of the admission controller", nil,
			logrus.Fields{"action": int(action.Kind)})
	}
}

// scheduleWake schedules a step of the controller at the given time, and requests gauges shortly before it.
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
