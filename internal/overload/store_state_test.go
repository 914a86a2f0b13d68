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

// A wrong number of protected calls would make members that may not probe flood a dead store, or stop those that may.
func TestProtectedCallsOfAllowances(t *testing.T) {
	require.InDelta(t, admission.BreakerProtectedCalls, AllowUnlimited.ProtectedCalls(), 0)
	require.InDelta(t, 0, AllowCautious.ProtectedCalls(), 0, "the first failure counts")
	require.InDelta(t, 1, AllowSingle.ProtectedCalls(), 0)
	require.Negative(t, AllowNone.ProtectedCalls(), "no call is made")
}
