package store

import "slices"

// idlePool holds the connections that carry no call, longest idle first: by the time that one is used again, the close of
// the store or a second reply would show.
type idlePool []*connection

func (p *idlePool) add(conn *connection) { *p = append(*p, conn) }

// longestIdle returns the connection that has been idle longest, nil where there is none. One that carried the last call
// of the same request is left out: a second copy of that reply would be taken for the answer to the next call.
func (p *idlePool) longestIdle(requestID string) *connection {
	for _, conn := range *p {
		if conn.lastRequestID != requestID {
			return conn
		}
	}
	return nil
}

// remove removes a connection, and reports whether it was idle.
func (p *idlePool) remove(removed *connection) bool {
	i := slices.Index(*p, removed)
	if i < 0 {
		return false
	}
	*p = slices.Delete(*p, i, i+1)
	return true
}

// takeAll returns all connections, and leaves none.
func (p *idlePool) takeAll() []*connection {
	taken := *p
	*p = nil
	return taken
}
