package agent

import "slices"

// command is a command that the agent is not known to have read. After a disconnection it is sent again, unless it is not
// idempotent and the agent may have read it.
type command struct {
	sequence      int64  // in the order of sending; samples are numbered in the same sequence
	requestID     string // a notification about this request proves that the command was read
	line          []byte // encoded command
	nonIdempotent bool   // causes harm if the agent reads it twice
	sent          bool   // on some connection; the agent may have read it
}

// commandLog numbers commands and samples, and keeps the commands that the agent is not known to have read. It belongs to
// the loop.
type commandLog struct {
	lastSequence   int64
	unacknowledged []command // in the order of sending
}

// nextSequence returns the number of the next command or sample. The first is 1.
func (c *commandLog) nextSequence() int64 {
	c.lastSequence++
	return c.lastSequence
}

// add numbers a command and keeps it until it is acknowledged or removed.
func (c *commandLog) add(added command) {
	added.sequence = c.nextSequence()
	c.unacknowledged = append(c.unacknowledged, added)
}

// acknowledge removes the commands sent before the sample with this number. The agent reads commands in order.
func (c *commandLog) acknowledge(sequence int64) {
	c.unacknowledged = slices.DeleteFunc(c.unacknowledged, func(sent command) bool { return sent.sequence < sequence })
}

func (c *commandLog) removeRequest(requestID string) {
	c.unacknowledged = slices.DeleteFunc(c.unacknowledged, func(sent command) bool { return sent.requestID == requestID })
}

// hasNonIdempotent reports whether a command that is not idempotent is unacknowledged.
func (c *commandLog) hasNonIdempotent() bool {
	return slices.ContainsFunc(c.unacknowledged, func(sent command) bool { return sent.nonIdempotent })
}

// countSent returns the number of unacknowledged commands that the agent may have read.
func (c *commandLog) countSent() int {
	count := 0
	for _, unacknowledged := range c.unacknowledged {
		if unacknowledged.sent {
			count++
		}
	}
	return count
}

// removeSentNonIdempotent removes the commands that must not be sent again: those that the agent may have read and that are
// not idempotent. It returns the IDs of their requests.
func (c *commandLog) removeSentNonIdempotent() (requestIDs []string) {
	c.unacknowledged = slices.DeleteFunc(c.unacknowledged, func(unacknowledged command) bool {
		if !unacknowledged.sent || !unacknowledged.nonIdempotent {
			return false
		}
		requestIDs = append(requestIDs, unacknowledged.requestID)
		return true
	})
	return requestIDs
}

// takeLines returns the encoded unacknowledged commands in the order of sending, or nil if there are none, and marks them
// as sent.
func (c *commandLog) takeLines() []byte {
	var lines []byte
	for i := range c.unacknowledged {
		c.unacknowledged[i].sent = true
		lines = append(lines, c.unacknowledged[i].line...)
	}
	return lines
}
