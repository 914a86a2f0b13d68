package admission

import "time"

const (
	// Limit of the mean read delay, as a fraction of the shortest objective.
	unhealthyReadDelayRatio = 0.4
	// Minimum duration of a health state.
	minHealthDuration = 500 * time.Millisecond
)

// health decides how health checks are answered. A server is reported unhealthy while operators have
// deregistered it, and temporarily when the mean read delay is over its limit. In that case rejecting
// requests is not enough: a rejection costs CPU time as well, and RetryAfter does not reduce the load from
// clients whose next request would come later anyway.
//
// The state flips back after minHealthDuration even if the read delay is still over its limit. A server is
// therefore unhealthy for its read delay at most half of the time, and a fleet whose servers are all late
// keeps about half of its servers.
type health struct {
	deregistered bool          // by an operator
	unhealthy    bool          // because of the read delay
	changedAt    time.Duration // time of the last change of the state
}

// adjust updates the state, once per periodic decision, and reports whether the answer to health checks has
// changed. The answer does not change during a drain.
func (h *health) adjust(now time.Duration, readDelayExceeded, draining bool) (changed bool) {
	unhealthy := !h.unhealthy && readDelayExceeded // an unhealthy state flips back
	tooSoon := now < h.changedAt+minHealthDuration
	if draining || h.deregistered || unhealthy == h.unhealthy || tooSoon {
		return false
	}
	h.unhealthy = unhealthy
	h.changedAt = now
	return true
}

// setDeregistered records that operators have deregistered the server or registered it again, and reports
// whether the answer to health checks must be sent again. It ends an unhealthy state that the read delay has
// caused. Requests that still arrive are handled as usual, since clients notice the change late. The answer
// does not change during a drain.
func (h *health) setDeregistered(now time.Duration, deregistered, draining bool) (changed bool) {
	h.deregistered = deregistered
	if draining {
		return false
	}
	h.unhealthy = false
	h.changedAt = now
	return true
}

// answer returns how health checks are answered from now on. Cached is always true: the server answers from
// its last state, without a check of the agent.
func (h *health) answer() HealthAnswer {
	return HealthAnswer{Healthy: !h.unhealthy && !h.deregistered, Cached: true}
}
