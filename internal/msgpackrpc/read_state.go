package msgpackrpc

import (
	"slices"
	"sync/atomic"
	"time"
)

// readState is what the reading goroutine of a connection does.
//
//	receivingMessage <-> awaitingMessage    by the reader, as messages begin and end
//	either           ->  draining           by the server's loop: PauseReading
//	any of these     ->  paused or ended    by the reader, which reports it to the server
//	paused           ->  awaitingMessage    by the loop: ResumeReading
//	paused           ->  draining           by the loop: TryClose, where input has arrived since
type readState int32

const (
	receivingMessage readState = iota // the first message, or the rest of one that began: has messageTimeout
	awaitingMessage                   // between messages, for as long as the client likes
	draining                          // what has arrived is read, then reading pauses
	paused                            // nothing is read until the server's loop resumes reading or closes the connection
	ended                             // no more is handed over
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

// expiredDeadline is a time in the past: a read or Accept with it returns at once.
var expiredDeadline = time.Unix(1, 0)

// readDeadline returns the time until which a read that starts at now may wait in this state; zero means for ever.
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

// readStateMachine holds the state, which the reader and the server's loop both change. The zero value is
// receivingMessage.
type readStateMachine struct{ state atomic.Int32 }

func (m *readStateMachine) current() readState { return readState(m.state.Load()) }

// transition changes the state where it is one of from, and leaves it alone otherwise.
func (m *readStateMachine) transition(to readState, from ...readState) {
	for {
		current := m.current()
		if !slices.Contains(from, current) || m.state.CompareAndSwap(int32(current), int32(to)) {
			return
		}
	}
}
