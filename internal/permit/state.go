package permit

import (
	"cmp"
	"slices"
	"strings"
)

// Bounds on the size of a State and of the commands that it accepts.
const (
	maxPermits     = 4096 // permits in force
	maxLost        = 4096 // names in FleetView.Lost
	maxReasonBytes = 200  // bytes of Decision.Reason
	maxLogEntries  = 1024 // decisions in State.Log
)

// State is the replicated state: the rules, the permits in force and the latest decisions. It is not safe for concurrent
// use.
type State struct {
	epoch   uint64            // number of commands in the log so far, denied ones included
	rules   Rules             // rules in force
	permits map[string]Permit // permits in force, by name of the instance
	halts   uint64            // number of Halt commands applied so far
	halted  bool              // the latest Halt was not followed by Resume
	log     []Decision        // latest decisions, oldest first
}

// NewState returns a state without permits and rules. It grants no permit until SetRules is applied.
func NewState() *State { return &State{permits: map[string]Permit{}} }

// Halted reports whether grants are halted: a Halt was applied, and no Resume since.
func (s *State) Halted() bool { return s.halted }

// Halts returns the number of Halt commands applied so far.
func (s *State) Halts() uint64 { return s.halts }

// Permits returns the permits in force, in the order in which they were granted.
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

// Log returns the latest 1024 decisions, oldest first. The caller must not modify them.
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

// apply applies a command. If it is denied, apply returns why and changes nothing.
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

// setRules replaces the rules if the new ones are valid and have a higher version.
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

// markDeparted records that an instance leaves service. Of several reports, the one with the lowest sequence number counts.
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
	default: // WriteOff releases any permit
	}
	if err != nil {
		return err
	}
	delete(s.permits, name)
	return nil
}
