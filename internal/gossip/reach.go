package gossip

import (
	"sync"

	"falldeal/internal/fleet"

	"github.com/hashicorp/memberlist"
)

// reachChanges collects the latest result of the failure detection for each process. memberlist's goroutines record results,
// and the owner of the view drains them.
type reachChanges struct {
	mu     sync.Mutex
	latest map[string]fleet.Reach // by the name that fleet.Process returns; guarded by mu
}

func newReachChanges() reachChanges { return reachChanges{latest: map[string]fleet.Reach{}} }

func (r *reachChanges) record(process string, reach fleet.Reach) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.latest[process] = reach
}

// drain calls apply with each result recorded since the last call.
func (r *reachChanges) drain(apply func(process string, reach fleet.Reach)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for process, reach := range r.latest {
		apply(process, reach)
	}
	clear(r.latest)
}

// eventDelegate receives the results of memberlist's failure detection.
type eventDelegate struct{ reach *reachChanges }

// NotifyJoin implements memberlist.EventDelegate.
func (d eventDelegate) NotifyJoin(node *memberlist.Node) { d.reach.record(node.Name, fleet.Reached) }

// NotifyLeave implements memberlist.EventDelegate.
func (d eventDelegate) NotifyLeave(node *memberlist.Node) { d.reach.record(node.Name, fleet.Lost) }

// NotifyUpdate implements memberlist.EventDelegate. It ignores changes of metadata, which nodes do not have.
func (d eventDelegate) NotifyUpdate(*memberlist.Node) {}
