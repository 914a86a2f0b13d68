package admission

import "time"

// RequestID identifies one attempt of a request. A retry has another one.
type RequestID uint64

// FleetRank is what the other servers of a fleet make of a request, as far as the controller's owner knows.
type FleetRank uint8

// The kinds of FleetRank.
const (
	// RankUnknown: nothing is known of other servers. If the request is rejected for want of CPU, its client is asked not
	// to retry elsewhere only in a retry storm.
	RankUnknown FleetRank = iota
	// RankElsewhere: another server runs the request if it is rejected here for want of CPU; its client may retry there.
	RankElsewhere
	// RankFull: if the request is rejected for want of CPU, its client is asked not to retry elsewhere.
	RankFull
	// RankBelowThreshold: no server runs the request while its cores are all busy. It is rejected then with
	// ReasonBelowThreshold, and its client is asked not to retry elsewhere.
	RankBelowThreshold
)

func (r FleetRank) String() string {
	return [...]string{"unknown", "elsewhere", "full", "below threshold"}[r]
}

// EventKind distinguishes events.
type EventKind uint8

// The kinds of Event.
const (
	EventRequest    EventKind = iota // a request was read
	EventDone                        // a run, or the reuse of a result, has ended
	EventCancelled                   // nobody waits for this request any more
	EventCallNeeded                  // a running request waits for a call to the dependency
	EventCallDone                    // such a call has ended
	EventDrain                       // this process is to stop
	EventTimer                       // the time of an ActionWake has come; Gauges are set
	EventDeregister                  // operators want clients elsewhere; the process stays
	EventReregister                  // operators want clients back
)

func (k EventKind) String() string {
	return [...]string{"request", "done", "cancelled", "call needed", "call done", "drain", "timer", "deregister",
		"reregister"}[k]
}

// Outcome is how a run or a call ended.
type Outcome uint8

// The kinds of Outcome.
const (
	OutcomeOK          Outcome = iota
	OutcomeFailed              // it failed and may have had its effect
	OutcomeRejected            // a call was rejected: it never ran
	OutcomeTimedOut            // a call was abandoned and may have had its effect
	OutcomeUnreachable         // the dependency was not reached: the call never ran
	OutcomeAborted             // a call was interrupted and may have had its effect
	OutcomeCancelled           // a run was stopped, or ended since no answer was owed
	OutcomeNotStarted          // nothing was started: the request had ended before
)

func (o Outcome) String() string {
	return [...]string{"ok", "failed", "rejected", "timed out", "unreachable", "aborted", "cancelled", "not started"}[o]
}

// NeverRan reports whether the outcome proves that nothing was run.
func (o Outcome) NeverRan() bool {
	return o == OutcomeRejected || o == OutcomeUnreachable || o == OutcomeNotStarted
}

// Gauges are a server's own measurements. A negative value means unknown.
type Gauges struct {
	CPUUtilization    float64 // part of the cores in use over the last half second
	CPUDemand         float64 // cores asked for at present: by runs, reading, health checks, handshakes
	MemoryUtilization float64 // part of the memory in use
	Connections       float64 // open connections
}

// unknownGauges are the gauges before any was measured.
var unknownGauges = Gauges{CPUUtilization: -1, CPUDemand: -1, MemoryUtilization: -1, Connections: -1}

// Event is something that happened to a server. Beside Kind and ID only the part of its kind is set. The constructors,
// from RequestArrived on, set what belongs to a kind.
type Event struct {
	Kind       EventKind
	ID         RequestID   // of the request that it is about; 0 for those that are about the server
	Arrival    Arrival     // EventRequest
	Completion Completion  // EventDone, EventCallDone
	Drain      DrainSignal // EventDrain
	Gauges     Gauges      // EventTimer
}

// Arrival is what is known of a request that was read.
type Arrival struct {
	Class             int           // index into Settings.Classes
	Tenant            int           // index into Settings.Tenants
	MemoryKB          float64       // memory while queued
	CostHint          time.Duration // expected work on a standard core; 0: unknown
	Retry             bool          // it is marked as a retry
	RetryOf           RequestID     // the remembered request that it retries; 0: none
	FleetRank         FleetRank
	Deadline          time.Duration // when its client gives up; 0: not known
	Waited            time.Duration // since it reached the machine
	SinceFirstAttempt time.Duration // from the first attempt of its client to this one; 0: none, or not known
	RetryJitter       time.Duration // added to advice to stay away, so that clients don't return at one instant
}

// Completion is the end of a run, of the reuse of a result, or of a call.
type Completion struct {
	Outcome Outcome
	Took    time.Duration // since it was started
}

// DrainSignal is the request that a process stops.
type DrainSignal struct {
	Waited   time.Duration // since the signal
	StopAt   time.Duration // when the process ends
	Replaced bool          // another process of this server goes on: health stays
}

// RequestArrived is an EventRequest.
func RequestArrived(id RequestID, arrival Arrival) Event {
	return Event{Kind: EventRequest, ID: id, Arrival: arrival}
}

// RunCompleted is an EventDone.
func RunCompleted(id RequestID, completion Completion) Event {
	return Event{Kind: EventDone, ID: id, Completion: completion}
}

// RequestCancelled is an EventCancelled.
func RequestCancelled(id RequestID) Event { return Event{Kind: EventCancelled, ID: id} }

// CallNeeded is an EventCallNeeded.
func CallNeeded(id RequestID) Event { return Event{Kind: EventCallNeeded, ID: id} }

// CallCompleted is an EventCallDone.
func CallCompleted(id RequestID, completion Completion) Event {
	return Event{Kind: EventCallDone, ID: id, Completion: completion}
}

// DrainStarted is an EventDrain.
func DrainStarted(signal DrainSignal) Event { return Event{Kind: EventDrain, Drain: signal} }

// TimerFired is an EventTimer.
func TimerFired(gauges Gauges) Event { return Event{Kind: EventTimer, Gauges: gauges} }

// ServerDeregistered is an EventDeregister.
func ServerDeregistered() Event { return Event{Kind: EventDeregister} }

// ServerReregistered is an EventReregister.
func ServerReregistered() Event { return Event{Kind: EventReregister} }
