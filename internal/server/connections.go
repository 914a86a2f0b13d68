package server

import (
	"container/list"
	"slices"
	"time"
)

// connectionKind is the kind of a connection. When connections without an open request must be closed, those of the first
// kind are closed first, because least is lost with them.
type connectionKind uint8

const (
	silentConnection   connectionKind = iota // no valid message was received on it
	notifiedConnection                       // its front end was notified that it closes
	activeConnection                         // a request or a health check was received on it
	connectionKinds                          // number of kinds
)

func (k connectionKind) String() string {
	switch k {
	case silentConnection:
		return "silent"
	case notifiedConnection:
		return "notified"
	case activeConnection:
		return "active"
	case connectionKinds:
	}
	return unknownName
}

// connectionState is the state of a connection in the loop.
type connectionState struct {
	connection      Connection
	kind            connectionKind
	openRequests    map[uint32]*activeRequest // by call number
	lastCallNumber  uint32                    // highest call number of a request so far
	lastUsed        time.Duration             // when a message was last received or sent
	closing         closeState
	drainReads      int  // how often reading was paused since the connection began to close
	discardingInput bool // messages on it are ignored

	idleList    *list.List    // list of its kind; nil while it has an open request or is closing
	idleElement *list.Element // its element in idleList
}

// busy reports whether requests on the connection wait for their answers.
func (c *connectionState) busy() bool { return len(c.openRequests) > 0 }

// connectionTable holds the connections. Those without an open request are listed by how long they have been idle, so that
// the cost of a turn or a new connection does not depend on their number. The loop owns the table. The times that are
// passed to it never go back.
type connectionTable struct {
	states       map[Connection]*connectionState // all connections, including closing ones
	idle         [connectionKinds]list.List      // by kind, longest idle first
	openRequests int                             // number of open requests on all connections
	closing      []*connectionState              // connections that are closing
	idleTimer    idleTimer
}

// newConnectionTable returns a table whose connections may be idle for idleTimeout; 0 = forever.
func newConnectionTable(idleTimeout time.Duration) connectionTable {
	return connectionTable{states: map[Connection]*connectionState{}, idleTimer: idleTimer{timeout: idleTimeout}}
}

// size returns the number of connections, without those that are closing.
func (t *connectionTable) size() int { return len(t.states) - len(t.closing) }

// empty reports whether there are no connections, not even closing ones.
func (t *connectionTable) empty() bool { return len(t.states) == 0 }

// get returns the state of a connection, or nil after its removal.
func (t *connectionTable) get(conn Connection) *connectionState { return t.states[conn] }

func (t *connectionTable) add(conn Connection, now time.Duration) *connectionState {
	state := &connectionState{connection: conn, openRequests: map[uint32]*activeRequest{}, lastUsed: now}
	t.states[conn] = state
	t.addToIdle(state)
	return state
}

// remove removes a connection. The connection's state keeps its open requests.
func (t *connectionTable) remove(state *connectionState) {
	t.removeFromIdle(state)
	t.openRequests -= len(state.openRequests)
	delete(t.states, state.connection)
	if state.closing != closeStateOpen {
		t.closing = slices.DeleteFunc(t.closing, func(other *connectionState) bool { return other == state })
	}
}

// setCloseState records the state of closing a connection.
func (t *connectionTable) setCloseState(state *connectionState, closing closeState) {
	if state.closing == closeStateOpen {
		t.closing = append(t.closing, state)
		t.removeFromIdle(state)
	}
	state.closing = closing
}

// touch records that a message was received or sent.
func (t *connectionTable) touch(state *connectionState, now time.Duration) {
	state.lastUsed = now
	t.addToIdle(state)
}

// markReceived records that a valid message was received.
func (t *connectionTable) markReceived(state *connectionState, now time.Duration) {
	if state.kind == silentConnection {
		state.kind = activeConnection
	}
	t.touch(state, now)
}

// markNotified records that the front end was notified that the connection closes.
func (t *connectionTable) markNotified(state *connectionState, now time.Duration) {
	state.kind = notifiedConnection
	t.touch(state, now)
}

func (t *connectionTable) openRequest(state *connectionState, callNumber uint32, request *activeRequest) {
	if state.openRequests[callNumber] == nil {
		t.openRequests++
	}
	state.openRequests[callNumber] = request
	t.removeFromIdle(state)
}

func (t *connectionTable) closeRequest(state *connectionState, callNumber uint32) {
	if state.openRequests[callNumber] == nil {
		return
	}
	t.openRequests--
	delete(state.openRequests, callNumber)
	t.addToIdle(state)
}

func (t *connectionTable) removeFromIdle(state *connectionState) {
	if state.idleList != nil {
		state.idleList.Remove(state.idleElement)
		state.idleList = nil
	}
}

// addToIdle inserts a connection behind those of its kind that have been idle for longer.
func (t *connectionTable) addToIdle(state *connectionState) {
	t.removeFromIdle(state)
	if state.busy() || state.closing != closeStateOpen {
		return
	}
	state.idleList = &t.idle[state.kind]
	before := state.idleList.Back()
	// closeRequest leaves lastUsed at the arrival of the request, which may be long ago.
	for before != nil && stateOf(before).lastUsed > state.lastUsed {
		before = before.Prev()
	}
	if before == nil {
		state.idleElement = state.idleList.PushFront(state)
	} else {
		state.idleElement = state.idleList.InsertAfter(state, before)
	}
}

// longestIdle returns the connection of a kind that has been idle for longest, or nil.
func (t *connectionTable) longestIdle(kind connectionKind) *connectionState {
	return stateOf(t.idle[kind].Front())
}

// stateOf returns the connection of an element of an idle list, or nil for a nil element.
func stateOf(element *list.Element) *connectionState {
	if element == nil {
		return nil
	}
	state, _ := element.Value.(*connectionState) // the lists hold no other type
	return state
}

// idleSince returns the connection of a kind that has been idle for longest, if it was last used at the given time or
// before, and otherwise nil.
func (t *connectionTable) idleSince(kind connectionKind, at time.Duration) *connectionState {
	if state := t.longestIdle(kind); state != nil && state.lastUsed <= at {
		return state
	}
	return nil
}

// evictionCandidate returns the connection to close in favor of a new one, or nil: the one that has been idle for longest,
// of the first kind that has any. A connection with an open request is never evicted.
func (t *connectionTable) evictionCandidate() *connectionState {
	for kind := range connectionKinds {
		if state := t.longestIdle(kind); state != nil {
			return state
		}
	}
	return nil
}
