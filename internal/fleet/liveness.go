package fleet

import "time"

// Reach says whether this observer's failure detection reaches a process.
type Reach uint8

// The results of the failure detection.
const (
	NeverReached Reach = iota // not reached so far; known only from records that other members passed on
	Reached                   // answers direct or indirect probes, or is suspected and may still refute the suspicion
	Lost                      // did not answer, and did not refute the suspicion in time
)

// DialOutcome is the outcome of a dial to the address of a lost process. It distinguishes the possible causes of the loss.
type DialOutcome uint8

// The outcomes of a dial.
const (
	OutcomeUnknown     DialOutcome = iota // not dialed, not finished, or failed in another way
	ConnectionRefused                     // refused by the machine, or lost before a response
	ConnectionAccepted                    // the connection was accepted, but nothing was received on it in time
	NoResponse                            // the machine did not respond in time
)

// Liveness is the conclusion of an observer about a member from its record, Reach and DialOutcome.
type Liveness uint8

// The conclusions about a member. Suspect is not the suspicion of the failure detection: a process under that suspicion
// still counts as reached.
const (
	Unconfirmed Liveness = iota // known only from records that other members passed on
	Alive                       // reached
	Suspect                     // reached, but its record is overdue, or none of its new process has arrived yet
	Stalled                     // its process exists but makes no progress: it is suspended, or its server loop stalls
	Unreachable                 // lost, and no dial has shown why: it may be partitioned from this observer and still work
	Failed                      // lost with ConnectionRefused: its process is assumed to have ended
	Left                        // it published that it stops
)

var livenessNames = [...]string{
	Unconfirmed: "unconfirmed", Alive: "alive", Suspect: "suspect", Stalled: "stalled",
	Unreachable: "unreachable", Failed: "failed", Left: "left",
}

func (l Liveness) String() string { return livenessNames[l] }

// ended reports whether the member's process has ended.
func (l Liveness) ended() bool { return l == Left || l == Failed }

// liveness returns the conclusion about the member at now. A record older than maxAge is overdue.
func (e *entry) liveness(now, maxAge time.Duration) Liveness {
	if e.record != nil && e.record.State == Stopped {
		return Left
	}
	current := e.currentObservation()
	if current == nil {
		return Unconfirmed
	}
	switch current.reach {
	case Reached:
		return e.livenessReached(now, maxAge, current)
	case Lost:
		return e.livenessLost(current)
	default: // NeverReached
		return Unconfirmed
	}
}

// livenessReached is liveness for a process that is reached. A record can be overdue only once the process has been reached
// for longer than maxAge, as its first record takes time to arrive.
func (e *entry) livenessReached(now, maxAge time.Duration, current *observation) Liveness {
	switch {
	case e.record != nil && e.record.Stalled > 0:
		return Stalled
	case now-current.since > maxAge && e.overdue(now, maxAge):
		return Suspect
	}
	return Alive
}

// overdue reports whether no record was received, or the last one is older than maxAge.
func (e *entry) overdue(now, maxAge time.Duration) bool {
	return e.record == nil || now-e.recordedAt > maxAge
}

// livenessLost is liveness for a process that is lost.
func (e *entry) livenessLost(current *observation) Liveness {
	for i := range e.observations {
		if e.observations[i].reach == Reached {
			return Suspect // a new process with this name is reached, but its record has not arrived yet
		}
	}
	switch current.dialOutcome {
	case ConnectionRefused:
		return Failed
	case ConnectionAccepted:
		return Stalled
	default: // OutcomeUnknown, NoResponse
		return Unreachable
	}
}
