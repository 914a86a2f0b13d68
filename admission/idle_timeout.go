package admission

import "time"

const (
	idleConnectionPayoff = 0.5 // mean interval of a client, of the timeout, above which it is shortened
	shortIdleTimeout     = 500 * time.Millisecond
)

// idleTimeout is the time after which idle connections are closed. It weighs open connections, which cost CPU
// and a place in a table of unknown size, against new ones, which cost work once. Where a client returns well
// within the configured timeout it keeps its connection; where it seldom does, connections are closed soon,
// before rare clients fill the table.
type idleTimeout struct {
	configured time.Duration
	current    time.Duration
}

// adjust sets the timeout for so many clients, once per sweep, and reports whether it has changed.
func (t *idleTimeout) adjust(now time.Duration, clients float64, arrivals *arrivalRate) (changed bool) {
	arrivals.counts.DecayTo(now)
	requests := arrivals.counts.First // in offeredTimeConstant
	timeout := t.configured
	if clients*offeredTimeConstant.Seconds() > idleConnectionPayoff*timeout.Seconds()*requests {
		timeout = min(timeout, shortIdleTimeout)
	}
	changed = timeout != t.current
	t.current = timeout
	return changed
}
