package wire

import (
	"errors"
	"fmt"
)

var (
	// ErrTruncated is wrapped by the LineError of a last line without its newline.
	ErrTruncated = errors.New("cut short")
	// ErrIncompleteBatch is wrapped by the LineError of input that ends before its last batch does.
	ErrIncompleteBatch = errors.New("input ends within a batch")
)

// LineError reports input that can't be used. Err says why; it is a *FieldError where one field is at fault.
type LineError struct {
	Line int // in the input, from 1
	Err  error
}

func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns Err.
func (e *LineError) Unwrap() error { return e.Err }

// FieldError reports a field whose text is not of its type.
type FieldError struct {
	Field string // name of the field
	Want  string // what it should be
	Got   string // text as it was read; empty if the line ended before
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("field %s: want %s, got %q", e.Field, e.Want, e.Got)
}
