package permit

import "fmt"

// Instance is the location of one instance.
type Instance struct{ Name, Region, Zone string }

// FleetView is the state of the fleet as the proposer of a command observed it.
type FleetView struct {
	Instances []Instance         // all instances of the fleet, unavailable ones included
	Lost      []string           // names of the instances that are unavailable without a permit
	Load      float64            // work requested of the whole fleet, in seconds of work per second
	Capacity  map[string]float64 // seconds of work per second that each instance can do, by name; 0 if absent
}

// CommandKind is the type of a Command. Its numbers are part of the replicated log.
type CommandKind uint8

// The kinds of Command.
const (
	Acquire   CommandKind = iota + 1 // Owner requests permits for all of Names; all or none are granted
	Departed                         // the instance reports that it leaves service
	Recovered                        // the instance reports that it serves and is warm
	Release                          // the instance gives back its permit of Epoch, which it must not use after it has proposed this
	WriteOff                         // Owner releases the permit of an instance, for Reason
	Halt                             // no permit is granted until Resume
	Resume                           // ends Halt
	SetRules                         // replaces the rules by Rules
)

var commandKindNames = [...]string{
	Acquire:   "acquire",
	Departed:  "departed",
	Recovered: "recovered",
	Release:   "release",
	WriteOff:  "write off",
	Halt:      "halt",
	Resume:    "resume",
	SetRules:  "set rules",
}

// String returns the name of the kind as operators see it.
func (k CommandKind) String() string {
	if int(k) < len(commandKindNames) {
		return commandKindNames[k]
	}
	return fmt.Sprintf("command(%d)", uint8(k))
}

// Command is one entry of the replicated log. Where only some kinds use a field, its comment begins with these kinds.
type Command struct {
	Kind         CommandKind
	Owner        string            // who proposed the command
	Reason       string            // why; required for WriteOff
	Names        []string          // names of instances: one or more for Acquire, exactly one for the kinds about one instance
	Incarnations map[string]uint64 // Acquire: process that may depart, by name; Departed, Recovered: process that reports
	Seq          uint64            // Departed, Recovered: sequence number among the reports of the process
	Epoch        uint64            // Release: epoch of the permit
	KnownHalts   uint64            // Acquire: State.Halts as the proposer read it
	Rules        Rules             // SetRules: the new rules
	View         FleetView         // Acquire: state of the fleet
}

// instanceName returns the name in a command about one instance: Departed, Recovered, Release or WriteOff. It returns
// ErrNotOneInstance if the command does not have exactly one name.
func (c *Command) instanceName() (string, error) {
	if len(c.Names) != 1 {
		return "", ErrNotOneInstance
	}
	return c.Names[0], nil
}

// Decision is the result of a command, as State.Log returns it.
type Decision struct {
	Epoch  uint64      // number of commands applied so far, this one included
	Kind   CommandKind // kind of the command, as the next three fields are its owner, names and reason
	Owner  string
	Names  []string
	Reason string // truncated to 200 bytes
	Denial error  // why the command was denied and changed nothing; nil if it was applied
}

// Granted reports whether the command was applied.
func (d *Decision) Granted() bool { return d.Denial == nil }
