package server

import "time"

// spentIDs knows which tries were run or answered lately: one that comes again, as a stranger or a faulty front end may
// repeat it, is neither run nor served a second time. It holds two generations; each is forgotten whole. A try that is
// older than that is turned down for its age. It belongs to the loop.
type spentIDs struct {
	young, old map[string]struct{}
	turned     time.Duration // when young was begun
}

// add notes id at now, for keep at least and twice that at most.
func (t *spentIDs) add(id string, now, keep time.Duration) {
	if t.young == nil || now-t.turned > keep {
		t.young, t.old, t.turned = map[string]struct{}{}, t.young, now
	}
	t.young[id] = struct{}{}
}

func (t *spentIDs) has(id string) bool {
	_, young := t.young[id]
	_, old := t.old[id]
	return young || old
}

func (t *spentIDs) size() int { return len(t.young) + len(t.old) }

// spend notes that a try was run or answered.
func (s *Server) spend(r *request) { s.spent.add(r.try.ID, s.clock.now, s.lateMost()) }
