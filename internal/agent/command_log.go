package agent

import "slices"

// command is a command that is sent again after a disconnection, unless the agent is known to have read it.
type command struct {
	sequence      int64  // in the order of sending; samples are numbered in the same sequence
	requestID     string // a notification about this request proves that the command was read
	line          []byte // encoded command
	nonIdempotent bool   // may cause harm if the agent reads it twice
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

// countSent returns the number of unacknowledged commands that the agent may have read, and how many of these are not
// idempotent.
func (c *commandLog) countSent() (all, nonIdempotent int) {
	for _, sent := range c.unacknowledged {
		if !sent.sent {
			continue
		}
		all++
		if sent.nonIdempotent {
			nonIdempotent++
		}
	}
	return all, nonIdempotent
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
