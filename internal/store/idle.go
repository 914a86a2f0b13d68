package store

import "slices"

// idlePool holds the connections that carry no call, longest idle first. The longest idle connection is used first because
// a close by the store or a duplicate reply is most likely to have been detected on it.
type idlePool []*connection

func (p *idlePool) add(conn *connection) { *p = append(*p, conn) }

// longestIdle returns the connection that has been idle longest of those that may carry a call for a request, or nil if there
// is none.
func (p *idlePool) longestIdle(requestID string) *connection {
	for _, conn := range *p {
		if conn.mayCarryCallFor(requestID) {
			return conn
		}
	}
	return nil
}

// remove removes a connection. It returns false if the connection was not idle.
func (p *idlePool) remove(removed *connection) bool {
	i := slices.Index(*p, removed)
	if i < 0 {
		return false
	}
	*p = slices.Delete(*p, i, i+1)
	return true
}

// takeAll removes and returns all connections.
func (p *idlePool) takeAll() []*connection {
	taken := *p
	*p = nil
	return taken
}
