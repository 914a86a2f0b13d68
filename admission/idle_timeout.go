package admission

import "time"

const (
	// Mean interval of a client, as a fraction of the timeout, above which the timeout is shortened.
	idleConnectionPayoff = 0.5
	// Timeout while clients seldom return.
	shortIdleTimeout = 500 * time.Millisecond
)

// idleTimeout decides how long idle connections are kept. An open connection costs CPU time and a place in a
// table of unknown size; a new connection costs work once. If clients return well within the configured
// timeout, they keep their connections. If they seldom do, connections are closed soon, before infrequent
// clients fill the table.
type idleTimeout struct {
	configured time.Duration // from the settings
	current    time.Duration // in effect
}

// adjust sets the timeout for the given number of clients, once per periodic decision, and reports whether it
// has changed.
func (t *idleTimeout) adjust(now time.Duration, clients float64, arrivals *arrivalRate) (changed bool) {
	arrivals.counts.DecayTo(now)
	requests := arrivals.counts.First // per offeredTimeConstant
	timeout := t.configured
	if clients*offeredTimeConstant.Seconds() > idleConnectionPayoff*timeout.Seconds()*requests {
		timeout = min(timeout, shortIdleTimeout)
	}
	changed = timeout != t.current
	t.current = timeout
	return changed
}
