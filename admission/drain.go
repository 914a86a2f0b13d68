package admission

import "time"

const (
	answerMargin = 20 * time.Millisecond // answers are sent this long before their deadline
	stopMargin   = 80 * time.Millisecond // the last answers are sent this long before the process ends
)

// drain is the shutdown of a process, which answers all requests that it has read before it stops. Clients
// notice a drain late. Requests that arrive within the grace period after the signal are therefore still run
// if they can end in time.
type drain struct {
	started   bool
	startedAt time.Duration // when the signal was given
	stopAt    time.Duration // when the process ends
	grace     time.Duration // requests that arrive up to this long after the signal are still run
}

// start begins a drain whose signal was given signal.Age before now.
func (d *drain) start(now time.Duration, signal DrainSignal) {
	d.started = true
	d.startedAt = now - signal.Age
	d.stopAt = signal.StopAt
}

// answerDeadline returns the time by which a request must be answered: shortly before its deadline and, in a
// drain, before the process ends.
func (d *drain) answerDeadline(request *request) time.Duration {
	at := request.deadline - answerMargin
	if d.started {
		at = min(at, d.lastAnswerAt())
	}
	return at
}

// acceptsRun reports whether a request that reached the machine at arrivedAt may run, if it would end at
// endsAt.
func (d *drain) acceptsRun(arrivedAt, endsAt time.Duration) bool {
	arrivedInGrace := !d.started || arrivedAt <= d.startedAt+d.grace
	return arrivedInGrace && d.acceptsEnd(endsAt)
}

// acceptsEnd reports whether a run that ends at endsAt can still be answered.
func (d *drain) acceptsEnd(endsAt time.Duration) bool {
	return !d.started || endsAt <= d.lastAnswerAt()
}

// lastAnswerAt returns the time by which all answers must be sent.
func (d *drain) lastAnswerAt() time.Duration { return d.stopAt - stopMargin }
