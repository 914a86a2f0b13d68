package overload

import (
	"testing"

	"falldeal/admission"

	"github.com/stretchr/testify/require"
)

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

// While an allowance is in force the breaker protects just the calls that it stands for.
func TestProtectedCallsOfAllowances(t *testing.T) {
	require.InDelta(t, admission.BreakerProtectedCalls, AllowUnlimited.ProtectedCalls(), 0)
	require.InDelta(t, 0, AllowCautious.ProtectedCalls(), 0, "the first failure counts")
	require.InDelta(t, 1, AllowSingle.ProtectedCalls(), 0)
	require.Negative(t, AllowNone.ProtectedCalls(), "no call is made")
}
