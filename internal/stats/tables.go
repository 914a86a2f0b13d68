package stats

// Tables are the current sizes of the tables and queues of a server that grow with the requests of clients, in entries. Each has
// a bound, which docs/capacity.md states.
type Tables struct {
	CompletedIDs        int // IDs of attempts that were run or answered recently
	Deadlines           int // callbacks that the event loop calls later
	ControllerDeadlines int // deadlines of the admission controller, including obsolete ones
	QueueEntries        int // entries of the run queue of the admission controller, including obsolete ones
	InboxEvents         int // events that wait for the event loop
	Claims              int // idempotency keys that requests wait for, as another process may have run them
	PeerMessages        int // messages to other processes of the image server that are not written yet
	PeerKeys            int // idempotency keys that are still to be announced to other processes
}

// tableSize is the size of a table with the name under which it is logged and published.
type tableSize struct {
	name string
	size int
}

// sizes returns the sizes with their names. Operators' tools read the names, which never change.
func (t Tables) sizes() []tableSize {
	return []tableSize{
		{"completed_ids", t.CompletedIDs},
		{"deadlines", t.Deadlines},
		{"controller_deadlines", t.ControllerDeadlines},
		{"queue_entries", t.QueueEntries},
		{"inbox", t.InboxEvents},
		{"claims", t.Claims},
		{"peer_messages", t.PeerMessages},
		{"peer_keys", t.PeerKeys},
	}
}
