package fleet

import (
	"slices"
	"time"
)

// maxObservations is the maximum number of observations of one name, one for each process with the name.
const maxObservations = 4

// observation holds the results of this observer's failure detection and dials for one process.
type observation struct {
	run         uint64 // Record.Run of the process
	reach       Reach
	dialOutcome DialOutcome   // of a dial since the process was lost
	since       time.Duration // when reach took its current value
}

// entry holds the record and the observations of one name in a view. Times are on the observer's clock.
type entry struct {
	record       *Record       // greatest record received; nil: none
	recordedAt   time.Duration // latest time at which record can have been published
	start        startEstimate // of the process that published record
	observations []observation // newest process last
	lastReached  time.Duration // when a process of the name was last reached; if never, when the entry was made
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

// observe returns the observation of a process, which it adds if there is none. Beyond maxObservations it drops the
// oldest.
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

// currentObservation returns the observation of the process that published the current record. If no record was
// received, it returns that of the newest process. It returns nil if there is no such observation.
func (e *entry) currentObservation() *observation {
	if e.record != nil {
		return e.observationOf(e.record.Run)
	}
	if len(e.observations) == 0 {
		return nil
	}
	return &e.observations[len(e.observations)-1]
}

// startEstimate is an upper bound of the time at which a process started, on the observer's clock. It is the minimum,
// over the records of the process, of publication time minus uptime.
//
// The age that an update carries does not include its time in transit, so that a delayed record looks younger than it is:
// now minus age is only an upper bound of its time of publication. The estimate plus the uptime in the record is another
// upper bound. It is the closer one if an earlier record of the process had less delay.
type startEstimate struct {
	latest    time.Duration // the upper bound
	updatedAt time.Duration // when the estimate was last updated
}

// begin sets the estimate from the first record of a process, which has the given age and uptime.
func (s *startEstimate) begin(now, age, up time.Duration) {
	s.latest = now - age - up
	s.updatedAt = now
}

// refine updates the estimate with a further record of the process. It first raises the estimate by the most that the
// clocks of the observer and the process can have drifted apart since the last record, and then lowers it to the bound
// that the record gives, if that is smaller.
func (s *startEstimate) refine(now, age, up time.Duration) {
	drift := max(now-s.updatedAt, 0) / clockDriftDivisor
	s.latest = min(s.latest+drift, now-age-up)
	s.updatedAt = now
}

// recordedAt returns the latest time at which a record of the process with that age and uptime can have been published.
func (s *startEstimate) recordedAt(now, age, up time.Duration) time.Duration {
	return min(now-age, s.latest+up)
}

// merge merges a record of the entry's name. It keeps the record, and returns true, if it is greater than the current one.
func (e *entry) merge(now, age time.Duration, record *Record) (newer bool) {
	newer = e.record == nil || e.record.Less(record)
	switch {
	case e.record != nil && e.record.Run == record.Run:
		e.start.refine(now, age, record.Up)
	case newer:
		e.start.begin(now, age, record.Up)
	default:
		return false // from a superseded process
	}
	recordedAt := e.start.recordedAt(now, age, record.Up)
	switch {
	case newer:
		e.record = record
		e.recordedAt = recordedAt
	case e.record.Seq == record.Seq:
		e.recordedAt = min(e.recordedAt, recordedAt)
	}
	return newer
}
