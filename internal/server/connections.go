package server

import (
	"container/list"
	"slices"
	"time"
)

// connectionKind sorts the connections without an open request by how little would be lost with one, least first.
type connectionKind uint8

const (
	silentConnection  connectionKind = iota // nothing that could be read was received on it
	closingConnection                       // its front end was notified that it closes
	activeConnection                        // a request or a health check was received on it
	connectionKinds                         // number of kinds
)

func (k connectionKind) String() string {
	switch k {
	case silentConnection:
		return "silent"
	case closingConnection:
		return "closing"
	case activeConnection:
		return "active"
	case connectionKinds:
	}
	return unknownName
}

// connectionState is what the loop knows of a connection.
type connectionState struct {
	connection      Connection
	kind            connectionKind
	openRequests    map[uint32]*activeRequest
	lastCallNumber  uint32        // highest number of a request so far
	lastUsed        time.Duration // when a message was last received or sent
	closing         closeState
	drainReads      int  // how often reading has been paused since it began to close
	discardingInput bool // its input is discarded

	idleList    *list.List // the list of its kind; nil while it has an open request, or closes
	idleElement *list.Element
}

// busy reports whether answers are owed on the connection.
func (c *connectionState) busy() bool { return len(c.openRequests) > 0 }

// connectionTable holds the connections, and those without an open request by how long they have been idle: what is asked
// in each turn, or for each new connection, costs the same however many there are. The loop owns it, and its times
// never go back.
type connectionTable struct {
	states       map[Connection]*connectionState
	idle         [connectionKinds]list.List // by kind, idle for longest first
	openRequests int                        // on all connections
	closing      []*connectionState
	idleTimer    idleTimer
}

// newConnectionTable returns a table whose connections may be idle for that long; 0 = for ever.
func newConnectionTable(idleTimeout time.Duration) connectionTable {
	return connectionTable{states: map[Connection]*connectionState{}, idleTimer: idleTimer{timeout: idleTimeout}}
}

// size is the number of connections, without those that are closing.
func (t *connectionTable) size() int { return len(t.states) - len(t.closing) }

// empty reports whether there is no connection at all.
func (t *connectionTable) empty() bool { return len(t.states) == 0 }

// get returns the state of a connection, or nil after its removal.
func (t *connectionTable) get(conn Connection) *connectionState { return t.states[conn] }

func (t *connectionTable) add(conn Connection, now time.Duration) *connectionState {
	state := &connectionState{connection: conn, openRequests: map[uint32]*activeRequest{}, lastUsed: now}
	t.states[conn] = state
	t.addToIdle(state)
	return state
}

// remove removes a connection, and leaves its open requests in its state.
func (t *connectionTable) remove(state *connectionState) {
	t.removeFromIdle(state)
	t.openRequests -= len(state.openRequests)
	delete(t.states, state.connection)
	if state.closing != closeStateOpen {
		t.closing = slices.DeleteFunc(t.closing, func(other *connectionState) bool { return other == state })
	}
}

// setCloseState records how far the closing of a connection has got.
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

// markReceived records a message that could be read.
func (t *connectionTable) markReceived(state *connectionState, now time.Duration) {
	if state.kind == silentConnection {
		state.kind = activeConnection
	}
	t.touch(state, now)
}

// markNotified records that the front end was notified that the connection closes.
func (t *connectionTable) markNotified(state *connectionState, now time.Duration) {
	state.kind = closingConnection
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

// addToIdle puts a connection behind those of its kind that have been idle for longer.
func (t *connectionTable) addToIdle(state *connectionState) {
	t.removeFromIdle(state)
	if state.busy() || state.closing != closeStateOpen {
		return
	}
	state.idleList = &t.idle[state.kind]
	before := state.idleList.Back()
	for before != nil && stateOf(before).lastUsed > state.lastUsed { // the last request of state took long
		before = before.Prev()
	}
	if before == nil {
		state.idleElement = state.idleList.PushFront(state)
	} else {
		state.idleElement = state.idleList.InsertAfter(state, before)
	}
}

// longestIdle returns the connection of that kind that has been idle for longest, or nil.
func (t *connectionTable) longestIdle(kind connectionKind) *connectionState {
	return stateOf(t.idle[kind].Front())
}

// stateOf returns the connection of an element of an idle list, or nil for none.
func stateOf(element *list.Element) *connectionState {
	if element == nil {
		return nil
	}
	state, _ := element.Value.(*connectionState) // the lists hold nothing else
	return state
}

// idleSince returns that connection if it was last used at that time or before, or nil.
func (t *connectionTable) idleSince(kind connectionKind, at time.Duration) *connectionState {
	if state := t.longestIdle(kind); state != nil && state.lastUsed <= at {
		return state
	}
	return nil
}

// evictionCandidate returns the connection to close for a new one: of the first kind that there is, the one that has
// been idle for longest. One with an open request is never closed.
func (t *connectionTable) evictionCandidate() *connectionState {
	for kind := range connectionKinds {
		if state := t.longestIdle(kind); state != nil {
			return state
		}
	}
	return nil
}
