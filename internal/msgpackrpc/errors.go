package msgpackrpc

import (
	"errors"
	"fmt"
)

// The causes that a FrameError wraps.
var (
	errFrameTooLong  = errors.New("frame too long")
	errFrameTooDeep  = errors.New("frame nested too deep")
	errTooManyValues = errors.New("too many values in frame")
	errInvalidFormat = errors.New("invalid format byte")
	errNotRPCMessage = errors.New("not a MessagePack-RPC message")
)

// errReadPaused ends a read of a connection that the server asked to pause, once all that had arrived was read.
var errReadPaused = errors.New("reading paused")

// FrameError reports input that is no message of the protocol. Nothing after it on its connection can be read.
type FrameError struct {
	Err error // the cause
}

// Error implements error.
func (e *FrameError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *FrameError) Unwrap() error { return e.Err }

func frameErrorf(format string, args ...any) error { return &FrameError{fmt.Errorf(format, args...)} }

// RequestPart is the part of a request that a FieldError is about.
type RequestPart uint8

// The parts of a request.
const (
	PartMethod     RequestPart = iota
	PartParameters             // the array of fields and body
	PartFields                 // the map of all fields
	PartField                  // one field
	PartBody
)

// String returns the name of the part in error texts.
func (p RequestPart) String() string {
	switch p {
	case PartMethod:
		return "method"
	case PartParameters:
		return "parameters"
	case PartFields:
		return "fields"
	case PartField:
		return "field"
	case PartBody:
		return "body"
	}
	return "unknown part"
}

// FieldError reports what is wrong with a request whose frame is sound. Its text is sent to the client.
type FieldError struct {
	Part    RequestPart
	Field   string // the name of the field, where Part is PartField
	Problem string // what was wanted, and for a field what came instead
}

// Error implements error. Of a long name only the beginning is shown.
func (e *FieldError) Error() string {
	if e.Part == PartField {
		return fmt.Sprintf("field %.40s: %s", e.Field, e.Problem)
	}
	return e.Part.String() + ": " + e.Problem
}
