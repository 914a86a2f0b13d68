package server

const (
	// inboxCapacity is the maximum number of events that wait for the loop.
	inboxCapacity = 1024
	// peerInboxCapacity is the maximum number of events of links to other processes that wait for the loop. They also have a
	// limit in bytes, which package handover keeps.
	peerInboxCapacity = 1024
)

// event is something that has happened outside the loop. The loop calls handle once, on its own goroutine.
type event interface {
	handle(s *Server)
}

// task is an event that consists of a function. Tasks come from packages that do not depend on this one, such as those of the
// links to the agent and the store, and from functions of this package, such as Drain and query.
type task func()

func (t task) handle(*Server) { t() }

// inbox passes events to the loop, in the order in which they were put. Any goroutine may put events; only the loop takes
// them. Events of links to other processes of the image server have a queue of their own, which is handled first: clients
// that fill the other one must not make this process fall behind what the other process does.
type inbox struct {
	events chan event
	peers  chan event    // of links to other processes
	closed chan struct{} // closed when the loop has ended
}

func newInbox() inbox {
	return inbox{
		events: make(chan event, inboxCapacity),
		peers:  make(chan event, peerInboxCapacity),
		closed: make(chan struct{}),
	}
}

// put adds an event, and blocks while the inbox is full. Events are discarded after the loop has ended.
func (i *inbox) put(e event) {
	select {
	case i.events <- e:
	case <-i.closed:
	}
}

// offer adds an event without blocking, and reports whether there was room for it.
func (i *inbox) offer(e event) bool {
	select {
	case i.events <- e:
		return true
	default:
		return false
	}
}

// waiting returns the number of events in the inbox.
func (i *inbox) waiting() int { return len(i.events) }

// post makes the loop call f.
func (s *Server) post(f func()) { s.inbox.put(task(f)) }

// postPeer makes the loop call f before all events that do not come from links to other processes.
func (s *Server) postPeer(f func()) {
	select {
	case s.inbox.peers <- task(f):
	case <-s.inbox.closed:
	}
}

// handlePeers handles the events of links to other processes that are in the inbox now.
func (s *Server) handlePeers() {
	for n := len(s.inbox.peers); n > 0; n-- {
		(<-s.inbox.peers).handle(s)
	}
}

// handlePending handles the events that are in the inbox now, but at most limit of them.
func (s *Server) handlePending(limit int) {
	for n := min(s.inbox.waiting(), limit); n > 0; n-- {
		(<-s.inbox.events).handle(s)
	}
}
