// Package history records what happens in a laboratory, on one clock: requests and answers as clients saw them, runs and
// calls as the fakes saw them, processes and faults as the laboratory made them, and what members reported of one another.
// It checks a history against rules and sums it up. It shares no code with the programs that it judges.
package history

import "time"

// Kinds of events, with the fields that they have beside At.
const (
	AttemptSent      = "ask"      // AttemptID, IdempotencyKey, Class, Server, Client, Deadline
	AttemptAnswered  = "answer"   // AttemptID, Server; Detail is the Outcome
	AttemptAbandoned = "gave up"  // AttemptID, Server; the client waits no longer
	RunStarted       = "run"      // AttemptID, Class, Server; at an agent
	RunEnded         = "run end"  // AttemptID, Class, Server; Detail is how it ended
	CallStarted      = "call"     // AttemptID, Server; Count is the number in flight at the store
	CallEnded        = "call end" // the same
	ProcessChanged   = "process"  // Server; Detail is the ProcessState
	FaultChanged     = "fault"    // Detail names the fault; Count is 1 at its start and 0 at its end
	ViewChanged      = "view"     // Server reports the condition Detail of Member
	RequestCompleted = "request"  // Class, Client, Latency, Value, ValueServed, Work; Detail is the Outcome, Count the attempts
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

// DetailUnread is the Detail of an AttemptAbandoned whose request was not read by its deadline.
const DetailUnread = "unread"

// ProcessState is what has become of a process, or what signal it was sent. It stands in Event.Detail.
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

// Event is one thing that happened. Which fields it has depends on its kind. All times are on the laboratory's clock.
type Event struct {
	At             time.Duration `json:"at"`
	Kind           string        `json:"kind"`
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
