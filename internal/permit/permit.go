// Package permit decides who may go out: be drained, replaced or taken away, so that what is left can carry the load. It is
// a state machine of commands without I/O, clock or chance: whoever applies the same commands in the same order has the
// same state and gives the same answers. What a command needs to know of the world (who is lost, how much there is to
// do) comes with it, as whoever proposed it saw it.
//
// A permit is never free by time, nor by the death of its holder: only when the instance was seen serving and warm again
// after it had begun to go, when it says that it will not go, or when an operator writes it off with a reason. Coming back in needs no
// permit. Without anybody to apply commands nobody goes out by permit, and everything else goes on.
package permit

import (
	"fmt"
	"slices"
	"strings"
)

// Bounds of what is kept.
const (
	maxPermits     = 4096
	maxLost        = 4096
	maxReasonBytes = 200 // bytes of a reason
	maxLogEntries  = 1024
)

// Instance is an instance and where it is.
type Instance struct{ Name, Region, Zone string }

// Limit is how much of a scope may be out at once, unplanned losses included. Of several limits that hold for an
// instance each has to hold.
type Limit struct {
	Region, Zone        string  // empty: any. Each zone or region by itself, where Each is set
	Per                 string  // "zone", "region" or empty
	MaxUnavailable      int     // instances; 0: see Share
	MaxUnavailableRatio float64 // of the instances of the scope
}

// Rules are the operators'. The newest version holds.
type Rules struct {
	Version uint64
	Limits  []Limit
	Margin  float64 // of the capacity that is left, which the load must not take
}

// FleetView are what the proposer of a command saw.
type FleetView struct {
	Instances []Instance // all instances that should be there, those that are out or lost as well
	Lost      []string
	Load      float64            // seconds of work a second that all are asked for
	Capacity  map[string]float64 // that each instance can do; one that is missing counts as 0
}

// Kind tells commands apart.
type Kind uint8

// The kinds of Command.
const (
	Acquire   Kind = iota + 1 // Owner wants Names to go out, all or none
	Departed                  // the instance has begun to go, as it told itself
	Recovered                 // the instance serves, warm, as it told itself
	Release                   // the instance will not go on its permit of Epoch; it has forgotten that before it says so
	WriteOff                  // Owner frees the permit of an instance, for Reason
	Halt                      // nobody is let out any more
	Resume
	SetRules
)

var kindNames = [...]string{Acquire: "ask", Departed: "went", Recovered: "seen", Release: "return", WriteOff: "write off", Halt: "halt", Resume: "resume", SetRules: "rules"}

func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return fmt.Sprintf("command(%d)", uint8(k))
}

// Command is one entry of the log that all agree on.
type Command struct {
	Kind         Kind
	Owner        string // who asks, or orders
	Reason       string
	Names        []string          // Ask; the others name one
	Incarnations map[string]uint64 // Ask: the process of each that goes; Went and Seen: the one that tells
	Seq          uint64            // Went and Seen: of its word, among those of the process
	Epoch        uint64            // Return
	KnownHalts   uint64            // Ask: the number of halts that the proposer knew of
	Rules        Rules             // SetRules
	View         FleetView         // Ask
}

// Permit is a permission to be out.
type Permit struct {
	Name        string
	Incarnation uint64 // the process that goes: another one of the name frees the permit
	Owner       string
	Reason      string
	Epoch       uint64 // of the command that granted it; later permits have higher ones
	Departed    bool   // it has begun to go
	departedSeq uint64 // of the word that told so
	instance    Instance
}

// Decision is what came of a command, as the log of decisions has it.
type Decision struct {
	Epoch   uint64
	Kind    Kind
	Owner   string
	Names   []string
	Reason  string
	Granted bool   // or done
	Denial  string // it was not; names the limit
}

// State is what all agree on.
type State struct {
	epoch   uint64
	rules   Rules
	permits map[string]Permit
	halts   uint64
	halted  bool
	log     []Decision
}

// NewState returns a state in which nothing is out and nothing may go: there are no rules yet.
func NewState() *State { return &State{permits: map[string]Permit{}} }

// Halted reports whether nobody is let out, and Halts how often that was ordered.
func (s *State) Halted() bool  { return s.halted }
func (s *State) Halts() uint64 { return s.halts }

// Permits are those in force, in the order in which they were granted.
func (s *State) Permits() []Permit {
	permits := make([]Permit, 0, len(s.permits))
	for _, p := range s.permits {
		permits = append(permits, p)
	}
	slices.SortFunc(permits, func(a, b Permit) int {
		if a.Epoch != b.Epoch {
			return int(a.Epoch) - int(b.Epoch)
		}
		return strings.Compare(a.Name, b.Name)
	})
	return permits
}

// Log are the latest decisions, oldest first.
func (s *State) Log() []Decision { return s.log }

// Apply applies the next command.
func (s *State) Apply(command Command) Decision {
	s.epoch++
	decision := Decision{Epoch: s.epoch, Kind: command.Kind, Owner: command.Owner, Names: command.Names, Reason: command.Reason}
	if len(decision.Reason) > maxReasonBytes {
		decision.Reason = decision.Reason[:maxReasonBytes]
	}
	decision.Denial = s.apply(&command, &decision)
	decision.Granted = decision.Denial == ""
	if s.log = append(s.log, decision); len(s.log) > maxLogEntries {
		s.log = slices.Delete(s.log, 0, len(s.log)-maxLogEntries)
	}
	return decision
}

func (s *State) apply(command *Command, decision *Decision) (why string) {
	switch command.Kind {
	case Acquire:
		return s.acquire(command, decision)
	case Departed:
		return s.markDeparted(command)
	case Recovered:
		return s.release(command, func(p Permit) string { return p.checkRecovered(command.Incarnations[p.Name], command.Seq) })
	case Release:
		return s.release(command, func(p Permit) string {
			switch {
			case command.Owner != p.Name || command.Epoch != p.Epoch:
				return "that permit is another's"
			case p.Departed:
				return p.Name + " has begun to go"
			}
			return ""
		})
	case WriteOff:
		if command.Reason == "" {
			return "a permit is written off for a reason only"
		}
		return s.release(command, func(Permit) string { return "" })
	case Halt:
		s.halted = true
		s.halts++
	case Resume:
		s.halted = false
	case SetRules:
		if command.Rules.Version <= s.rules.Version {
			return fmt.Sprintf("rules %d are not newer than %d", command.Rules.Version, s.rules.Version)
		}
		if err := command.Rules.Check(); err != nil {
			return err.Error()
		}
		s.rules = command.Rules
	default:
		return "not a command that is known"
	}
	return ""
}

// release frees the permit of the one instance that c names, unless may says why not.
func (s *State) release(command *Command, may func(Permit) string) string {
	if len(command.Names) != 1 {
		return "names one instance"
	}
	permit, ok := s.permits[command.Names[0]]
	if !ok {
		return command.Names[0] + " has no permit"
	}
	if why := may(permit); why != "" {
		return why
	}
	delete(s.permits, permit.Name)
	return ""
}

// checkRecovered says why an instance that serves has not come back yet: an earlier process, the one that was to go and has not
// begun, or a word from before it began. One that restarts in a loop is never seen warm.
func (p *Permit) checkRecovered(run, seq uint64) string {
	switch {
	case run < p.Incarnation:
		return p.Name + " was an earlier process then"
	case run == p.Incarnation && (!p.Departed || seq <= p.departedSeq):
		return p.Name + " has not gone yet"
	}
	return ""
}

// markDeparted notes that an instance has begun to go.
func (s *State) markDeparted(command *Command) string {
	if len(command.Names) != 1 {
		return "names one instance"
	}
	permit, ok := s.permits[command.Names[0]]
	if !ok || command.Incarnations[permit.Name] != permit.Incarnation {
		return command.Names[0] + " has no permit"
	}
	if !permit.Departed || command.Seq < permit.departedSeq {
		permit.Departed, permit.departedSeq = true, command.Seq
		s.permits[permit.Name] = permit
	}
	return ""
}

// acquire lets all of the names out or none of them.
func (s *State) acquire(command *Command, decision *Decision) string {
	switch {
	case s.halted:
		return "halted"
	case command.KnownHalts != s.halts:
		return "a halt came between"
	case len(s.rules.Limits) == 0:
		return "there are no limits yet"
	case len(command.Names) == 0 || len(s.permits)+len(command.Names) > maxPermits || len(command.View.Lost) > maxLost:
		return "too many, or none"
	}
	unavailable := map[string]bool{}
	for name := range s.permits {
		unavailable[name] = true
	}
	for _, name := range command.View.Lost {
		unavailable[name] = true
	}
	instances := map[string]Instance{}
	for _, p := range command.View.Instances {
		instances[p.Name] = p
	}
	for _, p := range s.permits { // also where the proposer has forgotten it
		if _, ok := instances[p.Name]; !ok {
			instances[p.Name] = p.instance
		}
	}
	for _, name := range command.Names {
		if p, ok := s.permits[name]; ok {
			return fmt.Sprintf("%s is out already, for %s", name, p.Owner)
		}
		if _, ok := instances[name]; !ok {
			return name + " is nobody's name"
		}
		unavailable[name] = true
	}
	if why := s.rules.checkLimits(instances, unavailable, command.Names); why != "" {
		return why
	}
	remaining := 0.0
	for name := range instances {
		if !unavailable[name] {
			remaining += command.View.Capacity[name]
		}
	}
	if command.View.Load > remaining*(1-s.rules.Margin) {
		return fmt.Sprintf("load: %.1f is asked for, and %.1f less %.0f%% would be left", command.View.Load, remaining, 100*s.rules.Margin)
	}
	for _, name := range command.Names {
		s.permits[name] = Permit{Name: name, Incarnation: command.Incarnations[name], Owner: command.Owner, Reason: decision.Reason, Epoch: decision.Epoch, instance: instances[name]}
	}
	return ""
}
