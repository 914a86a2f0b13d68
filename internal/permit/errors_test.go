package permit

import (
	"testing"

	"falldeal/internal/configcheck"

	"github.com/stretchr/testify/require"
)

// Callers decide by the type of a denial what to tell the operator. Each denial must have its type, with the figures that
// led to it.
func TestDenialTypes(t *testing.T) {
	view := newFleetView(4)
	state := newStateWithLimits(Limit{MaxUnavailable: 1})
	granted := state.Apply(acquireCommand(view, "n0"))
	require.NoError(t, granted.Denial)

	require.ErrorIs(t, state.Apply(acquireCommand(view, "n0")).Denial, ErrAlreadyPermitted)
	var instance *InstanceError
	require.ErrorAs(t, state.Apply(acquireCommand(view, "n9")).Denial, &instance)
	require.Equal(t, &InstanceError{Name: "n9", Err: ErrUnknownInstance}, instance)
	var limit *LimitError
	require.ErrorAs(t, state.Apply(acquireCommand(view, "n1")).Denial, &limit)
	require.Equal(t, &LimitError{Domain: "all", Instances: 4, Unavailable: 2, Allowed: 1}, limit)

	view.Load = 100
	view.Lost = []string{"n0"}
	state = newStateWithLimits(Limit{MaxUnavailable: 2})
	var load *LoadError
	require.ErrorAs(t, state.Apply(acquireCommand(view, "n1")).Denial, &load)
	require.Equal(t, &LoadError{Load: 100, Remaining: 2, Margin: 0.1}, load)
	var stale *StaleRulesError
	require.ErrorAs(t, state.Apply(Command{Kind: SetRules, Rules: Rules{Version: 1}}).Denial, &stale)
	var key *configcheck.KeyError
	require.ErrorAs(t, state.Apply(Command{Kind: SetRules, Rules: Rules{Version: 2}}).Denial, &key)
	require.Equal(t, "limits", key.Key)
	state.Apply(Command{Kind: Halt})
	require.ErrorIs(t, state.Apply(acquireCommand(view, "n1")).Denial, ErrHalted)
}
