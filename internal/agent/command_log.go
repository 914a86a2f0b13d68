package agent

import "slices"

// command is a command that the agent is not known to have read. After a disconnection it is sent again, unless it is not
// idempotent and the agent may have read it.
type command struct {
	sequence      int64  // of its last sending; samples are numbered in the same sequence; 0: not sent yet
	requestID     string // a notification about this request proves that the command was read
	line          []byte // encoded command
	nonIdempotent bool   // causes harm if the agent reads it twice
}

// mayHaveBeenRead reports whether the command was sent on some connection.
func (c *command) mayHaveBeenRead() bool { return c.sequence > 0 }

// commandLog numbers commands and samples in the order of sending, and keeps the commands that the agent is not known to have
// read. It belongs to the loop.
type commandLog struct {
	lastSequence   int64
	unacknowledged []command // in the order of the calls of add
}

// nextSequence returns the number of the next command or sample. The first is 1.
func (c *commandLog) nextSequence() int64 {
	c.lastSequence++
	return c.lastSequence
}

// add keeps a command until it is acknowledged or removed.
func (c *commandLog) add(added command) { c.unacknowledged = append(c.unacknowledged, added) }

// acknowledge removes the commands sent before the sample with this number. The agent reads commands in order.
func (c *commandLog) acknowledge(sequence int64) {
	c.unacknowledged = slices.DeleteFunc(c.unacknowledged, func(unacknowledged command) bool {
		return unacknowledged.mayHaveBeenRead() && unacknowledged.sequence < sequence
	})
}

func (c *commandLog) removeRequest(requestID string) {
	c.unacknowledged = slices.DeleteFunc(c.unacknowledged, func(unacknowledged command) bool {
		return unacknowledged.requestID == requestID
	})
}

// countSent returns the number of unacknowledged commands that the agent may have read.
func (c *commandLog) countSent() int {
	count := 0
	for i := range c.unacknowledged {
		if c.unacknowledged[i].mayHaveBeenRead() {
			count++
		}
	}
	return count
}

// hasSentNonIdempotent reports whether the agent may have read an unacknowledged command that is not idempotent.
func (c *commandLog) hasSentNonIdempotent() bool {
	return slices.ContainsFunc(c.unacknowledged, func(unacknowledged command) bool {
		return unacknowledged.mayHaveBeenRead() && unacknowledged.nonIdempotent
	})
}

// removeSentNonIdempotent removes the commands that must not be sent again: those that the agent may have read and that are
// not idempotent. It returns the IDs of their requests.
func (c *commandLog) removeSentNonIdempotent() (requestIDs []string) {
	c.unacknowledged = slices.DeleteFunc(c.unacknowledged, func(unacknowledged command) bool {
		if !unacknowledged.mayHaveBeenRead() || !unacknowledged.nonIdempotent {
			return false
		}
		requestIDs = append(requestIDs, unacknowledged.requestID)
		return true
	})
	return requestIDs
}

// takeUnsent numbers the commands that were not sent yet and returns them encoded, or nil if there are none.
func (c *commandLog) takeUnsent() (lines []byte) {
	return c.take(func(unacknowledged *command) bool { return !unacknowledged.mayHaveBeenRead() })
}

// takeAll gives all unacknowledged commands new numbers and returns them encoded, or nil if there are none.
func (c *commandLog) takeAll() (lines []byte) {
	return c.take(func(*command) bool { return true })
}

// take numbers the commands that match and returns them encoded, in the order of their numbers.
func (c *commandLog) take(matches func(*command) bool) (lines []byte) {
	for i := range c.unacknowledged {
		taken := &c.unacknowledged[i]
		if matches(taken) {
			taken.sequence = c.nextSequence()
			lines = append(lines, taken.line...)
		}
	}
	return lines
}
