package msgpackrpc

import (
	"errors"
	"fmt"
)

// The causes that a frameError wraps.
var (
	errFrameTooLong  = errors.New("frame too long")
	errFrameTooDeep  = errors.New("frame nested too deep")
	errTooManyValues = errors.New("too many values in frame")
	errInvalidFormat = errors.New("invalid format byte")
	errNotRPCMessage = errors.New("not a MessagePack-RPC message")
)

// errReadPaused ends a read of a connection that the server asked to pause, once all that had arrived was read.
var errReadPaused = errors.New("reading paused")

// frameError reports input that is no message of the protocol. Nothing after it on its connection can be read.
type frameError struct {
	cause error
}

// Error implements error.
func (e *frameError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *frameError) Unwrap() error { return e.cause }

func frameErrorf(format string, args ...any) error { return &frameError{fmt.Errorf(format, args...)} }

// requestPart is the part of a request that a fieldError is about.
type requestPart uint8

// The parts of a request.
const (
	partMethod     requestPart = iota
	partParameters             // the array of fields and body
	partFields                 // the map of all fields
	partField                  // one field
	partBody
)

// String returns the name of the part in error texts.
func (p requestPart) String() string {
	switch p {
	case partMethod:
		return "method"
	case partParameters:
		return "parameters"
	case partFields:
		return "fields"
	case partField:
		return "field"
	case partBody:
		return "body"
	}
	return "unknown part"
}

// fieldError reports what is wrong with a request whose frame is sound. Its text is sent to the client.
type fieldError struct {
	part    requestPart
	field   string // the name of the field, where part is partField
	problem string // what was wanted, and for a field what came instead
}

// Error implements error. Of a long name only the beginning is shown.
func (e *fieldError) Error() string {
	if e.part == partField {
		return fmt.Sprintf("field %.40s: %s", e.field, e.problem)
	}
	return e.part.String() + ": " + e.problem
}
