package fleet

import "time"

const (
	// conflictTimeout is how long a rival must prove that it lives until this process releases the name. A process
	// that is being replaced publishes that within this time.
	conflictTimeout = 3 * time.Second
	maxRivals       = 8
)

// rival is a process with the same name that has proved that it lives: its incarnation answers one of this process.
type rival struct {
	firstProof, lastProof time.Duration // of an unbroken series of proofs
	lastSeq               uint64        // of the record that was the last proof
}

// rivalSet is the rivals of a process by their Run.
type rivalSet map[uint64]rival

// prove notes that the process of the record lives. Ok is false for a record that is no new proof, and where there are
// too many rivals.
func (s rivalSet) prove(now time.Duration, record *Record) (proven rival, ok bool) {
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

// Receive handles the record of another process with this name, and returns whether this process has to publish at
// once: a higher incarnation, or that it has released the name.
//
// The record is that of a predecessor, which is superseded by a higher incarnation, or that of a process that lives at
// the same time. A predecessor that has ended can't answer a raise of the incarnation, a living rival does. Of two that
// live, the one that was started later releases the name.
func (s *Self) Receive(now time.Duration, record *Record) (urgent bool) {
	if record.Name != s.record.Name || record.Run == s.record.Run || s.ownership != nameOwned {
		return false
	}
	if s.answeredBy(record) {
		proven, ok := s.rivals.prove(now, record)
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

// answeredBy reports whether a process that lives has raised its incarnation above that of this one.
func (s *Self) answeredBy(record *Record) bool {
	return record.Supersedes == s.record.Run && record.State != Stopped
}

// releaseName gives up the name for good.
func (s *Self) releaseName() {
	s.ownership = nameReleased
	s.record.State = Stopped
}
