package gossip

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// memberlist reports suspicions, refutations and dropped packets in its log lines only. Each line must add to the right
// counter and to no other.
func TestLogLinesAreCounted(t *testing.T) {
	for line, want := range map[string]string{
		"[ERR] memberlist: Decrypt packet failed: No installed keys could decrypt": "strangers",
		"[WARN] memberlist: unexpected label \"x\"":                                "strangers",
		"[INFO] memberlist: Suspect n2 has failed, no acks received":               "suspicions",
		"[WARN] memberlist: Refuting a suspect message (from: n2)":                 "objections",
		"[ERR] memberlist: Failed to decode ping request":                          "spoilt",
		"[WARN] memberlist: Failed to decode ping request":                         "",
		"of another form": "",
	} {
		t.Run(line, func(t *testing.T) {
			membership := newGoldenFleet(t)
			n, err := logWriter{membership}.Write([]byte(line + "\n"))
			require.NoError(t, err)
			require.Equal(t, len(line)+1, n)
			for name, value := range membership.Counters.values() {
				require.Equal(t, name == want, value == 1, name)
			}
		})
	}
}

// A line whose level cannot be parsed must be logged as a warning and not get lost.
func TestParseLogLine(t *testing.T) {
	level, text := parseLogLine("[DEBUG] memberlist: Stream connection\n")
	require.Equal(t, "DEBUG", level)
	require.Equal(t, "Stream connection", text)
	level, text = parseLogLine("of another form")
	require.Equal(t, levelWarning, level)
	require.Equal(t, "of another form", text)
}
