package fleet

import (
	"slices"
	"time"
)

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
	record       *Record       // nil: none was received
	recordedAt   time.Duration // latest time at which it can have been published
	start        startEstimate // of the process whose record it is
	observations []observation // newest last
	lastReached  time.Duration // when any of its processes was last reached, or else when the entry was made
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

// startEstimate is the latest time at which a process can have started, on the observer's clock: the least difference of
// a receipt and the uptime in the record. Time in transit, which nobody counts, makes other records look younger than
// they are; this shows by how much, as far as an earlier record was faster.
type startEstimate struct {
	latest     time.Duration
	comparedAt time.Duration
}

// begin takes the first record of a process, which has the given age and uptime.
func (s *startEstimate) begin(now, age, up time.Duration) {
	s.latest = now - age - up
	s.comparedAt = now
}

// refine takes a further record of the process. Since the last one the clocks may have drifted.
func (s *startEstimate) refine(now, age, up time.Duration) {
	drift := max(now-s.comparedAt, 0) / clockDriftDivisor
	s.latest = min(s.latest+drift, now-age-up)
	s.comparedAt = now
}

// recordedAt returns the latest time at which a record of the process can have been published.
func (s *startEstimate) recordedAt(now, age, up time.Duration) time.Duration {
	return min(now-age, s.latest+up)
}

// merge is View.Merge for the record's own entry. It keeps the record if that is newer.
func (e *entry) merge(now, age time.Duration, record *Record) (newer bool) {
	newer = e.record == nil || e.record.Less(record)
	switch {
	case e.record != nil && e.record.Run == record.Run:
		e.start.refine(now, age, record.Up)
	case newer:
		e.start.begin(now, age, record.Up)
	default:
		return false // of a process that is superseded
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
