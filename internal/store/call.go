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

// takeFirst removes and returns the call that has waited longest, or returns nil if none waits.
func (q *callQueue) takeFirst() *call {
	return q.takeWhere(func(*call) bool { return true })
}

// takeFor removes and returns the call that has waited longest of those that a connection may carry, or returns nil if there
// is none.
func (q *callQueue) takeFor(conn *connection) *call {
	return q.takeWhere(func(waiting *call) bool { return conn.mayCarryCallFor(waiting.requestID) })
}

// takeWhere removes and returns the first call that matches, or returns nil if there is none.
func (q *callQueue) takeWhere(matches func(*call) bool) *call {
	i := slices.IndexFunc(*q, matches)
	if i < 0 {
		return nil
	}
	taken := (*q)[i]
	*q = slices.Delete(*q, i, i+1)
	return taken
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
