package admission

import "time"

// reportInterval is the least time between two log lines about one condition.
const reportInterval = 5 * time.Second

// conditionReporter decides which changes of conditions are logged: a condition that comes and goes is
// reported seldom.
type conditionReporter struct {
	states [conditionCount]conditionState
}

// conditionState is what was reported last of a condition, and when.
type conditionState struct {
	active     bool
	reportedAt time.Duration // 0: never
}

// changed reports whether a change of a condition is to be logged at now.
func (r *conditionReporter) changed(now time.Duration, condition Condition, active bool) bool {
	state := &r.states[condition]
	tooSoon := state.reportedAt > 0 && now < state.reportedAt+reportInterval
	if active == state.active || tooSoon {
		return false
	}
	state.active = active
	state.reportedAt = max(now, 1)
	return true
}
