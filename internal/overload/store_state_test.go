package overload

import (
	"testing"

	"falldeal/admission"

	"github.com/stretchr/testify/require"
)

func TestProbeAllowanceString(t *testing.T) {
	for allowance, want := range map[ProbeAllowance]string{
		ProbeUnlimited: "unlimited",
		ProbeCautious:  "cautious",
		ProbeSingle:    "single",
		ProbeNone:      "none",
	} {
		require.Equal(t, want, allowance.String())
	}
}

// While an allowance is in force the breaker protects just the calls that it stands for.
func TestProtectedCallsOfAllowances(t *testing.T) {
	require.InDelta(t, admission.BreakerProtectedCalls, ProbeUnlimited.ProtectedCalls(), 0)
	require.InDelta(t, 0, ProbeCautious.ProtectedCalls(), 0, "the first failure counts")
	require.InDelta(t, 1, ProbeSingle.ProtectedCalls(), 0)
	require.Negative(t, ProbeNone.ProtectedCalls(), "no call is made")
}
