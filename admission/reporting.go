package admission

import "time"

// reportInterval is the minimum time between two log lines about the same condition.
const reportInterval = 5 * time.Second

// conditionReporter decides which changes of conditions are logged. It limits the rate for conditions that
// flap.
type conditionReporter struct {
	states [conditionCount]conditionState // indexed by Condition
}

// conditionState is the last reported state of a condition.
type conditionState struct {
	active     bool
	reportedAt time.Duration // time of the last report; 0: never
}

// changed reports whether the state of a condition differs from the reported one and is to be logged at now.
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
