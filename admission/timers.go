package admission

import (
	"time"

	"falldeal/admission/internal/timedqueue"
)

const (
	sweepInterval    = 100 * time.Millisecond // between two periodic decisions
	maxSkippedSweeps = 10                     // while idle; gauges stay valid for that long
)

// deadlineKind distinguishes what a deadline is about.
type deadlineKind uint8

const (
	deadlineAnswer        deadlineKind = iota // a request must be answered
	deadlineCallRetry                         // a call may be retried
	deadlineAbandonedCall                     // an abandoned call no longer occupies the dependency
	deadlineKey                               // a key expires
)

func (k deadlineKind) String() string {
	return [...]string{"answer", "call retry", "abandoned call", "key"}[k]
}

// deadline is something that is due at a time.
type deadline struct {
	kind    deadlineKind
	request *request  // deadlineAnswer, deadlineCallRetry
	id      RequestID // deadlineKey
}

// obsolete reports whether nothing is to be done about a deadline any more.
func (d *deadline) obsolete() bool {
	switch d.kind {
	case deadlineAnswer:
		return d.request.state == released || d.request.answered
	case deadlineCallRetry:
		return d.request.state != awaitingCall || d.request.answered
	case deadlineAbandonedCall, deadlineKey:
	}
	return false
}

// timers tells when the controller has something to do: at deadlines, and at the periodic decisions, the
// sweeps. While the server is idle a sweep would change nothing, and some are skipped. They are made up for
// when something happens, or after maxSkippedSweeps.
type timers struct {
	deadlines timedqueue.Queue[deadline]
	started   bool          // the first step was taken
	wakeAt    time.Duration // of the last ActionWake
	sweepAt   time.Duration // of the next sweep
	idle      bool          // sweeps are skipped
}

// start reports whether this is the first step.
func (t *timers) start() bool {
	first := !t.started
	t.started = true
	return first
}

func (t *timers) add(at time.Duration, due deadline) { t.deadlines.Push(at, due) }

// expired removes and returns the next deadline that has passed at now; false means that there is none.
func (t *timers) expired(now time.Duration) (deadline, bool) {
	for {
		next, at, ok := t.deadlines.Peek()
		if !ok {
			return deadline{}, false
		}
		obsolete := next.obsolete()
		if !obsolete && at > now {
			return deadline{}, false
		}
		t.deadlines.Pop()
		if !obsolete {
			return next, true
		}
	}
}

// catchUp makes the sweeps that were skipped, before the events at now are handled, so that each sweep acts
// on the state of its own time.
func (t *timers) catchUp(now time.Duration, sweep func()) {
	t.sweepAt = max(t.sweepAt, now-maxSkippedSweeps*sweepInterval) // the machine may have been suspended
	for t.idle && t.sweepAt < now {
		sweep()
		t.sweepAt += sweepInterval
	}
	t.idle = false
}

// shouldSweep reports whether a sweep is due at now, and expects the next one after a sweepInterval.
func (t *timers) shouldSweep(now time.Duration) bool {
	if now < t.sweepAt {
		return false
	}
	t.sweepAt = now + sweepInterval
	return true
}

// schedule returns when the controller is to be woken: at the next sweep, or at an earlier deadline. False
// means that an earlier ActionWake is still pending and early enough.
func (t *timers) schedule(now time.Duration, idle bool) (at time.Duration, ok bool) {
	t.idle = idle
	next := t.sweepAt
	if idle {
		next += (maxSkippedSweeps - 1) * sweepInterval
	}
	if _, deadlineAt, known := t.deadlines.Peek(); known {
		next = min(next, deadlineAt)
	}
	if t.wakeAt > now && next >= t.wakeAt {
		return 0, false
	}
	t.wakeAt = max(next, now+1)
	return t.wakeAt, true
}
