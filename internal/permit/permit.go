// Package permit implements disruption budgets: it decides which instances may be drained, replaced or removed so that
// the remaining ones can still carry the load.
//
// State is a replicated state machine without I/O, clock, randomness or goroutines: replicas that apply the same
// commands in the same order hold the same state and return the same decisions. What a command needs to know of the
// fleet (losses, load, capacity) comes with it, as its proposer observed it.
//
// A permit never expires, and it outlives its holder. It is released only when the instance was observed serving and
// warm after it had departed, when the instance gives it back before departing, or when an operator writes it off with a
// reason. Coming back needs no permit. Where no command can be applied, nothing is granted and everything else goes on.
package permit

// Permit allows one instance to be out of service.
type Permit struct {
	Name        string // of the instance
	Incarnation uint64 // process that departs; a later process of the same name releases the permit
	Owner       string
	Reason      string
	Epoch       uint64 // of the command that granted it; later permits have higher ones
	Departed    bool   // the instance has begun to go
	departedSeq uint64 // sequence number of the report of that
	instance    Instance
}

// checkRecovered returns an error unless a report that the instance serves shows that it is back. A report of an earlier
// process does not, nor one of the permitted process from before its departure. An instance that restarts in a loop is
// never reported as warm.
func (p *Permit) checkRecovered(incarnation, seq uint64) error {
	reportedAfterDeparture := p.Departed && seq > p.departedSeq
	switch {
	case incarnation < p.Incarnation:
		return &InstanceError{Name: p.Name, Err: ErrEarlierIncarnation}
	case incarnation == p.Incarnation && !reportedAfterDeparture:
		return &InstanceError{Name: p.Name, Err: ErrNotDeparted}
	}
	return nil
}

// checkReleasedBy returns an error unless owner is the instance itself, means this very permit and has not departed.
func (p *Permit) checkReleasedBy(owner string, epoch uint64) error {
	switch {
	case owner != p.Name || epoch != p.Epoch:
		return ErrNotHolder
	case p.Departed:
		return &InstanceError{Name: p.Name, Err: ErrDeparted}
	}
	return nil
}
