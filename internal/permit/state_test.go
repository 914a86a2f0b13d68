package permit

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A permit released while its instance is still out would let another instance depart as well. Only a report that shows
// that the instance is back, a return before departure or a write-off with a reason may release it.
func TestPermitReleasedOnlyWhenInstanceIsBack(t *testing.T) {
	view := newFleetView(4)
	names := []string{"n0"}
	report := func(kind CommandKind, incarnation, seq uint64) Command {
		return Command{Kind: kind, Names: names, Incarnations: map[string]uint64{"n0": incarnation}, Seq: seq}
	}
	release := func(owner string, epoch uint64) Command {
		return Command{Kind: Release, Owner: owner, Names: names, Epoch: epoch}
	}
	writeOff := func(reason string) Command {
		return Command{Kind: WriteOff, Owner: "op", Names: names, Reason: reason}
	}
	for name, test := range map[string]struct {
		commands []Command
		released bool
	}{
		"nothing":                                {nil, false},
		"recovered report without departure":     {[]Command{report(Recovered, 1, 9)}, false},
		"earlier process recovered":              {[]Command{report(Recovered, 0, 9)}, false},
		"departed":                               {[]Command{report(Departed, 1, 5)}, false},
		"recovered report from before departure": {[]Command{report(Departed, 1, 5), report(Recovered, 1, 5)}, false},
		"departed and recovered (undrain)":       {[]Command{report(Departed, 1, 5), report(Recovered, 1, 6)}, true},
		"next process recovered":                 {[]Command{report(Recovered, 2, 1)}, true},
		"returned":                               {[]Command{release("n0", 2)}, true},
		"returned by another instance":           {[]Command{release("n1", 2)}, false},
		"returned with another epoch":            {[]Command{release("n0", 1)}, false},
		"returned after departure":               {[]Command{report(Departed, 1, 5), release("n0", 2)}, false},
		"written off without a reason":           {[]Command{writeOff("")}, false},
		"written off":                            {[]Command{writeOff("scrapped")}, true},
		"halted and resumed":                     {[]Command{{Kind: Halt}, {Kind: Resume}}, false},
		"unknown command":                        {[]Command{{Kind: 99, Names: names}}, false},
	} {
		state := newStateWithLimits(Limit{MaxUnavailable: 1})
		decision := state.Apply(acquireCommand(view, "n0"))
		require.True(t, decision.Granted())
		for _, command := range test.commands {
			state.Apply(command)
		}
		require.Equal(t, test.released, len(state.Permits()) == 0, name)
	}
}
