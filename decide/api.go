// Package decide is falldeal's overload controller: it decides, inside one server, what is run,
// turned away or failed, and which calls to the tier below are made. It does no I/O and has no clock,
// goroutine or global of its own: feed it events with Step and carry out the actions that it returns.
//
// All decisions are in decide.go. This file holds only the types that a server exchanges with it.
package decide

import "time"

// RequestID names one try of a request; a further try of the same request has another one.
type RequestID uint64

// Safety tells whether a request may be run again.
type Safety uint8

// The kinds of Safety.
const (
	Safe   Safety = iota // may be repeated freely
	Keyed                // may arrive again within its window and must run once
	Unsafe               // must never run twice
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

// Below tells what running requests may call.
type Below uint8

// The kinds of Below.
const (
	BelowOff    Below = iota // nothing
	BelowShared              // one dependency that all servers share
	BelowTier                // a further tier of servers
)

// Class describes one class of requests.
type Class struct {
	Aim       time.Duration // an answer this long after the first try's arrival has full worth
	Deadline  time.Duration // callers wait this long over all tries
	Safety    Safety
	KeyWindow time.Duration // Keyed: how long after an arrival it may come again
	Value     float64       // worth of one request, or of one unit of its work
	LateWorth float64       // share of the worth between Aim and Deadline
	Calls     bool          // its requests may call below
	SkipWorth float64       // share of the worth when a call was left out; 0 forbids Skip
	Gone      bool          // it is no longer asked for, but for what is under way
}

// Tenant is one party that shares the servers.
type Tenant struct {
	Portion   float64 // of the service
	QuotaPerS float64 // requests a second, over all servers, that count in full
}

// Weights are the weights of the service's parts in the operators' figure. The controller does not read them:
// which class is worst is noise in one server's few requests; they are here for what a server reports.
type Weights struct{ Whole, WorstWindow, WorstClass, WorstTenant float64 }

// Settings are what a controller knows when it starts.
type Settings struct {
	Cores     int
	FleetSize int // servers of this tier at this start
	Callers   int // callers of this tier at this start
	Classes   []Class
	Tenants   []Tenant // may be empty

	MemoryKB float64
	RunBlow  float64 // memory of a running request over that of a held one
	KeyKB    float64 // memory of one kept entry

	Halt          Halt
	Advert        Advert
	Below         Below
	CallsOut      float64       // BelowShared: mean calls in hand that this server may have; 0 = no bound
	CallsOver     time.Duration // the time over which that mean is taken
	CallLingers   time.Duration // an abandoned call stays in the dependency's hands this long at most
	Cold          bool          // this server has just been started
	ColdShare     float64       // a cold server has at least this share of its speed
	ColdFor       time.Duration // and is warm after this time at the latest
	CrowdPerCore  float64       // running requests on the cores, a core, that a warm server survives
	CrowdOver     time.Duration // the time over which that mean is taken
	AnswerGrace   time.Duration // an answer this long after the due time still counts
	DrainGrace    time.Duration // nothing that arrives this long after a notice is run
	FreshFor      time.Duration // a read's answer may serve others for this long; 0 = never
	IdleAfter     time.Duration // callers close idle connections after this time; 0 = not known
	MaxRetryAfter time.Duration // the longest advice to stay away that is heeded
	RetryAfter    bool          // such advice is passed on
	TellsGone     bool          // Gone events are sent
	TellsDeadline bool          // requests carry Due
	MarksRepeat   bool          // further tries are marked
	ListFollows   bool          // the list of servers follows health answers
	Tick          time.Duration // least time between two batches
	Weights       Weights
	ByWork        bool    // Value is for a unit of work, not for a request
	OverShare     float64 // worth of what is over a tenant's quota
}

// Standing is what the other servers of a fleet make of a request; whoever feeds the controller knows.
type Standing uint8

// The kinds of Standing.
const (
	Unranked  Standing = iota // nothing is known of others
	Elsewhere                 // if not here, another server runs it
	Full                      // if not here, it should not go round
	Outranked                 // nobody is to run it while cores are short
)

// EventKind tells events apart.
type EventKind uint8

// The kinds of Event.
const (
	Request    EventKind = iota // a request was read and is now held
	Done                        // a run, or a reuse of an answer, has ended
	Gone                        // nobody waits for this request any more
	WantsCall                   // a running request waits for a call below
	CallResult                  // a call below has ended
	Notice                      // this server is to leave at At
	Timer                       // a Wake has fallen due; Gauges are set
	Withdraw                    // operators want front ends to go elsewhere; the process stays
	Restore                     // and to come back
)

// Outcome is how a run or a call ended.
type Outcome uint8

// The kinds of Outcome.
const (
	OK          Outcome = iota
	Failed              // it failed, and may have had its effect
	Rejected            // a call was turned away: it never ran
	TimedOut            // a call was abandoned: it may have had its effect
	Unreachable         // what lies below was not reached: it never ran
	Aborted             // a call was interrupted: it may have had its effect
	Cancelled           // a run was stopped, or ended since no answer was owed
	Moot                // nothing was started: the request had ended before
)

// NeverRan reports whether the outcome proves that nothing was run.
func (o Outcome) NeverRan() bool { return o == Rejected || o == Unreachable || o == Moot }

// Gauges are a server's own measurements; a negative value means unknown.
type Gauges struct {
	CoreUse float64 // share of the cores in use over the last half second
	OnCores float64 // present demand for a core: runs, reading, checks, handshakes
	Heap    float64 // share of the memory in use
	Links   float64 // open connections
}

// Event is something that happened to this server. Only the fields of its kind are set.
type Event struct {
	Kind EventKind
	ID   RequestID

	Class    int           // Request
	Tenant   int           // Request
	Caller   int           // Request: the caller's number
	MemoryKB float64       // Request: memory while held
	Hint     time.Duration // Request: expected work on a standard core; 0 = unknown
	HasKey   bool          // Request: it names a subject
	Repeat   bool          // Request: marked as a further try
	Earlier  RequestID     // Request: the kept request that this one repeats; 0 = none
	Rank     float64       // Request: place among all requests by worth, 0 to 1
	Due      time.Duration // Request: when its caller gives up; 0 = not told
	Waited   time.Duration // Request: time since it reached the machine; Notice: since it came
	Standing Standing      // Request
	Age      time.Duration // Request: time from the first try of its caller to this one; 0 = none, or not known
	Spread   time.Duration // Request: by how much advice to stay away is longer, for callers not to come back at one instant

	Outcome Outcome       // Done, CallResult
	Took    time.Duration // Done, CallResult

	At       time.Duration // Notice: when the process ends
	Replaced bool          // Notice: another process of this server goes on; health stays
	Gauges   Gauges        // Timer
}

// ActionKind tells actions apart.
type ActionKind uint8

// The kinds of Action.
const (
	Run       ActionKind = iota // start this held request
	Stop                        // stop this running request
	Refuse                      // turn it away: it never ran
	Fail                        // answer it with an error
	Call                        // make the call that it waits for, for Cap at most
	Skip                        // go on without that call
	Keep                        // remember it for For, so that repeats are recognised
	Forget                      // drop that entry
	Reuse                       // answer it with the result of the request that it repeats
	Health                      // answer health checks with Good, from store if Stored
	Advertise                   // send Value along with answers from now on
	IdleLimit                   // close connections idle for For
	Wake                        // send a Timer event at At
	Log                         // Text for the operators
)

// Reason tells why a request was turned away.
type Reason uint8

// The kinds of Reason.
const (
	CoresBehind Reason = iota // this server's cores are behind
	CallsBehind               // what lies below is behind or failing
	TooLate                   // its aim has passed, or cannot be met any more
	MemoryFull                // no room
	Leaving                   // this server leaves
	BelowCut                  // the fleet is full of what is worth more
)

func (r Reason) String() string {
	return [...]string{"cores behind", "calls behind", "too late", "memory full", "leaving", "below the cutoff"}[r]
}

// Action is something that the server is to do, in the order given.
type Action struct {
	Kind      ActionKind
	ID        RequestID
	StayAway  time.Duration // Refuse: how long to avoid this server; 0 = no advice
	DontRetry bool          // Refuse: ask not to try elsewhere
	Why       Reason        // Refuse
	Cap       time.Duration // Call
	For       time.Duration // Keep, IdleLimit
	Good      bool          // Health
	Stored    bool          // Health
	Value     float64       // Advertise
	At        time.Duration // Wake
	Text      string        // Log
}
