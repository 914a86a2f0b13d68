package fleet

import "time"

// Reach is what the failure detection of this observer says of a process.
type Reach uint8

// Results of the failure detection.
const (
	NeverReached Reach = iota // known by records that others passed on only
	Reached                   // it answers this observer or one that probed for it, or it may still refute a suspicion
	Lost                      // it did not answer, and did not refute the suspicion in time
)

// Evidence is the result of a dial to the address of a lost process. Its loss alone says only that nothing comes back.
type Evidence uint8

// Results of a dial.
const (
	NoEvidence         Evidence = iota // not dialed, or not finished
	ConnectionRefused                  // the machine answers, and nothing listens there
	ConnectionAccepted                 // the connection is accepted, and nothing comes back on it
	Unanswered                         // nothing comes back, not even a refusal
)

// Liveness is what an observer concludes about a member.
type Liveness uint8

// Conclusions about a member.
const (
	Unconfirmed Liveness = iota // known by records that others passed on only
	Alive                       // it is reached
	Suspect                     // it is reached, but its record is overdue, or its next process has not published yet
	Stalled                     // its process is there and does not work: it is stopped, or its loop stalls
	Unreachable                 // partitioned from this observer; it may be well
	Failed                      // its machine answers that it is not there
	Left                        // it published that it stops
)

var livenessNames = [...]string{
	Unconfirmed: "unconfirmed", Alive: "alive", Suspect: "suspect", Stalled: "stalled",
	Unreachable: "unreachable", Failed: "failed", Left: "left",
}

func (l Liveness) String() string { return livenessNames[l] }

// ended reports whether the process of the member has ended.
func (l Liveness) ended() bool { return l == Left || l == Failed }

// liveness is the conclusion about the member now, where records older than fresh are overdue.
func (e *entry) liveness(now, fresh time.Duration) Liveness {
	if e.record != nil && e.record.State == Stopped {
		return Left
	}
	current := e.currentObservation()
	if current == nil {
		return Unconfirmed
	}
	switch current.reach {
	case Reached:
		return e.livenessReached(now, fresh, current)
	case Lost:
		return e.livenessLost(current)
	default: // NeverReached
		return Unconfirmed
	}
}

func (e *entry) livenessReached(now, fresh time.Duration, current *observation) Liveness {
	switch {
	case e.record != nil && e.record.Stalled > 0:
		return Stalled
	case now-current.since > fresh && e.overdue(now, fresh):
		return Suspect
	}
	return Alive
}

// overdue reports whether no record was received, or the last one is older than fresh.
func (e *entry) overdue(now, fresh time.Duration) bool {
	return e.record == nil || now-e.recordedAt > fresh
}

func (e *entry) livenessLost(current *observation) Liveness {
	for i := range e.observations {
		if e.observations[i].reach == Reached {
			return Suspect // the next process of the name is there, and its record has not been received yet
		}
	}
	switch current.evidence {
	case ConnectionRefused:
		return Failed
	case ConnectionAccepted:
		return Stalled
	default: // NoEvidence, Unanswered
		return Unreachable
	}
}
