package server

import (
	"falldeal/admission"
	"falldeal/internal/stats"
)

// tables returns the current sizes of the tables and queues that grow with the requests of clients.
func (s *Server) tables() stats.Tables {
	tables := stats.Tables{
		CompletedIDs: s.completed.size(),
		Deadlines:    s.deadlines.Len(),
		InboxEvents:  s.inbox.waiting(),
		Claims:       s.handover.claims.size(),
	}
	if s.admission.started() {
		sizes := admission.TableSizesOf(s.admission.controller)
		tables.ControllerDeadlines = sizes.Deadlines
		tables.QueueEntries = sizes.QueueEntries
	}
	for _, outbox := range s.handover.outboxes {
		tables.PeerMessages += outbox.link.Unwritten()
		tables.PeerKeys += len(outbox.changed) + len(outbox.unsent)
	}
	return tables
}
