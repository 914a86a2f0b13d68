package permit

import (
	"cmp"
	"slices"
	"strings"
)

// Bounds of what a State keeps.
const (
	maxPermits     = 4096
	maxLost        = 4096 // names in FleetView.Lost
	maxReasonBytes = 200
	maxLogEntries  = 1024
)

// State is the state that all replicas agree on. It is not safe for concurrent use.
type State struct {
	epoch   uint64
	rules   Rules
	permits map[string]Permit // by the name of the instance
	halts   uint64
	halted  bool
	log     []Decision
}

// NewState returns a state without rules, in which nothing is out and nothing is granted.
func NewState() *State { return &State{permits: map[string]Permit{}} }

// Halted reports whether grants are halted.
func (s *State) Halted() bool { return s.halted }

// Halts returns how many halts were ordered so far.
func (s *State) Halts() uint64 { return s.halts }

// Permits returns those in force, in the order in which they were granted.
func (s *State) Permits() []Permit {
	permits := make([]Permit, 0, len(s.permits))
	for _, p := range s.permits {
		permits = append(permits, p)
	}
	slices.SortFunc(permits, func(a, b Permit) int {
		return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), strings.Compare(a.Name, b.Name))
	})
	return permits
}

// Log returns the latest decisions, oldest first. The caller must not change them.
func (s *State) Log() []Decision { return s.log }

// Apply applies the next command of the replicated log and returns the decision.
func (s *State) Apply(command Command) Decision {
	s.epoch++
	decision := Decision{
		Epoch:  s.epoch,
		Kind:   command.Kind,
		Owner:  command.Owner,
		Names:  command.Names,
		Reason: command.Reason[:min(len(command.Reason), maxReasonBytes)],
	}
	decision.Denial = s.apply(&command, &decision)
	s.log = append(s.log, decision)
	if len(s.log) > maxLogEntries {
		s.log = slices.Delete(s.log, 0, len(s.log)-maxLogEntries)
	}
	return decision
}

// apply carries out a command, or returns why it can't and changes nothing.
func (s *State) apply(command *Command, decision *Decision) error {
	switch command.Kind {
	case Acquire:
		return s.acquire(command, decision)
	case Departed:
		return s.markDeparted(command)
	case Recovered, Release, WriteOff:
		return s.release(command)
	case Halt:
		s.halted = true
		s.halts++
	case Resume:
		s.halted = false
	case SetRules:
		return s.setRules(command.Rules)
	default:
		return ErrUnknownCommand
	}
	return nil
}

// setRules replaces the rules by newer ones that make sense.
func (s *State) setRules(rules Rules) error {
	if rules.Version <= s.rules.Version {
		return &StaleRulesError{Version: rules.Version, Current: s.rules.Version}
	}
	if err := rules.Check(); err != nil {
		return err
	}
	s.rules = rules
	return nil
}

// markDeparted records that an instance has begun to go. The earliest report counts.
func (s *State) markDeparted(command *Command) error {
	name, err := command.instanceName()
	if err != nil {
		return err
	}
	permit, ok := s.permits[name]
	if !ok || command.Incarnations[name] != permit.Incarnation {
		return &InstanceError{Name: name, Err: ErrNoPermit}
	}
	if !permit.Departed || command.Seq < permit.departedSeq {
		permit.Departed = true
		permit.departedSeq = command.Seq
		s.permits[name] = permit
	}
	return nil
}

// release releases the permit of the one instance that a Recovered, Release or WriteOff command names.
func (s *State) release(command *Command) error {
	if command.Kind == WriteOff && command.Reason == "" {
		return ErrReasonRequired
	}
	name, err := command.instanceName()
	if err != nil {
		return err
	}
	permit, ok := s.permits[name]
	if !ok {
		return &InstanceError{Name: name, Err: ErrNoPermit}
	}
	switch command.Kind {
	case Recovered:
		err = permit.checkRecovered(command.Incarnations[name], command.Seq)
	case Release:
		err = permit.checkReleasedBy(command.Owner, command.Epoch)
	default: // WriteOff: an operator may release any permit
	}
	if err != nil {
		return err
	}
	delete(s.permits, name)
	return nil
}
