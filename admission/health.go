package admission

import "time"

const (
	unhealthyReadDelayRatio = 0.4                    // delay before reading, of the shortest objective
	minHealthDuration       = 500 * time.Millisecond // for which a health state stays at least
)

// health decides how health checks are answered. They are answered badly while operators have deregistered
// the server, and for a while when requests wait so long to be read that it reads in vain: rejecting costs
// work too, and a client that comes seldom has forgotten any advice. A server is unhealthy half of the time
// at most, so that a fleet in the same state is thinned out and not emptied.
type health struct {
	deregistered bool // by an operator
	unhealthy    bool
	changedAt    time.Duration
}

// adjust decides anew at now, once per sweep, and reports whether the answer has changed. During a drain it
// stays.
func (h *health) adjust(now time.Duration, readsInVain, draining bool) (changed bool) {
	unhealthy := !h.unhealthy && readsInVain
	tooSoon := now < h.changedAt+minHealthDuration
	if draining || h.deregistered || unhealthy == h.unhealthy || tooSoon {
		return false
	}
	h.unhealthy = unhealthy
	h.changedAt = now
	return true
}

// setDeregistered records that operators want clients elsewhere, or back, and reports whether checks are to
// be answered accordingly. Requests that still arrive are handled as usual: clients notice late. That reading
// was late is forgotten. During a drain the answer stays.
func (h *health) setDeregistered(now time.Duration, deregistered, draining bool) (changed bool) {
	h.deregistered = deregistered
	if draining {
		return false
	}
	h.unhealthy = false
	h.changedAt = now
	return true
}

// answer is how health checks are answered from now on.
func (h *health) answer() HealthAnswer {
	return HealthAnswer{Healthy: !h.unhealthy && !h.deregistered, Cached: true}
}
