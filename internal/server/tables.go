package server

import (
	"falldeal/admission"
	"falldeal/internal/stats"
)

// tables returns the current sizes of the tables and queues that grow with what clients send.
func (s *Server) tables() stats.Tables {
	tables := stats.Tables{
		CompletedIDs: s.completed.size(),
		Deadlines:    s.deadlines.Len(),
		InboxEvents:  s.inbox.waiting(),
		Claims:       len(s.handover.claims),
	}
	if s.admission.started() {
		sizes := admission.TableSizesOf(s.admission.controller)
		tables.ControllerDeadlines = sizes.Deadlines
		tables.QueueEntries = sizes.QueueEntries
	}
	for _, link := range s.handover.links() {
		tables.PeerMessages += link.Unwritten()
	}
	return tables
}
