package server

import "time"

// completedIDs holds the IDs of attempts that were run or answered recently. An attempt whose ID is sent again, by an
// unknown sender or a faulty front end, is neither run nor served a second time. IDs are kept in two generations, of
// which the older is dropped as a whole. A copy of an older attempt is invalid because of its arrival time. The loop
// owns it.
type completedIDs struct {
	current, previous map[string]struct{}
	rotatedAt         time.Duration // when current was started
}

// add records an ID for at least retention. While IDs are added continually, it is dropped after twice that time at the
// latest.
func (c *completedIDs) add(id string, now, retention time.Duration) {
	if c.current == nil || now-c.rotatedAt > retention {
		c.rotate(now)
	}
	c.current[id] = struct{}{}
}

// rotate starts a new generation, and drops the older one of the two.
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
