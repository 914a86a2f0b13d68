package admission

import (
	"time"

	"falldeal/admission/internal/timedqueue"
)

const (
	periodicInterval    = 100 * time.Millisecond // between two periodic decisions
	maxSkippedIntervals = 10                     // while idle; the server treats older gauges as unknown
)

// deadlineKind says what happens when a deadline passes.
type deadlineKind uint8

const (
	deadlineAnswer        deadlineKind = iota // a request must be answered
	deadlineCallRetry                         // the backoff of a call has passed
	deadlineAbandonedCall                     // an abandoned call no longer occupies the dependency
	deadlineKey                               // a remembered request expires
)

func (k deadlineKind) String() string {
	return [...]string{"answer", "call retry", "abandoned call", "key"}[k]
}

// deadline is an entry of the timers. The time at which it is due is its key in timers.deadlines.
type deadline struct {
	kind    deadlineKind
	request *request  // set for deadlineAnswer and deadlineCallRetry
	id      RequestID // set for deadlineKey and deadlineCallRetry
}

// obsolete reports whether a deadline no longer requires any action.
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

// timers decides when the controller has something to do: at deadlines and at the periodic decisions. While
// the server is idle, no request depends on the periodic decisions, so some are skipped. They are made up for
// in the next step, which is taken at the next event and at the latest after maxSkippedIntervals.
type timers struct {
	deadlines      timedqueue.Queue[deadline]
	purge          purgeThreshold // of deadlines
	started        bool           // the first step was taken
	wakeAt         time.Duration  // At of the last ActionWake
	nextPeriodicAt time.Duration  // time of the next periodic decisions
	idle           bool           // periodic decisions are skipped
}

// start reports whether this is the first step.
func (t *timers) start() bool {
	first := !t.started
	t.started = true
	return first
}

// add schedules a deadline.
func (t *timers) add(at time.Duration, due deadline) { t.deadlines.Push(at, due) }

// expired removes and returns the earliest deadline that has passed at now. It returns false if there is
// none. Obsolete deadlines are dropped.
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

// purgeObsolete removes obsolete deadlines if there may be many. forgotten reports whether a remembered
// request was forgotten before its deadlineKey.
func (t *timers) purgeObsolete(forgotten func(RequestID) bool) {
	if !t.purge.reached(t.deadlines.Len()) {
		return
	}
	t.deadlines.DeleteFunc(func(due deadline) bool {
		if due.kind == deadlineKey {
			return forgotten(due.id)
		}
		return due.obsolete()
	})
	t.purge.purged(t.deadlines.Len())
}

// catchUp makes the periodic decisions that were skipped. It runs before the events at now are handled, so
// that the decisions are based on the state of the idle server.
func (t *timers) catchUp(now time.Duration, runPeriodic func()) {
	// Limits the number of decisions after the machine was suspended.
	t.nextPeriodicAt = max(t.nextPeriodicAt, now-maxSkippedIntervals*periodicInterval)
	for t.idle && t.nextPeriodicAt < now {
		runPeriodic()
		t.nextPeriodicAt += periodicInterval
	}
	t.idle = false
}

// periodicDue reports whether the periodic decisions are due at now. If so, the next ones are due a
// periodicInterval later.
func (t *timers) periodicDue(now time.Duration) bool {
	if now < t.nextPeriodicAt {
		return false
	}
	t.nextPeriodicAt = now + periodicInterval
	return true
}

// schedule returns the time of the next ActionWake: that of the next periodic decisions, or of an earlier
// deadline. It returns false if the last ActionWake is still pending and early enough.
func (t *timers) schedule(now time.Duration, idle bool) (at time.Duration, ok bool) {
	t.idle = idle
	next := t.nextPeriodicAt
	if idle {
		next += (maxSkippedIntervals - 1) * periodicInterval
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
