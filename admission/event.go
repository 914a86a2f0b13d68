package admission

import "time"

// RequestID identifies one attempt of a request. A retry has its own ID.
type RequestID uint64

// FleetRank ranks a request among the requests offered to the whole fleet, as far as the owner of the
// controller knows.
type FleetRank uint8

// The kinds of FleetRank. All but RankBelowThreshold affect only the advice in a rejection for lack of CPU
// time (ReasonCPU).
const (
	// RankUnknown: nothing is known about other servers. A rejection allows a retry elsewhere, except in a
	// retry storm.
	RankUnknown FleetRank = iota
	// RankElsewhere: another server has capacity for the request. A rejection always allows a retry
	// elsewhere.
	RankElsewhere
	// RankFull: the fleet has no spare capacity. A rejection forbids a retry elsewhere.
	RankFull
	// RankBelowThreshold: the fleet sheds requests of this value. While all cores are busy the request is
	// rejected with ReasonBelowThreshold. Any rejection of it for lack of CPU time forbids a retry elsewhere.
	RankBelowThreshold
)

func (r FleetRank) String() string {
	return [...]string{"unknown", "elsewhere", "full", "below threshold"}[r]
}

// EventKind is the kind of an Event.
type EventKind uint8

// The kinds of Event.
const (
	EventRequestArrived   EventKind = iota // a request was read
	EventRunCompleted                      // a run, or the reuse of a result, has ended
	EventRequestCancelled                  // the client no longer waits for the request
	EventCallNeeded                        // a running request needs a call to the dependency
	EventCallCompleted                     // a call to the dependency has ended
	EventDrain                             // the process is asked to stop
	EventTimer                             // the time of an ActionWake has come; Gauges are set
	EventDeregister                        // an operator deregisters the server; the process continues
	EventReregister                        // an operator registers the server again
)

func (k EventKind) String() string {
	return [...]string{"request", "done", "cancelled", "call needed", "call done", "drain", "timer", "deregister",
		"reregister"}[k]
}

// Outcome is how a run or a call ended.
type Outcome uint8

// The kinds of Outcome.
const (
	OutcomeOK          Outcome = iota // it succeeded
	OutcomeFailed                     // it failed and may have had its effect
	OutcomeRejected                   // a call was rejected and never ran
	OutcomeTimedOut                   // a call exceeded its timeout and may have had its effect
	OutcomeUnreachable                // the dependency was not reached, so the call never ran
	OutcomeAborted                    // a call was interrupted and may have had its effect
	OutcomeCancelled                  // a run was stopped, or ended because no answer was needed
	OutcomeNotStarted                 // nothing was started, because the request had already ended
)

func (o Outcome) String() string {
	return [...]string{"ok", "failed", "rejected", "timed out", "unreachable", "aborted", "cancelled", "not started"}[o]
}

// NeverRan reports whether the outcome proves that nothing ran.
func (o Outcome) NeverRan() bool {
	return o == OutcomeRejected || o == OutcomeUnreachable || o == OutcomeNotStarted
}

// Gauges are a server's own measurements. A negative value means unknown.
type Gauges struct {
	CPUUtilization    float64 // fraction of the cores in use over the last 500 ms
	CPUDemand         float64 // cores requested at present by runs, reading, health checks and handshakes
	MemoryUtilization float64 // fraction of the memory in use
	Connections       float64 // open connections
}

// UnknownGauges returns Gauges whose values are all unknown.
func UnknownGauges() Gauges {
	return Gauges{CPUUtilization: -1, CPUDemand: -1, MemoryUtilization: -1, Connections: -1}
}

// Event is something that happened to a server. Apart from Kind and ID, only the field of its kind is set.
// The constructors below, from RequestArrived on, set the fields of each kind.
type Event struct {
	Kind       EventKind
	ID         RequestID   // request that the event is about; 0 for an event about the server
	Arrival    Arrival     // EventRequestArrived
	Completion Completion  // EventRunCompleted, EventCallCompleted
	Drain      DrainSignal // EventDrain
	Gauges     Gauges      // EventTimer
}

// Arrival describes a request that was read.
type Arrival struct {
	Class             int           // index into Settings.Classes
	Tenant            int           // index into Settings.Tenants
	MemoryKB          float64       // memory of the request while queued, in kB
	CostHint          time.Duration // expected work on a standard core; 0: unknown
	Retry             bool          // marked as a retry
	RetryOf           RequestID     // known request that this one retries; 0: none
	FleetRank         FleetRank     // rank among the requests offered to the fleet
	Deadline          time.Duration // when the client stops waiting, on the owner's clock; 0: unknown
	ReadDelay         time.Duration // time between reaching the machine and being read
	SinceFirstAttempt time.Duration // time since the client's first attempt; 0: this is the first, or unknown
	RetryJitter       time.Duration // added to RetryAfter, so that clients do not return simultaneously
}

// Completion describes the end of a run, of the reuse of a result, or of a call.
type Completion struct {
	Outcome  Outcome
	Duration time.Duration // how long it took; for a run, including its calls
}

// DrainSignal asks a process to stop.
type DrainSignal struct {
	Age      time.Duration // time since the signal was given
	StopAt   time.Duration // when the process ends, on the owner's clock
	Replaced bool          // a successor replaces this process, so the health state does not change
}

// RequestArrived returns an EventRequestArrived.
func RequestArrived(id RequestID, arrival Arrival) Event {
	return Event{Kind: EventRequestArrived, ID: id, Arrival: arrival}
}

// RunCompleted returns an EventRunCompleted.
func RunCompleted(id RequestID, completion Completion) Event {
	return Event{Kind: EventRunCompleted, ID: id, Completion: completion}
}

// RequestCancelled returns an EventRequestCancelled.
func RequestCancelled(id RequestID) Event { return Event{Kind: EventRequestCancelled, ID: id} }

// CallNeeded returns an EventCallNeeded.
func CallNeeded(id RequestID) Event { return Event{Kind: EventCallNeeded, ID: id} }

// CallCompleted returns an EventCallCompleted.
func CallCompleted(id RequestID, completion Completion) Event {
	return Event{Kind: EventCallCompleted, ID: id, Completion: completion}
}

// DrainStarted returns an EventDrain.
func DrainStarted(signal DrainSignal) Event { return Event{Kind: EventDrain, Drain: signal} }

// TimerFired returns an EventTimer.
func TimerFired(gauges Gauges) Event { return Event{Kind: EventTimer, Gauges: gauges} }

// ServerDeregistered returns an EventDeregister.
func ServerDeregistered() Event { return Event{Kind: EventDeregister} }

// ServerReregistered returns an EventReregister.
func ServerReregistered() Event { return Event{Kind: EventReregister} }
