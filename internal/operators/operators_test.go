package operators

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"falldeal/internal/configcheck"

	"github.com/stretchr/testify/require"
)

// minimalFile holds just the keys that have no default.
const minimalFile = "[fleet]\nlisten = \"10.0.0.1:7946\"\nregion = \"belgium\"\nzone = \"mechelen\"\n"

// Operators copy deploy/operators.toml. It must be valid and show the defaults as they are.
func TestShippedFileIsValidAndShowsDefaults(t *testing.T) {
	dir := t.TempDir()
	text, err := os.ReadFile("../../deploy/operators.toml")
	require.NoError(t, err)
	keyFile := "# newest first\n" + strings.Repeat("0a", 32) + "\n"
	require.NoError(t, os.WriteFile(filepath.Join(dir, "fleet.key"), []byte(keyFile), 0o600))
	shipped, err := Parse(text, dir)
	require.NoError(t, err)
	require.Len(t, shipped.Fleet.Keys, 1)
	plain, err := Parse([]byte(minimalFile), dir)
	require.NoError(t, err)
	require.Equal(t, plain.Fleet.Limits, shipped.Fleet.Limits)
	require.Equal(t, plain.Fleet.ProbeInterval, shipped.Fleet.ProbeInterval)
	require.Equal(t, 500*time.Millisecond, plain.Fleet.ProbeInterval)
	require.Equal(t, "10.0.0.1:7946", plain.Fleet.Advertise)
	none, err := Parse(nil, dir)
	require.NoError(t, err)
	require.Nil(t, none.Fleet)
}

// requireKey requires a *configcheck.KeyError and returns its key.
func requireKey(t *testing.T, err error) string {
	t.Helper()
	var keyError *configcheck.KeyError
	require.ErrorAs(t, err, &keyError)
	return keyError.Key
}

// An operator must learn from the message which key is invalid. An encryption key must never appear in it, as messages are
// logged.
func TestErrorsNameKeyButNoSecret(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{
		"bad":  "secret\n",
		"none": "# nothing\n",
		"many": strings.Repeat(strings.Repeat("0a", 16)+"\n", 9),
	} {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	for want, text := range map[string]string{
		"fleet.listen: missing":                "[fleet]\n",
		"fleet.listen: \"host\"":               strings.Replace(minimalFile, "10.0.0.1:7946", "host:7946", 1),
		"fleet.listen: \"0\"":                  strings.Replace(minimalFile, "7946", "0", 1),
		"fleet.advertise: 0.0.0.0":             strings.Replace(minimalFile, "10.0.0.1", "0.0.0.0", 1),
		"fleet.seeds[1]":                       minimalFile + "seeds = [\"10.0.0.2:7946\", \"10.0.0.3\"]",
		"fleet.seeds: 65":                      minimalFile + "seeds = [" + strings.Repeat("\"10.0.0.2:7946\",", 65) + "]",
		"fleet.zone: missing":                  strings.Replace(minimalFile, "mechelen", "", 1),
		"fleet.region: \"bel gium\"":           strings.Replace(minimalFile, "belgium", "bel gium", 1),
		"fleet.size: 0":                        minimalFile + "size = 0",
		"fleet.size: 500 exceeds members_max":  minimalFile + "size = 500\nmembers_max = 400",
		"fleet.forget_after: 1s":               minimalFile + "forget_after = \"1s\"",
		"fleet.probe_every":                    minimalFile + "probe_every = \"often\"",
		"fleet.speed: unknown key (line 5)":    minimalFile + "speed = 5",
		"fleet.size":                           minimalFile + "size = \"many\"",
		"line 1":                               "[fleet",
		"overload: requires table [fleet]":     "[overload]\nshares = true",
		"overload.lease: 1ms":                  minimalFile + "[overload]\nlease = \"1ms\"",
		"overload.keep: 2":                     minimalFile + "[overload]\nkeep = 2.0",
		"drill: requires table [fleet]":        "[drill]\nclock = \"1s\"",
		"drill.clock: -48h":                    minimalFile + "[drill]\nclock = \"-48h\"",
		"drill.wedge: 2m":                      minimalFile + "[drill]\nwedge = \"2m\"",
		"fleet.key_file: stat":                 minimalFile + "key_file = \"absent\"",
		"fleet.key_file: line 1: want":         minimalFile + "key_file = \"bad\"",
		"fleet.key_file: file contains no key": minimalFile + "key_file = \"none\"",
		"fleet.key_file: 9 keys":               minimalFile + "key_file = \"many\"",
	} {
		_, err := Parse([]byte(text), dir)
		require.ErrorContains(t, err, want)
		if !strings.HasPrefix(want, "line ") {
			key, _, _ := strings.Cut(want, ":")
			require.Equal(t, key, requireKey(t, err))
		}
		require.NotContains(t, err.Error(), "secret")
	}
}
