package fleet

import (
	"slices"
	"time"
)

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

// maxObservations is the number of processes of one name that are observed.
const maxObservations = 4

// observation is what the failure detection and dials found out of one process.
type observation struct {
	run      uint64
	reach    Reach
	evidence Evidence
	since    time.Duration // of the reach
}

// entry is what a view holds of one name.
type entry struct {
	record           *Record // nil: none was received
	recordedAt       time.Duration
	startedAt        time.Duration // least (receipt - Record.Up) of the process: its latest possible start
	startEstimatedAt time.Duration // when startedAt was last compared
	observations     []observation // newest last
	lastReached      time.Duration // when any of its processes was last reached, or else when the entry was made
}

// observationOf returns the observation of a process, or nil.
func (e *entry) observationOf(run uint64) *observation {
	for i := range e.observations {
		if e.observations[i].run == run {
			return &e.observations[i]
		}
	}
	return nil
}

// observe returns the observation of a process. A new one replaces the oldest if there are too many.
func (e *entry) observe(now time.Duration, run uint64) *observation {
	if known := e.observationOf(run); known != nil {
		return known
	}
	if len(e.observations) >= maxObservations {
		e.observations = slices.Delete(e.observations, 0, 1)
	}
	e.observations = append(e.observations, observation{run: run, since: now})
	return &e.observations[len(e.observations)-1]
}

// currentObservation returns the observation of the process whose record is current, or of the newest process if no
// record was received; nil if there is none.
func (e *entry) currentObservation() *observation {
	if e.record != nil {
		return e.observationOf(e.record.Run)
	}
	if len(e.observations) == 0 {
		return nil
	}
	return &e.observations[len(e.observations)-1]
}

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
