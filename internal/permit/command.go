package permit

import "fmt"

// Instance is the location of one instance.
type Instance struct{ Name, Region, Zone string }

// FleetView is what the proposer of a command observed of the fleet.
type FleetView struct {
	Instances []Instance         // all that belong to the fleet, also those that are out or lost
	Lost      []string           // names of instances that are out without a permit
	Load      float64            // seconds of work per second that the whole fleet is asked for
	Capacity  map[string]float64 // seconds of work per second that each instance can do; 0 where it is absent
}

// CommandKind is the type of a Command. Its numbers are part of the replicated log.
type CommandKind uint8

// The kinds of Command.
const (
	Acquire   CommandKind = iota + 1 // Owner wants permits for all of Names or none
	Departed                         // the instance reports that it has begun to go
	Recovered                        // the instance reports that it serves and is warm
	Release                          // the instance gives back its permit of Epoch, which it no longer knows when it reports so
	WriteOff                         // Owner releases the permit of an instance, for Reason
	Halt                             // no permit is granted until Resume
	Resume
	SetRules
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

func (k CommandKind) String() string {
	if int(k) < len(commandKindNames) {
		return commandKindNames[k]
	}
	return fmt.Sprintf("command(%d)", uint8(k))
}

// Command is one entry of the replicated log. The comment of a field lists the kinds that use it.
type Command struct {
	Kind         CommandKind
	Owner        string // who proposed it
	Reason       string
	Names        []string          // of instances: one or more for Acquire, exactly one for the others
	Incarnations map[string]uint64 // Acquire: of each process that is to go; Departed, Recovered: of the one that reports
	Seq          uint64            // Departed, Recovered: sequence number among the reports of the process
	Epoch        uint64            // Release
	KnownHalts   uint64            // Acquire: State.Halts as the proposer knew it
	Rules        Rules             // SetRules
	View         FleetView         // Acquire
}

// instanceName returns the one instance that a command of any kind but Acquire is about.
func (c *Command) instanceName() (string, error) {
	if len(c.Names) != 1 {
		return "", ErrNotOneInstance
	}
	return c.Names[0], nil
}

// Decision is the result of a command, as the log of decisions keeps it.
type Decision struct {
	Epoch  uint64
	Kind   CommandKind
	Owner  string
	Names  []string
	Reason string // at most maxReasonBytes
	Denial error  // why the command changed nothing; nil where it was granted
}

// Granted reports whether the command was carried out.
func (d *Decision) Granted() bool { return d.Denial == nil }
