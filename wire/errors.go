package wire

import (
	"errors"
	"fmt"
)

var (
	// ErrTruncated is wrapped by the LineError for a last line without a newline.
	ErrTruncated = errors.New("truncated: no newline at the end of the input")
	// ErrIncompleteBatch is wrapped by the LineError for input that ends before its last batch does.
	ErrIncompleteBatch = errors.New("input ends within a batch: OVER_TO_YOU is missing")
)

// LineError reports a line of the input that cannot be used.
type LineError struct {
	Line int   // number of the line in the input, from 1
	Err  error // what is wrong; a *FieldError if one field is invalid
}

func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns Err.
func (e *LineError) Unwrap() error { return e.Err }

// FieldError reports a field whose text is not of the expected type.
type FieldError struct {
	Field string // name of the field
	Want  string // description of the expected value
	Got   string // text of the field; empty if the line has no such field
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("field %s: want %s, got %q", e.Field, e.Want, e.Got)
}
