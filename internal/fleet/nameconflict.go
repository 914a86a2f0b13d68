package fleet

import "time"

const (
	// conflictTimeout is how long an earlier rival must keep proving that it runs before this process releases the name.
	// A predecessor that is being replaced publishes the state Stopped within this time, and then no longer counts as a
	// rival.
	conflictTimeout = 3 * time.Second
	maxRivals       = 8 // rivals that a process keeps track of
)

// rival is another process with the same name that has proved that it runs: it raised its incarnation above this
// process's, see provesRunning.
type rival struct {
	firstProof, lastProof time.Duration // receipt of first and last proof in a series without a gap over conflictTimeout
	lastSeq               uint64        // sequence number of the last record that was a proof
}

// rivalSet holds the rivals of a process by their Run.
type rivalSet map[uint64]rival

// recordProof records that the process that published the record runs. It returns false if the record is not newer than
// the last proof, or there are maxRivals other rivals.
func (s rivalSet) recordProof(now time.Duration, record *Record) (proven rival, ok bool) {
	proven, known := s[record.Run]
	full := !known && len(s) >= maxRivals
	if full || record.Seq <= proven.lastSeq {
		return proven, false
	}
	if !known || now-proven.lastProof > conflictTimeout {
		proven.firstProof = now
	}
	proven.lastProof = now
	proven.lastSeq = record.Seq
	s[record.Run] = proven
	return proven, true
}

// Receive handles a record of another process with this process's name. It returns true if this process must publish at
// once, either a higher incarnation or the release of its name. A process that was replaced or has released its name ignores
// the record.
//
// The record is that of a predecessor that has ended, or of a rival that runs at the same time:
//
//   - If the record is greater than that of this process by Record.Less, this process raises its incarnation above that of
//     the received record, so that the records of this process supersede it.
//   - A predecessor that has ended cannot react to the raise. A rival raises its own incarnation in turn, which proves
//     that it runs.
//   - Of two processes that run, the one that started later releases the name, once the other has kept proving that it
//     runs for conflictTimeout.
func (s *Self) Receive(now time.Duration, record *Record) (urgent bool) {
	if record.Name != s.record.Name || record.Run == s.record.Run || s.ownership != nameOwned {
		return false
	}
	if s.provesRunning(record) {
		proven, ok := s.rivals.recordProof(now, record)
		if !ok {
			return false
		}
		if record.Run < s.record.Run && now-proven.firstProof >= conflictTimeout {
			s.releaseName()
			return true
		}
	}
	if record.Less(&s.record) {
		return false
	}
	s.record.Incarnation = record.Incarnation + 1
	s.record.Supersedes = record.Run
	return true
}

// provesRunning reports whether the record proves that its process runs: it has raised its incarnation above this
// process's, and has not stopped.
func (s *Self) provesRunning(record *Record) bool {
	return record.Supersedes == s.record.Run && record.State != Stopped
}

// releaseName releases the name permanently.
func (s *Self) releaseName() {
	s.ownership = nameReleased
	s.record.State = Stopped
}
