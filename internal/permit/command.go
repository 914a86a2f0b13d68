package permit

import "fmt"

// Instance is the name and the location of an instance.
type Instance struct{ Name, Region, Zone string }

// FleetView is the state of the fleet as the proposer of a command observed it.
type FleetView struct {
	Instances []Instance         // all instances of the fleet, unavailable ones included
	Lost      []string           // names of the instances that are unavailable without a permit
	Load      float64            // demand on the whole fleet, in seconds of work requested per second
	Capacity  map[string]float64 // seconds of work that each instance can complete per second, by name; 0 if absent
}

// CommandKind is the type of a Command. Its numbers are part of the replicated log.
type CommandKind uint8

// The kinds of Command.
const (
	Acquire   CommandKind = iota + 1 // Owner requests permits for all of Names; all or none are granted
	Departed                         // the instance reports that it is leaving service
	Recovered                        // the instance reports that it serves requests and has finished warming up
	Release                          // the instance returns its unused permit of Epoch; it must not use it after proposing this
	WriteOff                         // an operator releases the permit of an instance, whatever its state; requires Reason
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
	Incarnations map[string]uint64 // by name; Acquire: of the process that may depart; Departed, Recovered: of the reporter
	Seq          uint64            // Departed, Recovered: sequence number among the reports of the process
	Epoch        uint64            // Release: epoch of the permit
	KnownHalts   uint64            // Acquire: State.Halts when the proposer prepared the command; denied if it has changed
	Rules        Rules             // SetRules: the new rules
	View         FleetView         // Acquire: the fleet as the proposer observed it
}

// instanceName returns the name in a command about one instance: Departed, Recovered, Release or WriteOff. It returns
// ErrNotOneInstance if the command does not have exactly one name.
func (c *Command) instanceName() (string, error) {
	if len(c.Names) != 1 {
		return "", ErrNotOneInstance
	}
	return c.Names[0], nil
}

// Decision is the result of a command. State.Apply returns it, and State.Log the latest ones.
type Decision struct {
	Epoch  uint64      // position of the command in the replicated log, from 1; denied commands count
	Kind   CommandKind // Kind, Owner, Names and Reason are copied from the command
	Owner  string
	Names  []string
	Reason string // truncated to 200 bytes
	Denial error  // why the command was denied and changed nothing; nil if it was applied
}

// Granted reports whether the command was applied.
func (d *Decision) Granted() bool { return d.Denial == nil }
