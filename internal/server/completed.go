package server

import (
	"hash/maphash"
	"time"
)

const (
	// ranIDBytes is about the memory of an ID in the table of those that were run.
	ranIDBytes = 32
	// ranMemoryDivisor is the divisor of the memory limit that yields the memory for IDs of attempts that were run.
	ranMemoryDivisor = 32
	// maxRecentIDs is the number of IDs in each generation of those that were answered without a run: as many requests as 512
	// connections may have open, so that a copy that was sent before its request was answered is still recognized.
	maxRecentIDs = 16 << 10
)

// completedIDs holds the IDs of attempts that were run or answered recently. An attempt whose ID is sent again, by an
// unknown sender or a faulty front end, is neither run nor answered a second time. The loop owns it.
//
// Two rules need different memories, because clients can have any number of requests rejected, but only few run:
//
//   - No attempt is run twice. The IDs of those that were run are kept until a copy would be invalid because of its arrival
//     time. If there is no room for another one, the request is not run.
//   - No attempt is answered twice. Of those that were answered without a run, the latest are kept, at most for the same time. A copy
//     that arrives later is handled like any other request: it is answered, and may run once.
type completedIDs struct {
	seed   maphash.Seed
	ran    idGenerations
	recent idGenerations // answered without a run
	maxRan int           // maximum size of ran
}

func newCompletedIDs(memoryMB int) completedIDs {
	return completedIDs{seed: maphash.MakeSeed(), maxRan: memoryMB << 20 / ranMemoryDivisor / ranIDBytes}
}

// hasRoomToRun reports whether the ID of a further run can be recorded. IDs are kept for at least retention.
func (c *completedIDs) hasRoomToRun(now, retention time.Duration) bool {
	if c.ran.age(now) > retention {
		c.ran.rotate(now)
	}
	return c.ran.size() < c.maxRan
}

// addRan records the ID of an attempt that is run, after hasRoomToRun.
func (c *completedIDs) addRan(id string) { c.ran.add(c.hash(id)) }

// removeRan removes the ID of an attempt whose run turned out not to have started.
func (c *completedIDs) removeRan(id string) { c.ran.remove(c.hash(id)) }

// addAnswered records the ID of an attempt that was answered.
func (c *completedIDs) addAnswered(id string, now, retention time.Duration) {
	if c.recent.age(now) > retention || len(c.recent.current) >= maxRecentIDs {
		c.recent.rotate(now)
	}
	if hash := c.hash(id); !c.ran.contains(hash) {
		c.recent.add(hash)
	}
}

func (c *completedIDs) contains(id string) bool {
	hash := c.hash(id)
	return c.ran.contains(hash) || c.recent.contains(hash)
}

func (c *completedIDs) size() int { return c.ran.size() + c.recent.size() }

func (c *completedIDs) hash(id string) idHash { return idHash(maphash.String(c.seed, id)) }

// idHash stands for an ID, in a quarter of its memory. With a hundred thousand IDs, one attempt in 10^14 is
// assumed to be a copy of another.
type idHash uint64

// idGenerations is a set of IDs in two generations, of which the older one is dropped as a whole.
type idGenerations struct {
	current, previous map[idHash]struct{}
	rotatedAt         time.Duration // when current was started
}

// age returns how long ago the current generation was started.
func (g *idGenerations) age(now time.Duration) time.Duration { return now - g.rotatedAt }

// rotate starts a new generation, and drops the older one of the two.
func (g *idGenerations) rotate(now time.Duration) {
	g.previous = g.current
	g.current = nil
	g.rotatedAt = now
}

func (g *idGenerations) add(hash idHash) {
	if g.current == nil {
		g.current = map[idHash]struct{}{}
	}
	g.current[hash] = struct{}{}
}

func (g *idGenerations) remove(hash idHash) {
	delete(g.current, hash)
	delete(g.previous, hash)
}

func (g *idGenerations) contains(hash idHash) bool {
	if _, ok := g.current[hash]; ok {
		return true
	}
	_, ok := g.previous[hash]
	return ok
}

func (g *idGenerations) size() int { return len(g.current) + len(g.previous) }

// markCompleted records that a request was answered.
func (s *Server) markCompleted(request *activeRequest) {
	s.completed.addAnswered(request.attempt.ID, s.clock.now, s.config.maxArrivalAge())
}
