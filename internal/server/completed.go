package server

import "time"

// completedIDs holds the IDs of attempts that were run or answered lately: one that is sent again, by a stranger or a
// faulty front end, is neither run nor served a second time. It holds two generations, and forgets the older one
// as a whole; an older attempt is rejected for its arrival time. The loop owns it.
type completedIDs struct {
	current, previous map[string]struct{}
	rotatedAt         time.Duration // when current was begun
}

// add remembers an ID for retention at least, and for twice that at most.
func (c *completedIDs) add(id string, now, retention time.Duration) {
	if c.current == nil || now-c.rotatedAt > retention {
		c.rotate(now)
	}
	c.current[id] = struct{}{}
}

// rotate begins a new generation, and forgets the older one of the two.
func (c *completedIDs) rotate(now time.Duration) {
	c.previous = c.current
	c.current = map[string]struct{}{}
	c.rotatedAt = now
}

func (c *completedIDs) contains(id string) bool {
	if _, ok := c.current[id]; ok {
		return true
	}
	_, ok := c.previous[id]
	return ok
}

func (c *completedIDs) size() int { return len(c.current) + len(c.previous) }

// markCompleted records that a request was run or answered.
func (s *Server) markCompleted(request *activeRequest) {
	s.completed.add(request.attempt.ID, s.clock.now, s.config.maxArrivalAge())
}
