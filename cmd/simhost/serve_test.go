package main

import (
	"bytes"
	"strings"
	"testing"

	"falldeal/wire"

	"github.com/stretchr/testify/require"
)

const sampleSettings = `{"FleetSize": 3, "TickUs": 1000, "FamilyInfo": {"Cpus": 2, "MemoryKb": 1000, "Blowup": 4},
 "Invariants": {"FallMultiple": 4}, "Lanes": [{"AimUs": 900000, "DeadlineUs": 2000000}]}`

// converse returns the replies to input.
func converse(input string) (string, error) {
	var out bytes.Buffer
	err := serve(strings.NewReader(input), &out)
	return out.String(), err
}

func createLine(node, settings string) string {
	return "CREATE " + node + " 7 " + strings.ReplaceAll(settings, "\n", "") + "\n"
}

// A node that is retired and created again in one batch keeps no state: a late event for the retired node must not affect
// the new one.
func TestRecreatedNodeIgnoresEventsOfPredecessor(t *testing.T) {
	out, err := converse("SYNC 5\nOVER_TO_YOU\n" +
		"SYNC 10\n" + createLine("3", sampleSettings) + "OVER_TO_YOU\n" +
		"SYNC 20\nORDER 3 9 0 5 0 1000 - 0 0 0 0 0 0 0\nOVER_TO_YOU\n" +
		"SYNC 30\nRETIRE 3\n" + createLine("3", sampleSettings) + "OVER_TO_YOU\n" +
		"SYNC 40\nDONE 3 9 OK 5\nOVER_TO_YOU\n")
	require.NoError(t, err)
	require.Equal(t, 5, strings.Count(out, "FINISHED\n"), out)
	require.Contains(t, out, "SERVE 3 9\n")
	require.Equal(t, 2, strings.Count(out, "HEALTH 3 1 1"), out)
}

// A node with invalid settings is reported as broken. Other nodes, and later events for the broken one, must not
// fail.
func TestInvalidSettingsBreakOnlyThatNode(t *testing.T) {
	bad := strings.Replace(sampleSettings, `"Cpus": 2`, `"Cpus": 0`, 1)
	out, err := converse("SYNC 1\n" + createLine("3", bad) + createLine("4", sampleSettings) +
		"OVER_TO_YOU\nSYNC 2\nDROPPED 3 1\nOVER_TO_YOU\n")
	require.NoError(t, err)
	require.Contains(t, out, "BROKEN 3 settings: Cores")
	require.Contains(t, out, "HEALTH 4")
}

// An event for a node that was never created is an error of the input, reported with its line.
func TestEventForUnknownNode(t *testing.T) {
	_, err := converse("SYNC 1\nDROPPED 3 1\nOVER_TO_YOU\n")
	require.ErrorContains(t, err, "line 2: field NodeId")
	var lineErr *wire.LineError
	require.ErrorAs(t, err, &lineErr)
	require.Equal(t, 2, lineErr.Line)
}
