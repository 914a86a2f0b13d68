package msgpackrpc

import (
	"errors"
	"fmt"
)

// The causes that a frameError wraps.
var (
	errFrameTooLong  = fmt.Errorf("frame longer than %d bytes", maxFrame)
	errFrameTooDeep  = fmt.Errorf("frame nested deeper than %d levels", maxDepth)
	errTooManyValues = fmt.Errorf("frame of more than %d values", maxValues)
	errInvalidFormat = errors.New("invalid format byte")
	errNotRPCMessage = errors.New("not a MessagePack-RPC message")
)

// errReadPaused reports that a draining connection has read the input that had arrived, or its drain budget is used up.
var errReadPaused = errors.New("reading paused: the input that had arrived is read, or the drain budget is used up")

// frameError reports input that is not a valid message. The rest of the input on its connection cannot be read.
type frameError struct {
	cause error
}

// Error implements error.
func (e *frameError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *frameError) Unwrap() error { return e.cause }

func frameErrorf(format string, args ...any) error { return &frameError{fmt.Errorf(format, args...)} }

// requestPart is the part of a request that a fieldError refers to.
type requestPart uint8

// The parts of a request.
const (
	partMethod     requestPart = iota
	partParameters             // the array of fields and body
	partFields                 // the map of all fields
	partField                  // one field
	partBody
)

// String returns the name of the part, which is used in error texts.
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

// fieldError reports an invalid request in a well-formed frame. Its text is sent to the client.
type fieldError struct {
	part    requestPart
	field   string // name of the field; set only for partField
	problem string // what was expected; for an invalid string in a field, also what was received
}

// Error implements error. It truncates the name of the field to 40 bytes.
func (e *fieldError) Error() string {
	if e.part == partField {
		return fmt.Sprintf("field %.40s: %s", e.field, e.problem)
	}
	return e.part.String() + ": " + e.problem
}
