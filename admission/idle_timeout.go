package admission

import "time"

const (
	// Mean interval between the requests of a client above which the timeout is shortened, as a fraction of
	// the configured timeout.
	maxClientIntervalRatio = 0.5
	// Timeout while the mean interval is above that.
	shortIdleTimeout = 500 * time.Millisecond
)

// idleTimeout decides how long idle connections are kept. An open connection costs CPU time and an entry in
// the connection table, whose size is unknown; opening one costs CPU time once. While clients on average send
// their next request well within the configured timeout, connections are kept that long. Otherwise they are
// closed early, before those of infrequent clients fill the table.
type idleTimeout struct {
	configured time.Duration // from the settings
	current    time.Duration // in effect
}

// adjust sets the timeout for the given number of clients, once per periodic decision, and reports whether it
// has changed.
func (t *idleTimeout) adjust(now time.Duration, clients float64, arrivals *arrivalRate) (changed bool) {
	arrivals.counts.DecayTo(now)
	requests := arrivals.counts.First // number of requests in about offeredTimeConstant
	timeout := t.configured
	if clients*offeredTimeConstant.Seconds() > maxClientIntervalRatio*timeout.Seconds()*requests {
		timeout = min(timeout, shortIdleTimeout)
	}
	changed = timeout != t.current
	t.current = timeout
	return changed
}
