package admission

import "time"

// ActionKind distinguishes actions.
type ActionKind uint8

// The kinds of Action.
const (
	ActionRun         ActionKind = iota // start this queued request
	ActionStop                          // stop this running request
	ActionReject                        // reject it: it never ran
	ActionFail                          // answer it with an error
	ActionCall                          // make the call that it waits for, for Timeout at most
	ActionSkipCall                      // let it go on without that call
	ActionRemember                      // remember it for Duration, so that retries are recognised
	ActionForget                        // forget it
	ActionReuse                         // answer it with the result of the request that it retries
	ActionHealth                        // answer health checks in this way
	ActionAdvertise                     // send Value along with answers from now on
	ActionIdleTimeout                   // close connections that are idle for Duration
	ActionWake                          // send an EventTimer at At
	ActionLog                           // log a change of a condition for the operators
)

func (k ActionKind) String() string {
	return [...]string{"run", "stop", "reject", "fail", "call", "skip call", "remember", "forget", "reuse", "health",
		"advertise", "idle timeout", "wake", "log"}[k]
}

// Reason tells why a request was rejected.
type Reason uint8

// The kinds of Reason.
const (
	// ReasonCPU: too much work for this server's cores. All cores were busy and the draw by the admit probability was
	// against the request; or it would have missed its objective for lack of CPU time; or it was displaced from the
	// queue by a request of more value that needed its CPU time. It is also the reason for an unknown class.
	ReasonCPU Reason = iota
	// ReasonDependency: the dependency is overloaded or failing.
	ReasonDependency
	// ReasonTooLate: the latency objective has passed or can't be met any more, or too little time is left for an attempt
	// elsewhere.
	ReasonTooLate
	// ReasonMemory: no memory. The memory limit was exceeded when the request was read; or its idempotency key would have
	// exceeded it; or the limit was exceeded when it was to wait for the queued attempt that it retries; or its run would
	// have exceeded the limit though nothing else ran.
	ReasonMemory
	// ReasonDraining: this server stops.
	ReasonDraining
	// ReasonBelowThreshold: the fleet is full of requests of more value.
	ReasonBelowThreshold
)

// String returns the value of the field "reason" in logs.
func (r Reason) String() string {
	return [...]string{"cpu_overloaded", "dependency_overloaded", "deadline_unreachable", "memory_exhausted", "draining",
		"below_shedding_threshold"}[r]
}

// Action is something that the server is to do, in the order given. Beside Kind and ID only the part of its kind is
// set.
type Action struct {
	Kind      ActionKind
	ID        RequestID       // of the request that it is about; 0 for those that are about the server
	Rejection Rejection       // ActionReject
	Timeout   time.Duration   // ActionCall: the longest that the call may take
	Duration  time.Duration   // ActionRemember: for how long; ActionIdleTimeout: the timeout
	Health    HealthAnswer    // ActionHealth
	Value     float64         // ActionAdvertise: in the unit that Settings.Advert tells
	At        time.Duration   // ActionWake: on the owner's clock
	Condition ConditionChange // ActionLog
}

// Rejection is the answer to a request that did not run.
type Rejection struct {
	Reason           Reason        // Cause, or ReasonTooLate once half of the objective has passed
	Cause            Reason        // the rule that decided, whatever time was left
	RetryAfter       time.Duration // how long the client is to avoid this server; 0: no advice
	NoRetryElsewhere bool          // the client is asked not to try other servers
}

// HealthAnswer is how health checks are answered.
type HealthAnswer struct {
	Healthy bool
	Cached  bool // without a check of the agent
}
