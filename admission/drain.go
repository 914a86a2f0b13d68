package admission

import "time"

const (
	answerMargin = 20 * time.Millisecond // an answer is sent this long before its deadline
	stopMargin   = 80 * time.Millisecond // the last answers are sent this long before the process ends
)

// drain is the end of a process: it answers all requests that it has read before it stops. Requests that
// arrive in the grace after the signal are still run, as clients notice late, if they can end in time.
type drain struct {
	started   bool
	startedAt time.Duration // when the signal was given
	stopAt    time.Duration // when the process ends
	grace     time.Duration // for which requests that arrive after the signal are still run
}

// start begins a drain, for which a signal was given waited before now.
func (d *drain) start(now time.Duration, signal DrainSignal) {
	d.started = true
	d.startedAt = now - signal.Waited
	d.stopAt = signal.StopAt
}

// answerDeadline is when a request must be answered: a little before its deadline and before the process
// ends.
func (d *drain) answerDeadline(request *request) time.Duration {
	at := request.deadline - answerMargin
	if d.started {
		at = min(at, d.lastAnswerAt())
	}
	return at
}

// acceptsRun reports whether a request that reached the machine at arrivedAt may run and end at endsAt.
func (d *drain) acceptsRun(arrivedAt, endsAt time.Duration) bool {
	arrivedInGrace := !d.started || arrivedAt <= d.startedAt+d.grace
	return arrivedInGrace && d.acceptsEnd(endsAt)
}

// acceptsEnd reports whether a run that ends at that time can still be answered.
func (d *drain) acceptsEnd(endsAt time.Duration) bool {
	return !d.started || endsAt <= d.lastAnswerAt()
}

func (d *drain) lastAnswerAt() time.Duration { return d.stopAt - stopMargin }
