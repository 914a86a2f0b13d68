package server

import (
	"container/list"
	"slices"
	"time"

	"falldeal/internal/deadline"
)

const (
	idleCheck    = 100 * time.Millisecond // least time between looks for idle connections
	closingGrace = 2 * time.Second        // for a peer to close after it was told to
	looksMost    = 8                      // for a peer that was told to close to stop sending
	sparePeers   = 8                      // connections left free, so that one more is accepted while an idle one ends
)

// peerKind sorts the connections without an open request by how little would be lost with them.
type peerKind uint8

const (
	silentPeer  peerKind = iota // it has sent nothing that can be read
	closingPeer                 // it was told to go
	spokenPeer
	peerKinds
)

// peerState is what the loop knows of a connection.
type peerState struct {
	peer    Connection
	open    map[uint32]*request
	last    uint32        // highest number of a request so far
	said    bool          // it has sent a request or a health check that can be read
	used    time.Duration // when a message last came or went, or it was told to go
	closing bool          // it was told that it is closing
	leaving leaving
	looks   int  // how often what came was read on that way
	deaf    bool // what it says is passed over

	list *list.List // that it stands in: nil while a request is open
	at   *list.Element
}

// leaving is how far a connection is on its way out. What comes on that way is answered, for bytes may arrive in the
// moment in which it is closed: it goes once nothing is owed on it and nothing has come that was not read.
type leaving uint8

const (
	staying leaving = iota
	asked           // to read what has come
	quiet           // nothing has come, and nothing is read until it is told what to do
	inUse           // it reads as ever until what came has its answers; then it is asked again
	over            // nothing more can be read
)

func (st *peerState) kind() peerKind {
	switch {
	case st.closing:
		return closingPeer
	case st.said:
		return spokenPeer
	}
	return silentPeer
}

// peerTable knows the connections, and those without an open request by how long they have been idle: what is
// asked at each turn, or for each new connection, costs the same however many there are. Times never go back.
type peerTable struct {
	states  map[Connection]*peerState
	idle    [peerKinds]list.List // idle for longest first
	opened  int                  // open requests
	leaving []*peerState         // have no place any more, and are to be closed
}

func newPeerTable() peerTable { return peerTable{states: map[Connection]*peerState{}} }

// size is how many connections there are, but for those that are being closed.
func (t *peerTable) size() int { return len(t.states) - len(t.leaving) }

// none reports whether there is no connection at all.
func (t *peerTable) none() bool { return len(t.states) == 0 }

// of returns the state of a connection, or nil once it is gone.
func (t *peerTable) of(p Connection) *peerState { return t.states[p] }

func (t *peerTable) add(p Connection, now time.Duration) *peerState {
	st := &peerState{peer: p, open: map[uint32]*request{}, used: now}
	t.states[p] = st
	t.place(st)
	return st
}

// remove forgets a connection, and leaves its open requests in its state.
func (t *peerTable) remove(st *peerState) {
	t.take(st)
	t.opened -= len(st.open)
	delete(t.states, st.peer)
	if st.leaving != staying {
		t.leaving = slices.DeleteFunc(t.leaving, func(other *peerState) bool { return other == st })
	}
}

// leave notes that a connection is being closed, and how far that is.
func (t *peerTable) leave(st *peerState, step leaving) {
	if st.leaving == staying {
		t.leaving = append(t.leaving, st)
		t.take(st)
	}
	st.leaving = step
}

// use notes that a message came or went.
func (t *peerTable) use(st *peerState, now time.Duration) {
	st.used = now
	t.place(st)
}

// heard notes a message that can be read.
func (t *peerTable) heard(st *peerState, now time.Duration) {
	st.said = true
	t.use(st, now)
}

// told notes that a connection was told to go.
func (t *peerTable) told(st *peerState, now time.Duration) {
	st.closing = true
	t.use(st, now)
}

func (t *peerTable) open(st *peerState, call uint32, r *request) {
	if st.open[call] == nil {
		t.opened++
	}
	st.open[call] = r
	t.take(st)
}

func (t *peerTable) settle(st *peerState, call uint32) {
	if st.open[call] == nil {
		return
	}
	t.opened--
	delete(st.open, call)
	t.place(st)
}

func (t *peerTable) take(st *peerState) {
	if st.list != nil {
		st.list.Remove(st.at)
		st.list = nil
	}
}

// place puts a connection behind those of its kind that have been idle for longer.
func (t *peerTable) place(st *peerState) {
	t.take(st)
	if len(st.open) > 0 || st.leaving != staying {
		return
	}
	st.list = &t.idle[st.kind()]
	at := st.list.Back()
	for at != nil && at.Value.(*peerState).used > st.used { // a request that ends late stands where it was used
		at = at.Prev()
	}
	if at == nil {
		st.at = st.list.PushFront(st)
	} else {
		st.at = st.list.InsertAfter(st, at)
	}
}

func (t *peerTable) first(kind peerKind) *peerState {
	if e := t.idle[kind].Front(); e != nil {
		return e.Value.(*peerState)
	}
	return nil
}

// leastMissed returns the connection to close for a new one: silent ones before those that go anyway, and these
// before others; the one that is idle for longest. None with an open request is closed.
func (t *peerTable) leastMissed() *peerState {
	for kind := range peerKinds {
		if st := t.first(kind); st != nil {
			return st
		}
	}
	return nil
}

// idleSince returns the connection of that kind that was idle before then for longest.
func (t *peerTable) idleSince(kind peerKind, then time.Duration) *peerState {
	if st := t.first(kind); st != nil && st.used <= then {
		return st
	}
	return nil
}

// mostPeers is how many connections may be open. Two processes that are one image server share its descriptors.
func (s *Server) mostPeers() int {
	most := s.cfg.Limits.FrontSockets()
	if s.older != nil || s.newer != nil {
		most /= 2
	}
	return most - sparePeers
}

// growTables closes the connection that is missed least, and reports whether there was one.
func (s *Server) makeRoom() bool {
	st := s.peers.leastMissed()
	if st == nil {
		return false
	}
	s.dropPeer(st)
	return true
}

// dropPeer closes a connection. A request that came before that may not have been read yet, where this process is
// behind or the machine stood still: it is read, and answered. The place is free at once.
func (s *Server) dropPeer(st *peerState) {
	if st.leaving == staying {
		s.stats.ConnectionsClosed++
		s.peers.leave(st, asked)
		st.peer.PauseReading()
	}
}

// closeLeaving takes connections that are leaving one step on.
func (s *Server) closeLeaving() {
	for _, st := range slices.Clone(s.peers.leaving) {
		switch busy := len(st.open) > 0; {
		case busy && st.leaving == quiet && !st.deaf:
			st.leaving = inUse
			st.peer.ResumeReading()
		case busy, st.leaving == asked:
		case st.leaving == inUse:
			st.leaving = asked
			st.peer.PauseReading()
		case st.leaving == quiet && !st.deaf && !st.peer.TryClose():
			st.leaving = asked
		default:
			s.peers.remove(st)
			st.peer.Close()
		}
	}
}

// forgetPeer strikes off a connection: nobody waits for answers on it.
func (s *Server) forgetPeer(st *peerState) {
	s.peers.remove(st)
	for _, r := range st.open {
		s.gone(r)
	}
}

func (s *Server) tellClosing(st *peerState) {
	if !st.closing {
		s.peers.told(st, s.clock.now)
		st.peer.NotifyClosing()
	}
}

// idleWatch is the next look for idle connections.
type idleWatch struct {
	limit time.Duration // connections idle for longer are told to go; 0 = none
	next  *deadline.Entry
	at    time.Duration
}

// closeIdle tells peers that have been idle for too long to go, and closes those that did not.
func (s *Server) closeIdle() {
	s.watch.next = nil
	for kind := range peerKinds {
		wait, act := s.idleLimit(kind)
		for wait > 0 {
			st := s.peers.idleSince(kind, s.clock.now-wait)
			if st == nil {
				break
			}
			act(st)
		}
	}
}

// idleLimit is how long a connection of that kind may be idle, and what then becomes of it; 0 = for ever.
func (s *Server) idleLimit(kind peerKind) (time.Duration, func(*peerState)) {
	switch {
	case kind != closingPeer:
		return s.watch.limit, s.tellClosing
	case s.drain.on:
		return 0, nil // the end of the process is near enough
	}
	return closingGrace, s.dropPeer
}

// watchIdle sees to it that closeIdle is called when the first connection has been idle for too long, and not
// before. It costs the same with any number of connections, so that each turn may end with it.
func (s *Server) watchIdle() {
	next := time.Duration(-1)
	for kind := range peerKinds {
		wait, _ := s.idleLimit(kind)
		if st := s.peers.first(kind); wait > 0 && st != nil && (next < 0 || st.used+wait < next) {
			next = st.used + wait
		}
	}
	at := max(next, s.clock.now+idleCheck)
	if next < 0 || s.watch.next != nil && s.watch.at <= at {
		return // an earlier look may find nothing, and the turn it takes ends here again
	}
	s.deadlines.Cancel(s.watch.next)
	s.watch.at = at
	s.watch.next = s.deadlines.Add(at, s.closeIdle)
}
