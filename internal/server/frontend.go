package server

import (
	"context"

	"golang.org/x/sync/errgroup"
)

// Connection is a connection of a front end, in whatever protocol it speaks. The loop calls its methods, and none of
// them may block. The server knows a Connection from ConnectionOpened until it calls Close, or until ReadEnded with
// Disconnected.
type Connection interface {
	// Answer writes the answer to the request or health check with that number.
	Answer(callNumber uint32, a Answer)
	// NotifyClosing asks the front end to send no new request on this connection.
	NotifyClosing()
	// PauseReading reads what has arrived by now and then waits; ReadEnded reports when that is done.
	PauseReading()
	// ResumeReading reads on after ReadPaused or ReadTimeout.
	ResumeReading()
	// TryClose closes the connection unless something has arrived since ReadPaused or ReadTimeout. In that case it
	// returns false, and what arrived is read as by PauseReading.
	TryClose() bool
	// Close closes the connection once all answers handed over are written.
	Close()
	// MaxOpenCalls returns how many requests may be open at once.
	MaxOpenCalls() int
}

// EndReason is why reading from a connection ended. After all but Disconnected, answers may still be written, and
// the server closes the Connection. After ReadTimeout and ReadPaused nothing is read until the server says so.
type EndReason uint8

// The reasons for the end of reading.
const (
	Disconnected   EndReason = iota // either side closed the connection, or the network did
	ReadTimeout                     // no message arrived, or one that did not end
	MalformedInput                  // the input is not of the protocol
	ReadPaused                      // PauseReading was called
)

// String returns the reason in plain words.
func (r EndReason) String() string {
	switch r {
	case Disconnected:
		return "disconnected"
	case ReadTimeout:
		return "read timeout"
	case MalformedInput:
		return "malformed input"
	case ReadPaused:
		return "read paused"
	}
	return unknownName
}

// Front accepts connections of one protocol and hands what they send to a Server.
type Front interface {
	// Serve returns once the listener is closed or ctx ends; connections run in g.
	Serve(ctx context.Context, g *errgroup.Group, s *Server) error
	// Close closes the listener; connections stay open.
	Close() error
}

// listenerSet holds the front listeners. The loop owns it, except for accepting, on which other goroutines wait.
type listenerSet struct {
	fronts    []Front
	serving   int           // fronts that may still accept connections
	accepting chan struct{} // closed once they may accept
	opened    bool          // accepting is closed
}

// open lets the fronts accept connections. Further calls do nothing.
func (l *listenerSet) open() {
	if !l.opened {
		l.opened = true
		close(l.accepting)
	}
}
