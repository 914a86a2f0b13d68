package server

// inboxCapacity is the number of events that may wait for the loop.
const inboxCapacity = 1024

// event is what happened outside the loop. The loop calls handle, once, on its own goroutine.
type event interface {
	handle(s *Server)
}

// task is an event that is a function: of the links to other processes, which know nothing of this package, and of
// goroutines that wait for a result (query).
type task func()

func (t task) handle(*Server) { t() }

// inbox carries events to the loop, in the order in which they were put. Any goroutine may put events; only the loop
// takes them.
type inbox struct {
	events chan event
	closed chan struct{} // closed when the loop has ended
}

func newInbox() inbox {
	return inbox{events: make(chan event, inboxCapacity), closed: make(chan struct{})}
}

// put blocks while the inbox is full. Once the loop has ended, events are discarded.
func (i *inbox) put(e event) {
	select {
	case i.events <- e:
	case <-i.closed:
	}
}

// offer puts e without blocking, and reports whether there was room for it.
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

// handleWaiting handles the events that wait by now, limit at most.
func (s *Server) handleWaiting(limit int) {
	for n := min(s.inbox.waiting(), limit); n > 0; n-- {
		(<-s.inbox.events).handle(s)
	}
}
