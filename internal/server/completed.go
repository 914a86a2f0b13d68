package server

import "time"

// completedIDs knows which tries were run or answered lately: one that comes again, as a stranger or a faulty front end may
// repeat it, is neither run nor served a second time. It holds two generations; each is forgotten whole. A try that is
// older than that is turned down for its age. It belongs to the loop.
type completedIDs struct {
	current, previous map[string]struct{}
	rotatedAt         time.Duration // when young was begun
}

// add notes id at now, for keep at least and twice that at most.
func (t *completedIDs) add(id string, now, keep time.Duration) {
	if t.current == nil || now-t.rotatedAt > keep {
		t.current, t.previous, t.rotatedAt = map[string]struct{}{}, t.current, now
	}
	t.current[id] = struct{}{}
}

func (t *completedIDs) contains(id string) bool {
	_, young := t.current[id]
	_, old := t.previous[id]
	return young || old
}

func (t *completedIDs) size() int { return len(t.current) + len(t.previous) }

// markCompleted notes that a try was run or answered.
func (s *Server) markCompleted(r *activeRequest) {
	s.completed.add(r.attempt.ID, s.clock.now, s.maxArrivalAge())
}
