package server

import (
	"context"

	"golang.org/x/sync/errgroup"
)

// Connection is a connection of a front end, in any protocol. The loop calls its methods, which must not block. The server
// uses a Connection from ConnectionOpened until it calls Close, or until ReadEnded with Disconnected.
//
// A call number is chosen by the front end, and identifies a request or a health check on its connection until the answer.
// It has nothing to do with the calls to the store.
type Connection interface {
	// Answer sends the answer to the request or health check with the given call number.
	Answer(callNumber uint32, a Answer)
	// NotifyClosing asks the front end to send no new request on this connection.
	NotifyClosing()
	// PauseReading reads what has arrived by now and then pauses, which ReadEnded reports.
	PauseReading()
	// ResumeReading resumes reading after ReadPaused or ReadTimeout.
	ResumeReading()
	// TryClose closes the connection unless input has arrived since ReadPaused or ReadTimeout. In that case it returns
	// false, and reads the input as PauseReading does.
	TryClose() bool
	// Close closes the connection when all answers passed to Answer are written.
	Close()
	// MaxOpenCalls returns the maximum number of requests that may be open on this connection at once.
	MaxOpenCalls() int
}

// EndReason is why reading from a connection ended. After all reasons but Disconnected, answers can still be written, and
// the server closes the Connection. After ReadTimeout and ReadPaused, nothing is read until the server calls
// ResumeReading or TryClose.
type EndReason uint8

// The reasons for the end of reading.
const (
	Disconnected   EndReason = iota // the connection was closed by either side, or by the network
	ReadTimeout                     // no message arrived in time, or not all of it
	MalformedInput                  // the input violates the protocol
	ReadPaused                      // PauseReading was called
)

// String returns the name of the reason.
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

// Front accepts connections of one protocol, and passes what it reads from them to a Server.
type Front interface {
	// Serve accepts connections until the listener is closed or ctx ends. The goroutines of the connections run in g.
	Serve(ctx context.Context, g *errgroup.Group, s *Server) error
	// Close closes the listener; connections stay open.
	Close() error
}

// listenerSet holds the front listeners. The loop owns it, except for accepting, for which other goroutines wait.
type listenerSet struct {
	fronts    []Front
	serving   int           // number of fronts that may still accept connections
	accepting chan struct{} // closed when fronts may accept connections
	opened    bool          // whether accepting is closed
}

// open lets the fronts accept connections. It may be called repeatedly.
func (l *listenerSet) open() {
	if !l.opened {
		l.opened = true
		close(l.accepting)
	}
}
