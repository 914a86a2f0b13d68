package overload

import "falldeal/admission"

// StoreState is the state of a store as one member finds it, and publishes it.
type StoreState uint8

// The states of a store, as they are encoded.
const (
	StoreHealthy      StoreState = iota // as far as the member knows
	StoreUnresponsive                   // calls fail
	StoreProbing                        // calls fail, and it is this member's turn to probe
	StoreRecovering                     // calls succeed again
)

var storeStateNames = [...]string{"healthy", "unresponsive", "probing", "recovering"}

func (s StoreState) String() string { return storeStateNames[min(int(s), len(storeStateNames)-1)] }

// unhealthy reports whether calls to the store fail.
func (s StoreState) unhealthy() bool { return s == StoreUnresponsive || s == StoreProbing }

// CallAllowance limits the calls that a member may make to probe its store.
type CallAllowance uint8

// The allowances.
const (
	AllowUnlimited CallAllowance = iota // as the member's own breaker allows
	AllowCautious                       // the same, but the first failure counts: other members have warned
	AllowSingle                         // one call at a time
	AllowNone
)

var callAllowanceNames = [...]string{"unlimited", "cautious", "single", "none"}

func (a CallAllowance) String() string {
	return callAllowanceNames[min(int(a), len(callAllowanceNames)-1)]
}

// ProtectedCalls returns the number of protected calls that the circuit breaker is set to while the allowance is in
// force; package admission has the formula (breaker.go). With 5, 1 or 0, no call is dropped while at most so many calls
// are in the window. With -1, calls are dropped with a probability that reaches 1 only once no accepted call is left in
// the window.
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
