package store

import (
	"slices"
	"time"

	"falldeal/internal/deadline"
)

// call is a call in flight: it has no reply yet and was not abandoned.
type call struct {
	requestID  string
	body       []byte
	deadline   time.Duration   // on the clock of the loop
	connection *connection     // nil: waiting for a connection
	timer      *deadline.Entry // abandons the call at its deadline
}

// callQueue holds the calls that wait for a connection, in the order of arrival.
type callQueue []*call

func (q *callQueue) add(added *call) { *q = append(*q, added) }

// take removes and returns the call that has waited longest, or returns nil if none waits.
func (q *callQueue) take() *call {
	if len(*q) == 0 {
		return nil
	}
	longest := (*q)[0]
	*q = slices.Delete(*q, 0, 1)
	return longest
}

// remove removes a call. It returns false if the call was not waiting.
func (q *callQueue) remove(removed *call) bool {
	i := slices.Index(*q, removed)
	if i < 0 {
		return false
	}
	*q = slices.Delete(*q, i, i+1)
	return true
}
