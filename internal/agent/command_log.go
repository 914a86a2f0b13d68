package agent

import "slices"

// command is a line to the agent that is sent again after a break, until the agent is known to have read it.
type command struct {
	sequence      int64
	requestID     string // whose notifications prove that it was read
	line          []byte
	nonIdempotent bool // may do harm where the agent reads it twice
}

// commandLog numbers commands and samples, and holds the commands that the agent is not known to have read. It belongs to
// the loop.
type commandLog struct {
	lastSequence   int64
	unacknowledged []command // in order of sending
}

// nextSequence returns the number of the next command or sample, from 1.
func (c *commandLog) nextSequence() int64 {
	c.lastSequence++
	return c.lastSequence
}

// add numbers a command, and holds it until it is acknowledged or removed.
func (c *commandLog) add(added command) {
	added.sequence = c.nextSequence()
	c.unacknowledged = append(c.unacknowledged, added)
}

// acknowledge removes the commands sent before the sample of that number: the agent reads them in order.
func (c *commandLog) acknowledge(sequence int64) {
	c.unacknowledged = slices.DeleteFunc(c.unacknowledged, func(sent command) bool { return sent.sequence < sequence })
}

// removeRequest removes the commands about one request.
func (c *commandLog) removeRequest(requestID string) {
	c.unacknowledged = slices.DeleteFunc(c.unacknowledged, func(sent command) bool { return sent.requestID == requestID })
}

func (c *commandLog) hasNonIdempotent() bool {
	return slices.ContainsFunc(c.unacknowledged, func(sent command) bool { return sent.nonIdempotent })
}

// lines returns all commands as they go on the wire, nil where there are none.
func (c *commandLog) lines() []byte {
	var lines []byte
	for _, sent := range c.unacknowledged {
		lines = append(lines, sent.line...)
	}
	return lines
}
