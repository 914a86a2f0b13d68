// Package server is the image server round the decision module: one loop that owns the controller
// and the state of every request. A request passes the stages take in, admit, route, send, relay and
// book, each in a file of its own; keys and drain stand beside them.
package server

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
)

// Attempt is one try of a request as a front protocol has read it. Texts that go on to others (ID) hold
// hex digits only.
type Attempt struct {
	ID             string
	IdempotencyKey string // the same for all tries of one request; "" where there is no such thing
	Subject        string // what a read is about
	Class          string
	Tenant         string        // "" where there is no such thing
	Retry          bool          // marked as a further try
	ArrivedAt      time.Duration // when it came to the machine, on the Unix clock
	Timeout        time.Duration // how long its caller waits from then on; 0 = not told
	Client         int
	CostHint       time.Duration // work to expect; 0 = not told
	MemoryKB       float64
	Rank           float64
	Body           []byte
}

// AnswerKind tells answers apart.
type AnswerKind uint8

// The kinds of Answer.
const (
	Served    AnswerKind = iota // with Body
	Rejected                    // it never ran
	Failed                      // it may have run
	Invalid                     // the request was wrong, as Reason says; it never ran
	Healthy                     // to a health check
	Unhealthy                   // to a health check
)

// Answer is the one answer to a call.
type Answer struct {
	Kind             AnswerKind
	Body             []byte
	RetryAfter       time.Duration // Refused: how long to stay away; 0 = no advice
	NoRetryElsewhere bool          // Refused: no other server should be tried
	Reason           string        // Invalid
}

// Connection is a connection of a front end, in whatever protocol it speaks. The loop calls its methods,
// none of which may block; the server knows a Connection from Opened to Closed.
type Connection interface {
	Answer(call uint32, a Answer)
	NotifyClosing()    // no new request should come on this connection
	PauseReading()     // read what has come by now and then wait; Closed tells when that is done
	ResumeReading()    // read on, after Finished or Silent
	TryClose() bool    // Close, unless something has come since Finished or Silent: then false, and that is read as by Finish
	Close()            // after what was handed over is written
	MaxOpenCalls() int // calls that may be open at once
}

// EndReason tells why a connection ended.
type EndReason uint8

// The kinds of End. After all but Left answers may still be written, and the server closes the Peer. After Silent and
// Finished nothing is read until it is told what to do.
const (
	Disconnected   EndReason = iota // either side closed it, or the network did
	ReadTimeout                     // no message came, or one that did not end
	MalformedInput                  // what came is not of the protocol
	ReadPaused                      // as asked for by Finish
)

// Front accepts front ends of one protocol and hands what they send to a Server.
type Front interface {
	// Serve returns once the listener is closed or ctx ends; connections run in g.
	Serve(ctx context.Context, g *errgroup.Group, s *Server) error
	// Close closes the listener; connections stay.
	Close() error
}
