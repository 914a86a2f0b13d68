package admission

import "time"

const (
	unhealthyReadDelayRatio = 0.4                    // delay before reading, of the shortest objective
	minHealthDuration       = 500 * time.Millisecond // for which a health state stays at least
)

// health decides how health checks are answered. A server is reported unhealthy while operators have
// deregistered it, and for a time when the delay before requests are read is over its limit: rejecting them
// costs work too, and clients that send seldom return after any advice has expired.
//
// The state flips back after minHealthDuration even while the delay persists, so that for its delay a server
// is unhealthy half of the time at most. A fleet whose servers are all late keeps about half of them.
type health struct {
	deregistered bool // by an operator
	unhealthy    bool
	changedAt    time.Duration
}

// adjust decides anew at now, once per sweep, and reports whether the answer has changed. During a drain it
// stays.
func (h *health) adjust(now time.Duration, readDelayExceeded, draining bool) (changed bool) {
	unhealthy := !h.unhealthy && readDelayExceeded // false if unhealthy now: the state flips back
	tooSoon := now < h.changedAt+minHealthDuration
	if draining || h.deregistered || unhealthy == h.unhealthy || tooSoon {
		return false
	}
	h.unhealthy = unhealthy
	h.changedAt = now
	return true
}

// setDeregistered records that operators have deregistered the server, or registered it again, and reports
// whether the answer to health checks is to be sent anew. Requests that still arrive are handled as usual, as
// clients notice late. A state caused by the read delay ends. During a drain the answer stays.
func (h *health) setDeregistered(now time.Duration, deregistered, draining bool) (changed bool) {
	h.deregistered = deregistered
	if draining {
		return false
	}
	h.unhealthy = false
	h.changedAt = now
	return true
}

// answer is how health checks are answered from now on. Cached is always true: the server answers them from
// its last state, without a check of the agent.
func (h *health) answer() HealthAnswer {
	return HealthAnswer{Healthy: !h.unhealthy && !h.deregistered, Cached: true}
}
