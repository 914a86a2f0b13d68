package overload

import (
	"testing"

	"falldeal/admission"

	"github.com/stretchr/testify/require"
)

// Every allowance must have a name.
func TestCallAllowanceString(t *testing.T) {
	for allowance, want := range map[CallAllowance]string{
		AllowUnlimited: "unlimited",
		AllowCautious:  "cautious",
		AllowSingle:    "single",
		AllowNone:      "none",
	} {
		require.Equal(t, want, allowance.String())
	}
}

// The circuit breaker drops no call while its window holds at most the number of protected calls. If the number is too
// high, members that may not probe flood a store that is down; if it is too low, members that may probe cannot.
func TestProtectedCallsOfAllowances(t *testing.T) {
	require.InDelta(t, admission.BreakerProtectedCalls, AllowUnlimited.ProtectedCalls(), 0)
	require.InDelta(t, 0, AllowCautious.ProtectedCalls(), 0, "calls may be dropped from the first failure on")
	require.InDelta(t, 1, AllowSingle.ProtectedCalls(), 0)
	require.Negative(t, AllowNone.ProtectedCalls(), "the member may not probe")
}
