package main

import (
	"fmt"
	"strings"
	"testing"

	"falldeal/lab/commandtest"
	"falldeal/lab/golden"
)

func TestMain(m *testing.M) { commandtest.Main(m, main) }

// The golden file fixes the output, the exit code and the error messages for valid and invalid input.
func TestGoldenConversations(t *testing.T) {
	broken := strings.Replace(sampleSettings, `"Cpus": 2`, `"Cpus": 0`, 1)
	const request = "ORDER 3 9 0 5 0 1000 - 0 0 0 0 0 0 0\n"
	var got strings.Builder
	for _, test := range []struct{ name, input string }{
		{"nothing", ""},
		{"an empty batch", "SYNC 5\nOVER_TO_YOU\n"},
		{"a request, its run and a notice", "SYNC 10\n" + createLine("3", sampleSettings) + "OVER_TO_YOU\nSYNC 20\n" + request +
			"OVER_TO_YOU\nSYNC 30\nDONE 3 9 OK 5\nOVER_TO_YOU\nSYNC 40\nNOTICE 3 3000000\nOVER_TO_YOU\n"},
		{"settings without cores", "SYNC 1\n" + createLine("3", broken) + "OVER_TO_YOU\n"},
		{"settings that are no JSON", "SYNC 1\n" + createLine("3", "word") + "OVER_TO_YOU\n"},
		{"an event for a broken instance", "SYNC 1\n" + createLine("3", broken) + "OVER_TO_YOU\nSYNC 2\nDROPPED 3 1\nOVER_TO_YOU\n"},
		{"an unknown instance", "SYNC 1\nDROPPED 3 1\nOVER_TO_YOU\n"},
		{"an instance that was retired", "SYNC 1\n" + createLine("3", sampleSettings) + "RETIRE 3\nDROPPED 3 1\nOVER_TO_YOU\n"},
		{"an unknown event", "SYNC 1\n" + createLine("3", sampleSettings) + "LEAP 3\nOVER_TO_YOU\n"},
		{"a field that is no number", "SYNC 1\n" + createLine("3", sampleSettings) + "DROPPED 3 x\nOVER_TO_YOU\n"},
		{"too many fields", "SYNC 1\n" + createLine("3", sampleSettings) + "DROPPED 3 1 2\nOVER_TO_YOU\n"},
		{"too few fields", "SYNC 1\n" + createLine("3", sampleSettings) + "DROPPED 3\nOVER_TO_YOU\n"},
		{"no SYNC", "OVER_TO_YOU\n"},
		{"a time that is none", "SYNC soon\nOVER_TO_YOU\n"},
		{"an end within a batch", "SYNC 1\n"},
		{"an end within a line", "SYNC 1"},
	} {
		fmt.Fprintf(&got, "== %s\n%s\n", test.name, commandtest.Run(t, t.TempDir(), nil, test.input))
	}
	fmt.Fprintf(&got, "== flags are ignored\n%s\n", commandtest.Run(t, t.TempDir(), nil, "", "--help"))
	golden.RequireText(t, "conversations", got.String())
}
