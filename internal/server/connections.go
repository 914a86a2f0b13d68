package server

import (
	"container/list"
	"slices"
	"time"

	"falldeal/internal/deadline"
)

const (
	minIdleCheckInterval = 100 * time.Millisecond // least time between looks for idle connections
	closeGracePeriod     = 2 * time.Second        // for a peer to close after it was told to
	maxDrainReads        = 8                      // for a peer that was told to close to stop sending
	reservedConnections  = 8                      // connections left free, so that one more is accepted while an idle one ends
)

// connectionKind sorts the connections without an open request by how little would be lost with them.
type connectionKind uint8

const (
	silentConnection  connectionKind = iota // it has sent nothing that can be read
	closingConnection                       // it was told to go
	activeConnection
	connectionKinds
)

// connectionState is what the loop knows of a connection.
type connectionState struct {
	connection      Connection
	openCalls       map[uint32]*activeRequest
	lastCall        uint32        // highest number of a request so far
	received        bool          // it has sent a request or a health check that can be read
	lastUsed        time.Duration // when a message last came or went, or it was told to go
	notifiedClosing bool          // it was told that it is closing
	closing         closeState
	drainReads      int  // how often what came was read on that way
	discardingInput bool // what it says is passed over

	idleList    *list.List // that it stands in: nil while a request is open
	idleElement *list.Element
}

// closeState is how far a connection is on its way out. What comes on that way is answered, for bytes may arrive in the
// moment in which it is closed: it goes once nothing is owed on it and nothing has come that was not read.
type closeState uint8

const (
	closeStateOpen       closeState = iota
	closeStateDraining              // to read what has come
	closeStatePaused                // nothing has come, and nothing is read until it is told what to do
	closeStateResumed               // it reads as ever until what came has its answers; then it is asked again
	closeStateUnreadable            // nothing more can be read
)

func (st *connectionState) kind() connectionKind {
	switch {
	case st.notifiedClosing:
		return closingConnection
	case st.received:
		return activeConnection
	}
	return silentConnection
}

// connectionTable knows the connections, and those without an open request by how long they have been idle: what is
// asked at each turn, or for each new connection, costs the same however many there are. Times never go back.
type connectionTable struct {
	states    map[Connection]*connectionState
	idle      [connectionKinds]list.List // idle for longest first
	openCalls int                        // open requests
	closing   []*connectionState         // have no place any more, and are to be closed
}

func newConnectionTable() connectionTable {
	return connectionTable{states: map[Connection]*connectionState{}}
}

// size is how many connections there are, but for those that are being closed.
func (t *connectionTable) size() int { return len(t.states) - len(t.closing) }

// empty reports whether there is no connection at all.
func (t *connectionTable) empty() bool { return len(t.states) == 0 }

// get returns the state of a connection, or nil once it is gone.
func (t *connectionTable) get(p Connection) *connectionState { return t.states[p] }

func (t *connectionTable) add(p Connection, now time.Duration) *connectionState {
	st := &connectionState{connection: p, openCalls: map[uint32]*activeRequest{}, lastUsed: now}
	t.states[p] = st
	t.addToIdle(st)
	return st
}

// remove forgets a connection, and leaves its open requests in its state.
func (t *connectionTable) remove(st *connectionState) {
	t.removeFromIdle(st)
	t.openCalls -= len(st.openCalls)
	delete(t.states, st.connection)
	if st.closing != closeStateOpen {
		t.closing = slices.DeleteFunc(t.closing, func(other *connectionState) bool { return other == st })
	}
}

// setCloseState notes that a connection is being closed, and how far that is.
func (t *connectionTable) setCloseState(st *connectionState, step closeState) {
	if st.closing == closeStateOpen {
		t.closing = append(t.closing, st)
		t.removeFromIdle(st)
	}
	st.closing = step
}

// touch notes that a message came or went.
func (t *connectionTable) touch(st *connectionState, now time.Duration) {
	st.lastUsed = now
	t.addToIdle(st)
}

// markReceived notes a message that can be read.
func (t *connectionTable) markReceived(st *connectionState, now time.Duration) {
	st.received = true
	t.touch(st, now)
}

// markNotified notes that a connection was told to go.
func (t *connectionTable) markNotified(st *connectionState, now time.Duration) {
	st.notifiedClosing = true
	t.touch(st, now)
}

func (t *connectionTable) openCall(st *connectionState, call uint32, r *activeRequest) {
	if st.openCalls[call] == nil {
		t.openCalls++
	}
	st.openCalls[call] = r
	t.removeFromIdle(st)
}

func (t *connectionTable) closeCall(state *connectionState, call uint32) {
	if state.openCalls[call] == nil {
		return
	}
	t.openCalls--
	delete(state.openCalls, call)
	t.addToIdle(state)
}

func (t *connectionTable) removeFromIdle(st *connectionState) {
	if st.idleList != nil {
		st.idleList.Remove(st.idleElement)
		st.idleList = nil
	}
}

// addToIdle puts a connection behind those of its kind that have been idle for longer.
func (t *connectionTable) addToIdle(state *connectionState) {
	t.removeFromIdle(state)
	if len(state.openCalls) > 0 || state.closing != closeStateOpen {
		return
	}
	state.idleList = &t.idle[state.kind()]
	at := state.idleList.Back()
	for at != nil && at.Value.(*connectionState).lastUsed > state.lastUsed { // a request that ends late stands where it was used
		at = at.Prev()
	}
	if at == nil {
		state.idleElement = state.idleList.PushFront(state)
	} else {
		state.idleElement = state.idleList.InsertAfter(state, at)
	}
}

func (t *connectionTable) longestIdle(kind connectionKind) *connectionState {
	if e := t.idle[kind].Front(); e != nil {
		return e.Value.(*connectionState)
	}
	return nil
}

// evictionCandidate returns the connection to close for a new one: silent ones before those that go anyway, and these
// before others; the one that is idle for longest. None with an open request is closed.
func (t *connectionTable) evictionCandidate() *connectionState {
	for kind := range connectionKinds {
		if st := t.longestIdle(kind); st != nil {
			return st
		}
	}
	return nil
}

// idleSince returns the connection of that kind that was idle before then for longest.
func (t *connectionTable) idleSince(kind connectionKind, then time.Duration) *connectionState {
	if st := t.longestIdle(kind); st != nil && st.lastUsed <= then {
		return st
	}
	return nil
}

// maxConnections is how many connections may be open. Two processes that are one image server share its descriptors.
func (s *Server) maxConnections() int {
	limit := s.config.Limits.FrontSockets()
	if s.predecessor != nil || s.successor != nil {
		limit /= 2
	}
	return limit - reservedConnections
}

// growTables closes the connection that is missed least, and reports whether there was one.
func (s *Server) evictIdle() bool {
	st := s.connections.evictionCandidate()
	if st == nil {
		return false
	}
	s.beginClose(st)
	return true
}

// beginClose closes a connection. A request that came before that may not have been read yet, where this process is
// behind or the machine stood still: it is read, and answered. The place is free at once.
func (s *Server) beginClose(st *connectionState) {
	if st.closing == closeStateOpen {
		s.stats.ConnectionsClosed++
		s.connections.setCloseState(st, closeStateDraining)
		st.connection.PauseReading()
	}
}

// advanceClosing takes connections that are leaving one step on.
func (s *Server) advanceClosing() {
	for _, state := range slices.Clone(s.connections.closing) {
		switch busy := len(state.openCalls) > 0; {
		case busy && state.closing == closeStatePaused && !state.discardingInput:
			state.closing = closeStateResumed
			state.connection.ResumeReading()
		case busy, state.closing == closeStateDraining:
		case state.closing == closeStateResumed:
			state.closing = closeStateDraining
			state.connection.PauseReading()
		case state.closing == closeStatePaused && !state.discardingInput && !state.connection.TryClose():
			state.closing = closeStateDraining
		default:
			s.connections.remove(state)
			state.connection.Close()
		}
	}
}

// removeConnection strikes off a connection: nobody waits for answers on it.
func (s *Server) removeConnection(st *connectionState) {
	s.connections.remove(st)
	for _, r := range st.openCalls {
		s.cancel(r)
	}
}

func (s *Server) notifyClosing(st *connectionState) {
	if !st.notifiedClosing {
		s.connections.markNotified(st, s.clock.now)
		st.connection.NotifyClosing()
	}
}

// idleTimer is the next look for idle connections.
type idleTimer struct {
	timeout time.Duration // connections idle for longer are told to go; 0 = none
	entry   *deadline.Entry
	at      time.Duration
}

// closeIdle tells peers that have been idle for too long to go, and closes those that did not.
func (s *Server) closeIdle() {
	s.idleTimer.entry = nil
	for kind := range connectionKinds {
		wait, act := s.idleLimit(kind)
		for wait > 0 {
			st := s.connections.idleSince(kind, s.clock.now-wait)
			if st == nil {
				break
			}
			act(st)
		}
	}
}

// idleLimit is how long a connection of that kind may be idle, and what then becomes of it; 0 = for ever.
func (s *Server) idleLimit(kind connectionKind) (time.Duration, func(*connectionState)) {
	switch {
	case kind != closingConnection:
		return s.idleTimer.timeout, s.notifyClosing
	case s.drain.started:
		return 0, nil // the end of the process is near enough
	}
	return closeGracePeriod, s.beginClose
}

// scheduleIdleCheck sees to it that closeIdle is called when the first connection has been idle for too long, and not
// before. It costs the same with any number of connections, so that each turn may end with it.
func (s *Server) scheduleIdleCheck() {
	next := time.Duration(-1)
	for kind := range connectionKinds {
		wait, _ := s.idleLimit(kind)
		if st := s.connections.longestIdle(kind); wait > 0 && st != nil && (next < 0 || st.lastUsed+wait < next) {
			next = st.lastUsed + wait
		}
	}
	at := max(next, s.clock.now+minIdleCheckInterval)
	if next < 0 || s.idleTimer.entry != nil && s.idleTimer.at <= at {
		return // an earlier look may find nothing, and the turn it takes ends here again
	}
	s.deadlines.Cancel(s.idleTimer.entry)
	s.idleTimer.at = at
	s.idleTimer.entry = s.deadlines.Add(at, s.closeIdle)
}
