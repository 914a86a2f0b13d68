package faults

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var testLocations = []Location{{"n0", "a", "r"}, {"n1", "b", "r"}, {"n2", "a", "r"}}

// An invalid script must be rejected. An error about a value must be a FieldError and name the fault and the key. An
// error about an unknown key must show the key and is not a FieldError.
func TestParseRejectsInvalidScripts(t *testing.T) {
	for want, text := range map[string]string{
		"fault[0].kind: \"flood\"":               `kind = "flood"`,
		"fault[0].who: no member matches \"n9\"": "kind = \"kill\"\nwho = \"n9\"",
		"fault[0].who: no member matches \"\"":   `kind = "cut"`,
		"fault[0].to: no member matches":         "kind = \"cut\"\nwho = \"n0\"\nto = \"zone:c\"",
		"fault[0].at: \"soon\"":                  "kind = \"kill\"\nwho = \"n0\"\nat = \"soon\"",
		"fault[0].share: 0":                      "kind = \"loss\"\nwho = \"*\"",
		"fault[0].for: a paused process needs":   "kind = \"stop\"\nwho = \"n0\"",
		"fault[0].to: a process fault":           "kind = \"kill\"\nwho = \"n0\"\nto = \"n1\"",
		"fault[0].delay: missing":                "kind = \"delay\"\nwho = \"n0\"",
		"fault[0].rate":                          "kind = \"slow\"\nwho = \"n0\"",
		"strength":                               "kind = \"cut\"\nwho = \"n0\"\nstrength = 1",
	} {
		_, err := Parse([]byte("[[fault]]\n"+text), testLocations)
		require.ErrorContains(t, err, want)
		var fieldErr *FieldError
		require.Equal(t, !strings.Contains(text, "strength"), errors.As(err, &fieldErr), want)
	}
}

// A partition of a zone must not affect the links within the zone, the effects of several faults must add up, and
// each fault must end after its duration.
func TestRulesAtCombinesActiveFaults(t *testing.T) {
	script, err := Parse([]byte(`
[[fault]]
kind = "cut"
who = "zone:a"
for = "5s"
[[fault]]
kind = "cut"
who = "n1"
to = "n0"
one_way = true
at = "6s"
for = "1s"
[[fault]]
kind = "loss"
who = "*"
share = 0.5
at = "6s"
[[fault]]
kind = "loss"
who = "n0"
to = "n2"
share = 0.5
at = "7s"
`), testLocations)
	require.NoError(t, err)
	at := func(now time.Duration, from, to string) Rule { return script.RulesAt(now)(from, to) }
	require.True(t, at(0, "n0", "n1").Partition)
	require.True(t, at(0, "n1", "n0").Partition)
	require.False(t, at(0, "n0", "n2").Partition)
	require.False(t, at(5*time.Second, "n0", "n1").Partition)
	require.True(t, at(6*time.Second, "n1", "n0").Partition)
	require.False(t, at(6*time.Second, "n0", "n1").Partition)
	require.Equal(t, Rule{LossRatio: 0.5}, at(8*time.Second, "n0", "n1"))
	require.Equal(t, Rule{LossRatio: 0.75}, at(8*time.Second, "n2", "n0"))
	require.Zero(t, at(0, "n0", "stranger"))
}
