// Package permit implements disruption budgets: it decides which instances may be drained, replaced or removed so that
// the remaining instances can still carry the load.
//
// State is a replicated state machine without I/O, clock, randomness or goroutines. Replicas that apply the same commands
// in the same order hold the same state and return the same decisions. A command carries what it needs to know of the
// fleet (losses, load, capacity), as its proposer observed it.
//
// A permit never expires, and it stays in force after its instance has stopped. Only these events release it:
//
//   - The instance reports, after it has departed, that it serves requests and has finished warming up.
//   - The instance returns the permit before it departs.
//   - An operator writes the permit off, with a reason.
//
// An instance needs no permit to return to service. While no command can be applied, no permit is granted; nothing else is
// blocked.
package permit

// Permit allows one instance to be out of service.
type Permit struct {
	Name        string   // name of the instance
	Incarnation uint64   // of the process that may depart; a Recovered report of a later process releases the permit
	Owner       string   // who requested the permit
	Reason      string   // the owner's reason
	Epoch       uint64   // Decision.Epoch of the grant; a permit that is granted later has a higher one
	Departed    bool     // the instance has reported that it leaves service
	departedSeq uint64   // sequence number of the report of departure
	instance    Instance // as listed in the Acquire command; used if the view of a later command does not list it
}

// checkRecovered returns an error unless a Recovered report shows that the instance is back. A report by an earlier
// process than the one that may depart does not show that, nor does a report that this one made before its departure.
// An instance that restarts in a loop never finishes warming up, so that its permit stays in force.
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

// checkReleasedBy returns an error unless owner is the instance itself, epoch is that of this permit, and the instance has
// not departed.
func (p *Permit) checkReleasedBy(owner string, epoch uint64) error {
	switch {
	case owner != p.Name || epoch != p.Epoch:
		return ErrNotHolder
	case p.Departed:
		return &InstanceError{Name: p.Name, Err: ErrDeparted}
	}
	return nil
}
