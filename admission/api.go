// Package admission is falldeal's overload controller: it decides, inside one server, what is run,
// turned away or failed, and which calls to the tier below are made. It does no I/O and has no clock,
// goroutine or global of its own: feed it events with Step and carry out the actions that it returns.
//
// All decisions are in decide.go. This file holds only the types that a server exchanges with it.
package admission

import "time"

// RequestID names one try of a request; a further try of the same request has another one.
type RequestID uint64

// Idempotency tells whether a request may be run again.
type Idempotency uint8

// The kinds of Safety.
const (
	Safe            Idempotency = iota // may be repeated freely
	IdempotentByKey                    // may arrive again within its window and must run once
	Unsafe                             // must never run twice
)

// Halt tells what a server can do to running work.
type Halt uint8

// The kinds of Halt.
const (
	HaltOff   Halt = iota // running work cannot be stopped
	HaltDrop              // a stop loses what was done
	HaltPause             // a stop keeps what was done
)

// Advert tells how callers read the free value that a server sends along.
type Advert uint8

// The kinds of Advert.
const (
	AdvertOff    Advert = iota // there is no such value
	AdvertLevel                // requests ranked below it are not sent
	AdvertCredit               // requests that each caller may have outstanding here
	AdvertWeight               // probability that a caller does not pass this server by
)

// Dependency tells what running requests may call.
type Dependency uint8

// The kinds of Below.
const (
	DependencyNone   Dependency = iota // nothing
	DependencyShared                   // one dependency that all servers share
	DependencyTier                     // a further tier of servers
)

// Class describes one class of requests.
type Class struct {
	LatencyObjective   time.Duration // an answer this long after the first try's arrival has full worth
	Deadline           time.Duration // callers wait this long over all tries
	Idempotency        Idempotency
	IdempotencyWindow  time.Duration // Keyed: how long after an arrival it may come again
	PriorityWeight     float64       // worth of one request, or of one unit of its work
	LateValueRatio     float64       // share of the worth between Aim and Deadline
	CallsDependency    bool          // its requests may call below
	DegradedValueRatio float64       // share of the worth when a call was left out; 0 forbids Skip
	Removed            bool          // it is no longer asked for, but for what is under way
}

// Tenant is one party that shares the servers.
type Tenant struct {
	ServiceRatio   float64 // of the service
	QuotaPerSecond float64 // requests a second, over all servers, that count in full
}

// Weights are the weights of the service's parts in the operators' figure. The controller does not read them:
// which class is worst is noise in one server's few requests; they are here for what a server reports.
type Weights struct{ WholeRun, WorstWindow, WorstClass, WorstTenant float64 }

// Settings are what a controller knows when it starts.
type Settings struct {
	Cores     int
	FleetSize int // servers of this tier at this start
	Clients   int // callers of this tier at this start
	Classes   []Class
	Tenants   []Tenant // may be empty

	MemoryKB            float64
	RunningMemoryFactor float64 // memory of a running request over that of a held one
	KeyMemoryKB         float64 // memory of one kept entry

	Halt                  Halt
	Advert                Advert
	Dependency            Dependency
	MaxCallsInFlight      float64       // DependencyShared: mean calls in hand that this server may have; 0 = no bound
	CallsWindow           time.Duration // the time over which that mean is taken
	AbandonedCallTime     time.Duration // an abandoned call stays in the dependency's hands this long at most
	WarmingUp             bool          // this server has just been started
	SlowStartSpeedRatio   float64       // a cold server has at least this share of its speed
	SlowStartTime         time.Duration // and is warm after this time at the latest
	MaxConcurrencyPerCore float64       // running requests on the cores, a core, that a warm server survives
	ConcurrencyWindow     time.Duration // the time over which that mean is taken
	AnswerGrace           time.Duration // an answer this long after the due time still counts
	DrainGrace            time.Duration // nothing that arrives this long after a notice is run
	CacheTTL              time.Duration // a read's answer may serve others for this long; 0 = never
	IdleTimeout           time.Duration // callers close idle connections after this time; 0 = not known
	MaxRetryAfter         time.Duration // the longest advice to stay away that is heeded
	SendsRetryAfter       bool          // such advice is passed on
	SendsCancellations    bool          // Gone events are sent
	SendsDeadlines        bool          // requests carry Due
	MarksRetries          bool          // further tries are marked
	RegistryFollowsHealth bool          // the list of servers follows health answers
	Tick                  time.Duration // least time between two batches
	Weights               Weights
	WeightPerWork         bool    // Value is for a unit of work, not for a request
	OverQuotaValueRatio   float64 // worth of what is over a tenant's quota
}

// FleetRank is what the other servers of a fleet make of a request; whoever feeds the controller knows.
type FleetRank uint8

// The kinds of Standing.
const (
	RankUnknown        FleetRank = iota // nothing is known of others
	RankElsewhere                       // if not here, another server runs it
	RankFull                            // if not here, it should not go round
	RankBelowThreshold                  // nobody is to run it while cores are short
)

// EventKind tells events apart.
type EventKind uint8

// The kinds of Event.
const (
	EventRequest    EventKind = iota // a request was read and is now held
	EventDone                        // a run, or a reuse of an answer, has ended
	EventCancelled                   // nobody waits for this request any more
	EventCallNeeded                  // a running request waits for a call below
	EventCallDone                    // a call below has ended
	EventDrain                       // this server is to leave at At
	EventTimer                       // a Wake has fallen due; Gauges are set
	EventDeregister                  // operators want front ends to go elsewhere; the process stays
	EventReregister                  // and to come back
)

// Outcome is how a run or a call ended.
type Outcome uint8

// The kinds of Outcome.
const (
	OutcomeOK          Outcome = iota
	OutcomeFailed              // it failed, and may have had its effect
	OutcomeRejected            // a call was turned away: it never ran
	OutcomeTimedOut            // a call was abandoned: it may have had its effect
	OutcomeUnreachable         // what lies below was not reached: it never ran
	OutcomeAborted             // a call was interrupted: it may have had its effect
	OutcomeCancelled           // a run was stopped, or ended since no answer was owed
	OutcomeNotStarted          // nothing was started: the request had ended before
)

// NeverRan reports whether the outcome proves that nothing was run.
func (o Outcome) NeverRan() bool {
	return o == OutcomeRejected || o == OutcomeUnreachable || o == OutcomeNotStarted
}

// Gauges are a server's own measurements; a negative value means unknown.
type Gauges struct {
	CPUUtilization    float64 // share of the cores in use over the last half second
	CPUDemand         float64 // present demand for a core: runs, reading, checks, handshakes
	MemoryUtilization float64 // share of the memory in use
	Connections       float64 // open connections
}

// Event is something that happened to this server. Only the fields of its kind are set.
type Event struct {
	Kind EventKind
	ID   RequestID

	Class             int           // Request
	Tenant            int           // Request
	Client            int           // Request: the caller's number
	MemoryKB          float64       // Request: memory while held
	CostHint          time.Duration // Request: expected work on a standard core; 0 = unknown
	HasSubject        bool          // Request: it names a subject
	Retry             bool          // Request: marked as a further try
	RetryOf           RequestID     // Request: the kept request that this one repeats; 0 = none
	Rank              float64       // Request: place among all requests by worth, 0 to 1
	Deadline          time.Duration // Request: when its caller gives up; 0 = not told
	Waited            time.Duration // Request: time since it reached the machine; Notice: since it came
	FleetRank         FleetRank     // Request
	SinceFirstAttempt time.Duration // Request: time from the first try of its caller to this one; 0 = none, or not known
	RetryJitter       time.Duration // Request: by how much advice to stay away is longer, for callers not to come back at one instant

	Outcome Outcome       // Done, EventCallDone
	Took    time.Duration // Done, EventCallDone

	StopAt   time.Duration // Notice: when the process ends
	Replaced bool          // Notice: another process of this server goes on; health stays
	Gauges   Gauges        // Timer
}

// ActionKind tells actions apart.
type ActionKind uint8

// The kinds of Action.
const (
	ActionRun         ActionKind = iota // start this held request
	ActionStop                          // stop this running request
	ActionReject                        // turn it away: it never ran
	ActionFail                          // answer it with an error
	ActionCall                          // make the call that it waits for, for Cap at most
	ActionSkipCall                      // go on without that call
	ActionRemember                      // remember it for For, so that repeats are recognised
	ActionForget                        // drop that entry
	ActionReuse                         // answer it with the result of the request that it repeats
	ActionHealth                        // answer health checks with Good, from store if Stored
	ActionAdvertise                     // send Value along with answers from now on
	ActionIdleTimeout                   // close connections idle for For
	ActionWake                          // send a Timer event at At
	ActionLog                           // Text for the operators
)

// Reason tells why a request was turned away.
type Reason uint8

// The kinds of Reason.
const (
	ReasonCPU            Reason = iota // this server's cores are behind
	ReasonDependency                   // what lies below is behind or failing
	ReasonTooLate                      // its aim has passed, or cannot be met any more
	ReasonMemory                       // no room
	ReasonDraining                     // this server leaves
	ReasonBelowThreshold               // the fleet is full of what is worth more
)

func (r Reason) String() string {
	return [...]string{"cores behind", "calls behind", "too late", "memory full", "leaving", "below the cutoff"}[r]
}

// Action is something that the server is to do, in the order given.
type Action struct {
	Kind             ActionKind
	ID               RequestID
	RetryAfter       time.Duration // Refuse: how long to avoid this server; 0 = no advice
	NoRetryElsewhere bool          // Refuse: ask not to try elsewhere
	Reason           Reason        // Refuse
	Timeout          time.Duration // Call
	Duration         time.Duration // Keep, ActionIdleTimeout
	Healthy          bool          // Health
	Cached           bool          // Health
	Value            float64       // Advertise
	At               time.Duration // Wake
	Text             string        // Log
}
