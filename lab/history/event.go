// Package history records the events of a laboratory run, with times on one clock, and evaluates them. A history has
//
//   - attempts and requests, as clients saw them;
//   - runs and calls to stores, as the fake agents and stores saw them;
//   - changes of processes and faults, as the laboratory made them;
//   - views, as members reported them of one another.
//
// The package checks a history against rules (Check), summarizes it and plots it. It shares no code with the programs under
// test, so that a fault in them cannot hide itself.
package history

import "time"

// Kind is the kind of an event. Its text is stored in history files.
type Kind string

// Kinds of events, with the fields that are set in addition to At.
const (
	AttemptSent      Kind = "ask"      // AttemptID, IdempotencyKey, Class, Server, Client, Deadline
	AttemptAnswered  Kind = "answer"   // AttemptID, Server; Detail is the Outcome
	AttemptAbandoned Kind = "gave up"  // AttemptID, Server; Detail may be DetailUnread; the client no longer waits for an answer
	RunStarted       Kind = "run"      // AttemptID, Class, Server; the agent of Server starts the run
	RunEnded         Kind = "run end"  // AttemptID, Class, Server; Detail is the fakes.RunResult
	CallStarted      Kind = "call"     // AttemptID (except in lab/model), Server (zone of the store); Count: calls in flight there
	CallEnded        Kind = "call end" // as CallStarted
	ProcessChanged   Kind = "process"  // Server; Detail is the ProcessState
	FaultChanged     Kind = "fault"    // Detail names the fault; Count is 1 at its start and 0 at its end; a store crash has no end
	ViewChanged      Kind = "view"     // Server reports on Member; Detail is the Condition
	// RequestCompleted has Class, Client, Latency, Value, ValueServed and Work. Detail is the Outcome, and Count is the
	// number of attempts.
	RequestCompleted Kind = "request"
)

// Outcome is how an attempt or a request ended. It is stored in Event.Detail.
type Outcome string

// Outcomes of attempts and requests.
const (
	OutcomeServed      Outcome = "served"
	OutcomeLate        Outcome = "late"      // served after its latency objective; of requests only
	OutcomeRejected    Outcome = "refused"   // rejected by admission control
	OutcomeFailed      Outcome = "failed"    // the server answered with another error
	OutcomeLost        Outcome = "lost"      // the connection was lost before an answer
	OutcomeAbandoned   Outcome = "gave up"   // the client stopped waiting for an answer
	OutcomeUnreachable Outcome = "unreached" // the client could not connect to the server
)

// Description returns the name of the outcome in printed reports, which differs from the stored text of some.
func (o Outcome) Description() string {
	switch o {
	case OutcomeRejected:
		return "rejected"
	case OutcomeAbandoned:
		return "abandoned"
	case OutcomeUnreachable:
		return "unreachable"
	default:
		return string(o)
	}
}

// DetailUnread is the Detail of an AttemptAbandoned whose request the server had not read by its deadline.
const DetailUnread = "unread"

// ProcessState is the state of a process, or the signal that was sent to it. It is stored in Event.Detail.
type ProcessState string

// States of processes, and signals.
const (
	ProcessStarted     ProcessState = "started"
	ProcessKilled      ProcessState = "killed"      // SIGKILL
	ProcessPaused      ProcessState = "stopped"     // SIGSTOP
	ProcessResumed     ProcessState = "continued"   // SIGCONT
	ProcessTerminating ProcessState = "told to end" // SIGTERM
	ProcessReloading   ProcessState = "reloads"     // SIGHUP
	ProcessEnded       ProcessState = "ended"
	ProcessFailed      ProcessState = "failed" // ended by itself, with a positive exit code
)

// Condition is the condition in which one member reports another. It is part of the reports of members and is stored in
// Event.Detail.
type Condition string

// Conditions of members.
const (
	ConditionStarting    Condition = "starting"
	ConditionWarming     Condition = "warming"
	ConditionServing     Condition = "serving"
	ConditionDraining    Condition = "draining"
	ConditionSuspect     Condition = "suspect" // it is reached, but its record is overdue
	ConditionStalled     Condition = "wedged"  // its process exists but does no work
	ConditionUnreachable Condition = "cut off" // partitioned from the observer
	ConditionFailed      Condition = "dead"    // its process is known to have ended
	ConditionLeft        Condition = "left"
)

// Event is one event of a history. Its kind determines which fields are set. Times are on the laboratory's clock. The JSON
// names are those of history files.
type Event struct {
	At             time.Duration `json:"at"`
	Kind           Kind          `json:"kind"`
	Server         string        `json:"server,omitempty"` // name of the server; zone of the store for CallStarted and CallEnded
	Member         string        `json:"member,omitempty"` // name of the member that Server reports on
	AttemptID      string        `json:"try,omitempty"`
	IdempotencyKey string        `json:"once,omitempty"` // equal for all attempts of a request; empty if it may run more than once
	Class          string        `json:"class,omitempty"`
	Client         int           `json:"caller,omitempty"` // number of the front end
	Detail         string        `json:"word,omitempty"`   // depends on the kind
	Count          int           `json:"n,omitempty"`      // depends on the kind
	Deadline       time.Duration `json:"due,omitempty"`    // of the attempt
	Latency        time.Duration `json:"took,omitempty"`   // from the arrival of the request at the front end to its completion
	Value          float64       `json:"worth,omitempty"`  // value of the request if it is served in full and in time
	ValueServed    float64       `json:"got,omitempty"`    // value that the client received
	Work           time.Duration `json:"work,omitempty"`   // processor time on a core of speed 1
}

// Outcome returns the outcome of an AttemptAnswered or RequestCompleted event.
func (e *Event) Outcome() Outcome { return Outcome(e.Detail) }

// ProcessState returns the state of a ProcessChanged event.
func (e *Event) ProcessState() ProcessState { return ProcessState(e.Detail) }

// Condition returns the condition of a ViewChanged event.
func (e *Event) Condition() Condition { return Condition(e.Detail) }
