package overload

import "falldeal/admission"

// StoreState is the state of a store as one member observes it and publishes it to the others.
type StoreState uint8

// The states of a store. Their numbers are part of the wire format.
const (
	StoreHealthy      StoreState = iota // calls succeed, or too few in a row have failed (see ProbeCoordinator)
	StoreUnresponsive                   // calls fail, and it is not this member's turn to probe
	StoreProbing                        // calls fail, and it is this member's turn to probe
	StoreRecovering                     // a call has succeeded after failures, less than recoveringDuration ago
)

var storeStateNames = [...]string{"healthy", "unresponsive", "probing", "recovering"}

// String returns the name of the state; a number that is not defined reads as StoreRecovering.
func (s StoreState) String() string { return storeStateNames[min(int(s), len(storeStateNames)-1)] }

// unhealthy reports whether the member finds that calls to the store fail.
func (s StoreState) unhealthy() bool { return s == StoreUnresponsive || s == StoreProbing }

// CallAllowance limits the calls that a member may make to its store.
type CallAllowance uint8

// The allowances.
const (
	AllowUnlimited CallAllowance = iota // only the circuit breaker of the member limits its calls
	AllowCautious                       // while a quorum of others is unhealthy: the breaker may drop calls after one failure
	AllowSingle                         // the member probes the store with one call at a time
	AllowNone                           // the member makes no call: others probe the store
)

var callAllowanceNames = [...]string{"unlimited", "cautious", "single", "none"}

// String returns the name of the allowance; a number that is not defined reads as AllowNone.
func (a CallAllowance) String() string {
	return callAllowanceNames[min(int(a), len(callAllowanceNames)-1)]
}

// ProtectedCalls returns the number of protected calls to set in the circuit breaker while the allowance is in force.
// Package admission has the breaker's formula (breaker.go):
//
//   - With 5, 1 or 0, the breaker drops no call while its window holds at most that many calls.
//   - With -1, it drops calls with a probability that reaches 1 only once no accepted call is left in the window.
func (a CallAllowance) ProtectedCalls() float64 {
	switch a {
	case AllowUnlimited:
		return admission.BreakerProtectedCalls
	case AllowCautious:
		return 0
	case AllowSingle:
		return 1
	default: // AllowNone
		return -1
	}
}
