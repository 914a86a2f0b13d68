// Package history records what happens in a laboratory, on one clock: requests and answers as clients saw them, runs
// and calls as the fakes saw them, processes and faults as the laboratory made them, and what members reported of one
// another. It checks a history against rules and sums it up. It shares no code with the programs that it judges.
package history

import "time"

// Kind says what an event is, as it stands in history files.
type Kind string

// Kinds of events, with the fields that they have beside At.
const (
	AttemptSent      Kind = "ask"      // AttemptID, IdempotencyKey, Class, Server, Client, Deadline
	AttemptAnswered  Kind = "answer"   // AttemptID, Server; Detail is the Outcome
	AttemptAbandoned Kind = "gave up"  // AttemptID, Server; the client waits no longer
	RunStarted       Kind = "run"      // AttemptID, Class, Server; at an agent
	RunEnded         Kind = "run end"  // AttemptID, Class, Server; Detail is how it ended
	CallStarted      Kind = "call"     // AttemptID, Server; Count is the number in flight at the store
	CallEnded        Kind = "call end" // the same
	ProcessChanged   Kind = "process"  // Server; Detail is the ProcessState
	FaultChanged     Kind = "fault"    // Detail names the fault; Count is 1 at its start and 0 at its end
	ViewChanged      Kind = "view"     // Server reports the Condition in Detail of Member
	// RequestCompleted has Class, Client, Latency, Value, ValueServed and Work. Detail is the Outcome, Count the
	// number of attempts.
	RequestCompleted Kind = "request"
)

// Outcome is how an attempt or a request ended. It stands in Event.Detail.
type Outcome string

// Outcomes of attempts and requests.
const (
	OutcomeServed      Outcome = "served"
	OutcomeLate        Outcome = "late"      // served after its latency objective; of requests only
	OutcomeRejected    Outcome = "refused"   // by admission control
	OutcomeFailed      Outcome = "failed"    // with another error
	OutcomeLost        Outcome = "lost"      // with its connection
	OutcomeAbandoned   Outcome = "gave up"   // without an answer in time
	OutcomeUnreachable Outcome = "unreached" // no connection to the server
)

// Description returns the outcome in the terms of printed reports.
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

// DetailUnread is the Detail of an AttemptAbandoned whose request was not read by its deadline.
const DetailUnread = "unread"

// ProcessState is the state of a process, or the signal that it was sent. It stands in Event.Detail.
type ProcessState string

// States of processes.
const (
	ProcessStarted     ProcessState = "started"
	ProcessKilled      ProcessState = "killed"      // SIGKILL
	ProcessPaused      ProcessState = "stopped"     // SIGSTOP
	ProcessResumed     ProcessState = "continued"   // SIGCONT
	ProcessTerminating ProcessState = "told to end" // SIGTERM
	ProcessReloading   ProcessState = "reloads"     // SIGHUP
	ProcessEnded       ProcessState = "ended"
	ProcessFailed      ProcessState = "failed" // ended by itself, with an exit code
)

// Condition is what one member reports of another, as it stands in the reports of members and in Event.Detail.
type Condition string

// Conditions of members.
const (
	ConditionStarting    Condition = "starting"
	ConditionWarming     Condition = "warming"
	ConditionServing     Condition = "serving"
	ConditionDraining    Condition = "draining"
	ConditionSuspect     Condition = "suspect" // reached, but its record is overdue
	ConditionStalled     Condition = "wedged"  // its process is there and does no work
	ConditionUnreachable Condition = "cut off" // partitioned from the observer
	ConditionFailed      Condition = "dead"    // its process is known to be gone
	ConditionLeft        Condition = "left"
)

// Event is one thing that happened. Which fields it has depends on its kind. All times are on the laboratory's clock.
type Event struct {
	At             time.Duration `json:"at"`
	Kind           Kind          `json:"kind"`
	Server         string        `json:"server,omitempty"`
	Member         string        `json:"member,omitempty"`
	AttemptID      string        `json:"try,omitempty"`
	IdempotencyKey string        `json:"once,omitempty"`
	Class          string        `json:"class,omitempty"`
	Client         int           `json:"caller,omitempty"`
	Detail         string        `json:"word,omitempty"`
	Count          int           `json:"n,omitempty"`
	Deadline       time.Duration `json:"due,omitempty"`
	Latency        time.Duration `json:"took,omitempty"`
	Value          float64       `json:"worth,omitempty"` // of the request, if it is served in full and in time
	ValueServed    float64       `json:"got,omitempty"`
	Work           time.Duration `json:"work,omitempty"` // processor time on one core
}

// Outcome returns the outcome of an AttemptAnswered or a RequestCompleted.
func (e *Event) Outcome() Outcome { return Outcome(e.Detail) }

// ProcessState returns the state of a ProcessChanged.
func (e *Event) ProcessState() ProcessState { return ProcessState(e.Detail) }

// Condition returns the condition of a ViewChanged.
func (e *Event) Condition() Condition { return Condition(e.Detail) }
