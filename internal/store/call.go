package store

import (
	"slices"
	"time"

	"falldeal/internal/deadline"
)

// call is one call that has no reply yet and was not abandoned.
type call struct {
	requestID  string
	body       []byte
	deadline   time.Duration
	connection *connection     // nil while it waits for one
	timer      *deadline.Entry // of its deadline
}

// callQueue holds calls that wait for a connection, longest first.
type callQueue []*call

func (q *callQueue) add(added *call) { *q = append(*q, added) }

// take returns the call that has waited longest, which is removed; nil where none waits.
func (q *callQueue) take() *call {
	if len(*q) == 0 {
		return nil
	}
	longest := (*q)[0]
	*q = slices.Delete(*q, 0, 1)
	return longest
}

// remove removes a call, and reports whether it waited.
func (q *callQueue) remove(removed *call) bool {
	i := slices.Index(*q, removed)
	if i < 0 {
		return false
	}
	*q = slices.Delete(*q, i, i+1)
	return true
}
