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

// ProbeAllowance limits the calls that a member may make to probe its store.
type ProbeAllowance uint8

// The allowances.
const (
	ProbeUnlimited ProbeAllowance = iota // as the member's own breaker allows
	ProbeCautious                        // the same, but the first failure counts: other members have warned
	ProbeSingle                          // one call at a time
	ProbeNone
)

var probeAllowanceNames = [...]string{"unlimited", "cautious", "single", "none"}

func (a ProbeAllowance) String() string {
	return probeAllowanceNames[min(int(a), len(probeAllowanceNames)-1)]
}

// ProtectedCalls returns the number of calls in each window of the circuit breaker that it never drops: what the
// breaker is set to while the allowance is in force. A negative number has the breaker drop every call.
func (a ProbeAllowance) ProtectedCalls() float64 {
	switch a {
	case ProbeUnlimited:
		return admission.BreakerProtectedCalls
	case ProbeCautious:
		return 0
	case ProbeSingle:
		return 1
	default: // ProbeNone
		return -1
	}
}
