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
	mostPermits = 4096
	mostLost    = 4096
	mostReason  = 200 // bytes of a reason
	mostLog     = 1024
)

// Place is an instance and where it is.
type Place struct{ Name, Region, Zone string }

// Limit is how much of a scope may be out at once, unplanned losses included. Of several limits that hold for an
// instance each has to hold.
type Limit struct {
	Region, Zone string  // empty: any. Each zone or region by itself, where Each is set
	Each         string  // "zone", "region" or empty
	MaxOut       int     // instances; 0: see Share
	MaxRatio     float64 // of the instances of the scope
}

// Rules are the operators'. The newest version holds.
type Rules struct {
	Version uint64
	Limits  []Limit
	Margin  float64 // of the capacity that is left, which the load must not take
}

// Facts are what the proposer of a command saw.
type Facts struct {
	Fleet    []Place // all instances that should be there, those that are out or lost as well
	Lost     []string
	Load     float64            // seconds of work a second that all are asked for
	Capacity map[string]float64 // that each instance can do; one that is missing counts as 0
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

var kinds = [...]string{Acquire: "ask", Departed: "went", Recovered: "seen", Release: "return", WriteOff: "write off", Halt: "halt", Resume: "resume", SetRules: "rules"}

func (k Kind) String() string {
	if int(k) < len(kinds) {
		return kinds[k]
	}
	return fmt.Sprintf("command(%d)", uint8(k))
}

// Command is one entry of the log that all agree on.
type Command struct {
	Kind   Kind
	Owner  string // who asks, or orders
	Reason string
	Names  []string          // Ask; the others name one
	Runs   map[string]uint64 // Ask: the process of each that goes; Went and Seen: the one that tells
	Seq    uint64            // Went and Seen: of its word, among those of the process
	Epoch  uint64            // Return
	Halted uint64            // Ask: the number of halts that the proposer knew of
	Rules  Rules             // SetRules
	Facts  Facts             // Ask
}

// Permit is a permission to be out.
type Permit struct {
	Name   string
	Run    uint64 // the process that goes: another one of the name frees the permit
	Owner  string
	Reason string
	Epoch  uint64 // of the command that granted it; later permits have higher ones
	Out    bool   // it has begun to go
	seq    uint64 // of the word that told so
	place  Place
}

// Decision is what came of a command, as the log of decisions has it.
type Decision struct {
	Epoch   uint64
	Kind    Kind
	Owner   string
	Names   []string
	Reason  string
	Granted bool   // or done
	Why     string // it was not; names the limit
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
	all := make([]Permit, 0, len(s.permits))
	for _, p := range s.permits {
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b Permit) int {
		if a.Epoch != b.Epoch {
			return int(a.Epoch) - int(b.Epoch)
		}
		return strings.Compare(a.Name, b.Name)
	})
	return all
}

// Log are the latest decisions, oldest first.
func (s *State) Log() []Decision { return s.log }

// Apply applies the next command.
func (s *State) Apply(c Command) Decision {
	s.epoch++
	d := Decision{Epoch: s.epoch, Kind: c.Kind, Owner: c.Owner, Names: c.Names, Reason: c.Reason}
	if len(d.Reason) > mostReason {
		d.Reason = d.Reason[:mostReason]
	}
	d.Why = s.apply(&c, &d)
	d.Granted = d.Why == ""
	if s.log = append(s.log, d); len(s.log) > mostLog {
		s.log = slices.Delete(s.log, 0, len(s.log)-mostLog)
	}
	return d
}

func (s *State) apply(c *Command, d *Decision) (why string) {
	switch c.Kind {
	case Acquire:
		return s.ask(c, d)
	case Departed:
		return s.went(c)
	case Recovered:
		return s.free(c, func(p Permit) string { return p.back(c.Runs[p.Name], c.Seq) })
	case Release:
		return s.free(c, func(p Permit) string {
			switch {
			case c.Owner != p.Name || c.Epoch != p.Epoch:
				return "that permit is another's"
			case p.Out:
				return p.Name + " has begun to go"
			}
			return ""
		})
	case WriteOff:
		if c.Reason == "" {
			return "a permit is written off for a reason only"
		}
		return s.free(c, func(Permit) string { return "" })
	case Halt:
		s.halted = true
		s.halts++
	case Resume:
		s.halted = false
	case SetRules:
		if c.Rules.Version <= s.rules.Version {
			return fmt.Sprintf("rules %d are not newer than %d", c.Rules.Version, s.rules.Version)
		}
		if err := c.Rules.Check(); err != nil {
			return err.Error()
		}
		s.rules = c.Rules
	default:
		return "not a command that is known"
	}
	return ""
}

// free frees the permit of the one instance that c names, unless may says why not.
func (s *State) free(c *Command, may func(Permit) string) string {
	if len(c.Names) != 1 {
		return "names one instance"
	}
	p, ok := s.permits[c.Names[0]]
	if !ok {
		return c.Names[0] + " has no permit"
	}
	if why := may(p); why != "" {
		return why
	}
	delete(s.permits, p.Name)
	return ""
}

// back says why an instance that serves has not come back yet: an earlier process, the one that was to go and has not
// begun, or a word from before it began. One that restarts in a loop is never seen warm.
func (p *Permit) back(run, seq uint64) string {
	switch {
	case run < p.Run:
		return p.Name + " was an earlier process then"
	case run == p.Run && (!p.Out || seq <= p.seq):
		return p.Name + " has not gone yet"
	}
	return ""
}

// went notes that an instance has begun to go.
func (s *State) went(c *Command) string {
	if len(c.Names) != 1 {
		return "names one instance"
	}
	p, ok := s.permits[c.Names[0]]
	if !ok || c.Runs[p.Name] != p.Run {
		return c.Names[0] + " has no permit"
	}
	if !p.Out || c.Seq < p.seq {
		p.Out, p.seq = true, c.Seq
		s.permits[p.Name] = p
	}
	return ""
}

// ask lets all of the names out or none of them.
func (s *State) ask(c *Command, d *Decision) string {
	switch {
	case s.halted:
		return "halted"
	case c.Halted != s.halts:
		return "a halt came between"
	case len(s.rules.Limits) == 0:
		return "there are no limits yet"
	case len(c.Names) == 0 || len(s.permits)+len(c.Names) > mostPermits || len(c.Facts.Lost) > mostLost:
		return "too many, or none"
	}
	out := map[string]bool{}
	for name := range s.permits {
		out[name] = true
	}
	for _, name := range c.Facts.Lost {
		out[name] = true
	}
	places := map[string]Place{}
	for _, p := range c.Facts.Fleet {
		places[p.Name] = p
	}
	for _, p := range s.permits { // also where the proposer has forgotten it
		if _, ok := places[p.Name]; !ok {
			places[p.Name] = p.place
		}
	}
	for _, name := range c.Names {
		if p, ok := s.permits[name]; ok {
			return fmt.Sprintf("%s is out already, for %s", name, p.Owner)
		}
		if _, ok := places[name]; !ok {
			return name + " is nobody's name"
		}
		out[name] = true
	}
	if why := s.rules.holds(places, out, c.Names); why != "" {
		return why
	}
	left := 0.0
	for name := range places {
		if !out[name] {
			left += c.Facts.Capacity[name]
		}
	}
	if c.Facts.Load > left*(1-s.rules.Margin) {
		return fmt.Sprintf("load: %.1f is asked for, and %.1f less %.0f%% would be left", c.Facts.Load, left, 100*s.rules.Margin)
	}
	for _, name := range c.Names {
		s.permits[name] = Permit{Name: name, Run: c.Runs[name], Owner: c.Owner, Reason: d.Reason, Epoch: d.Epoch, place: places[name]}
	}
	return ""
}
