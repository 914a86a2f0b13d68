package msgpackrpc

import (
	"slices"
	"sync/atomic"
	"time"
)

// readState is the state of the reading goroutine of a connection.
//
//	receivingMessage <-> awaitingMessage    reader: a message begins or is complete
//	either of these  ->  draining           loop: PauseReading
//	any of the above ->  paused or ended    reader: reading pauses or ends, which it then reports to the server
//	paused           ->  awaitingMessage    loop: ResumeReading
//	paused           ->  draining           loop: TryClose, if input has arrived since the pause
//
// ResumeReading also changes draining to awaitingMessage, and TryClose also changes receivingMessage and awaitingMessage
// to draining.
type readState int32

const (
	receivingMessage readState = iota // waiting for the first message, or for the rest of a message; limited by messageTimeout
	awaitingMessage                   // between messages; no time limit
	draining                          // reading the input that has arrived, then reading pauses
	paused                            // not reading until the server resumes reading or closes the connection
	ended                             // not reading any more
)

// String returns the name of the state.
func (s readState) String() string {
	switch s {
	case receivingMessage:
		return "receiving message"
	case awaitingMessage:
		return "awaiting message"
	case draining:
		return "draining"
	case paused:
		return "paused"
	case ended:
		return "ended"
	}
	return "unknown"
}

// expiredDeadline is a time in the past. A read or an Accept with this deadline returns at once.
var expiredDeadline = time.Unix(1, 0)

// readDeadline returns the deadline of a read that starts at now. The zero time means no deadline.
func (s readState) readDeadline(now time.Time) time.Time {
	switch s {
	case receivingMessage:
		return now.Add(messageTimeout)
	case draining:
		return expiredDeadline
	case awaitingMessage, paused, ended:
		return time.Time{}
	}
	return time.Time{}
}

// readStateMachine holds the state, which both the reader and the server's loop change. The zero value is in state
// receivingMessage.
type readStateMachine struct{ state atomic.Int32 }

func (m *readStateMachine) current() readState { return readState(m.state.Load()) }

// transition sets the state if the current one is in from. Otherwise the state remains.
func (m *readStateMachine) transition(to readState, from ...readState) {
	for {
		current := m.current()
		if !slices.Contains(from, current) || m.state.CompareAndSwap(int32(current), int32(to)) {
			return
		}
	}
}
