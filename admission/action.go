package admission

import "time"

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of Action.
const (
	ActionRun         ActionKind = iota // start the queued request
	ActionStop                          // stop the run of the request
	ActionReject                        // reject the request, which never ran
	ActionFail                          // answer the request with an error
	ActionCall                          // make the call that the request waits for, with Timeout
	ActionSkipCall                      // continue the run without the call that it waits for
	ActionRemember                      // remember the request for Duration, so that retries are recognised
	ActionForget                        // forget the request
	ActionReuse                         // answer the request with the result of the request that it retries
	ActionHealth                        // answer health checks with Health from now on
	ActionAdvertise                     // send Value along with answers from now on
	ActionIdleTimeout                   // close connections that are idle for Duration
	ActionWake                          // send an EventTimer at At
	ActionLog                           // log Condition for operators
)

func (k ActionKind) String() string {
	return [...]string{"run", "stop", "reject", "fail", "call", "skip call", "remember", "forget", "reuse", "health",
		"advertise", "idle timeout", "wake", "log"}[k]
}

// Reason is why a request was rejected.
type Reason uint8

// The kinds of Reason.
const (
	// ReasonCPU: too much work for the cores of this server. All cores were busy and the random draw with the
	// admit probability failed; or the request would have missed its objective for lack of CPU time; or it
	// was displaced from the queue by a request of more value that needed its CPU time. It is also the reason
	// for an unknown class.
	ReasonCPU Reason = iota
	// ReasonDependency: the dependency is overloaded or failing.
	ReasonDependency
	// ReasonTooLate: the latency objective has passed or cannot be met any more; or too little time is left
	// for an attempt elsewhere; or the request has not started by the time at which it must be answered,
	// because its client stops waiting or the process ends.
	ReasonTooLate
	// ReasonMemory: no memory. The memory limit was exceeded when the request was read; or its idempotency
	// key would have exceeded the limit; or the limit was exceeded when the request was to wait for the
	// queued attempt that it retries; or its run would have exceeded the limit although nothing else ran.
	ReasonMemory
	// ReasonDraining: this server drains.
	ReasonDraining
	// ReasonBelowThreshold: the fleet is full of requests of more value.
	ReasonBelowThreshold
)

// String returns the value of the log field "reason".
func (r Reason) String() string {
	return [...]string{"cpu_overloaded", "dependency_overloaded", "deadline_unreachable", "memory_exhausted", "draining",
		"below_shedding_threshold"}[r]
}

// Action is an instruction to the owner, to be carried out in the order given. Apart from Kind and ID, only
// the field of its kind is set.
type Action struct {
	Kind      ActionKind
	ID        RequestID       // request that the action is about; 0 for an action about the server
	Rejection Rejection       // ActionReject
	Timeout   time.Duration   // ActionCall: longest time that the call may take
	Duration  time.Duration   // ActionRemember: how long to remember; ActionIdleTimeout: the timeout
	Health    HealthAnswer    // ActionHealth
	Value     float64         // ActionAdvertise: its meaning depends on Settings.Advert
	At        time.Duration   // ActionWake: on the owner's clock
	Condition ConditionChange // ActionLog
}

// Rejection is the answer to a request that did not run.
type Rejection struct {
	Reason           Reason        // Cause, or ReasonTooLate if too little time is left to try elsewhere
	Cause            Reason        // the rule that decided, whatever time was left
	RetryAfter       time.Duration // how long the client should avoid this server; 0: no advice
	NoRetryElsewhere bool          // the client is asked not to try another server
}

// HealthAnswer is how health checks are answered.
type HealthAnswer struct {
	Healthy bool
	Cached  bool // answered without a check of the agent
}
