package operators

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"falldeal/lab/golden"

	"github.com/stretchr/testify/require"
)

// The lines of minimalFile that table [fleet] must have. A case adds lines to minimalFile or replaces one of these.
const (
	listenLine = "listen = \"10.0.0.1:7946\"\n"
	regionLine = "region = \"belgium\"\n"
	zoneLine   = "zone = \"mechelen\"\n"
)

// replaceLine returns minimalFile with other in place of line.
func replaceLine(line, other string) string { return strings.Replace(minimalFile, line, other, 1) }

// Files with at most one invalid value, grouped by the table that contains it.
var (
	syntaxCases = []string{
		"",
		minimalFile,
		"[fleet",
		"word",
		"[fleet]\n",
		"[table]\n",
		"speed = 5\n",
		minimalFile + "speed = 5\n",
		minimalFile + "[overload]\nspeed = 5\n",
		minimalFile + "[trace]\nspeed = 5\n",
		minimalFile + "[drill]\nspeed = 5\n",
		minimalFile + "zone = \"twice\"\n",
		"fleet = 5\n",
		"overload = 5\n",
		"trace = 5\n",
		"drill = 5\n",
	}
	fleetCases = []string{
		replaceLine(listenLine, ""),
		replaceLine(listenLine, "listen = 5\n"),
		replaceLine(listenLine, "listen = \"host:7946\"\n"),
		replaceLine(listenLine, "listen = \"10.0.0.1\"\n"),
		replaceLine(listenLine, "listen = \"10.0.0.1:0\"\n"),
		replaceLine(listenLine, "listen = \"0.0.0.0:7946\"\n"),
		minimalFile + "advertise = 5\n",
		minimalFile + "advertise = \"host:7946\"\n",
		minimalFile + "advertise = \"[::]:7946\"\n",
		minimalFile + "seeds = 5\n",
		minimalFile + "seeds = [5]\n",
		minimalFile + "seeds = [\"10.0.0.2:7946\", \"10.0.0.3\"]\n",
		minimalFile + "seeds = [\"\"]\n",
		minimalFile + "seeds = [" + strings.Repeat("\"10.0.0.2:7946\",", maxSeeds+1) + "]\n",
		replaceLine(regionLine, ""),
		replaceLine(regionLine, "region = 5\n"),
		replaceLine(regionLine, "region = \"bel gium\"\n"),
		replaceLine(regionLine, "region = \""+strings.Repeat("b", 300)+"\"\n"),
		replaceLine(zoneLine, ""),
		replaceLine(zoneLine, "zone = 5\n"),
		replaceLine(zoneLine, "zone = \"m\u00e9chelen\"\n"),
		replaceLine(zoneLine, "zone = \""+strings.Repeat("m", 300)+"\"\n"),
		minimalFile + "size = \"many\"\n",
		minimalFile + "size = 0\n",
		minimalFile + "size = 16385\n",
		minimalFile + "size = 500\nmembers_max = 400\n",
		minimalFile + "members_max = \"many\"\n",
		minimalFile + "members_max = 1\n",
		minimalFile + "members_max = 16385\n",
		minimalFile + "forget_after = 5\n",
		minimalFile + "forget_after = \"late\"\n",
		minimalFile + "forget_after = \"59s\"\n",
		minimalFile + "forget_after = \"721h\"\n",
		minimalFile + "probe_every = 5\n",
		minimalFile + "probe_every = \"often\"\n",
		minimalFile + "probe_every = \"99ms\"\n",
		minimalFile + "probe_every = \"11s\"\n",
		minimalFile + "key_file = 5\n",
		minimalFile + "key_file = \"absent.key\"\n",
		minimalFile + "key_file = \"bad.key\"\n",
		minimalFile + "key_file = \"none.key\"\n",
		minimalFile + "key_file = \"many.key\"\n",
		minimalFile + "key_file = \"long.key\"\n",
		minimalFile + "key_file = \"huge.key\"\n",
		minimalFile + "key_file = \"good.key\"\n",
	}
	overloadCases = []string{
		"[overload]\nshares = true\n",
		minimalFile + "[overload]\nshares = 5\n",
		minimalFile + "[overload]\ncutoff = 5\n",
		minimalFile + "[overload]\nprobes = 5\n",
		minimalFile + "[overload]\nlease = 5\n",
		minimalFile + "[overload]\nlease = \"long\"\n",
		minimalFile + "[overload]\nlease = \"499ms\"\n",
		minimalFile + "[overload]\nlease = \"61s\"\n",
		minimalFile + "[overload]\nkeep = \"half\"\n",
		minimalFile + "[overload]\nkeep = -0.1\n",
		minimalFile + "[overload]\nkeep = 1.1\n",
		minimalFile + "[overload]\nkeep = nan\n",
		minimalFile + "[overload]\nshares = true\nlease = \"1s\"\nkeep = 0.5\ncutoff = true\nprobes = true\n",
	}
	traceCases = []string{
		"[trace]\nfile = \"spans\"\n",
		minimalFile + "[trace]\n",
		minimalFile + "[trace]\nfile = 5\n",
		minimalFile + "[trace]\nfile = \"spans\"\nsample = \"all\"\n",
		minimalFile + "[trace]\nfile = \"spans\"\nsample = 1.1\n",
		minimalFile + "[trace]\nfile = \"spans\"\nsample = nan\n",
		minimalFile + "[trace]\nfile = \"spans\"\nmax_mb = \"much\"\n",
		minimalFile + "[trace]\nfile = \"spans\"\nmax_mb = 0\n",
		minimalFile + "[trace]\nfile = \"spans\"\nmax_mb = 1025\n",
		minimalFile + "[trace]\nfile = \"spans\"\nsample = 0.5\nmax_mb = 1\n",
	}
	faultInjectionCases = []string{
		"[drill]\nclock = \"1s\"\n",
		minimalFile + "[drill]\nclock = 5\n",
		minimalFile + "[drill]\nclock = \"late\"\n",
		minimalFile + "[drill]\nclock = \"-25h\"\n",
		minimalFile + "[drill]\nclock = \"25h\"\n",
		minimalFile + "[drill]\nwedge = 5\n",
		minimalFile + "[drill]\nwedge = \"late\"\n",
		minimalFile + "[drill]\nwedge = \"-1s\"\n",
		minimalFile + "[drill]\nwedge = \"61s\"\n",
		minimalFile + "[drill]\nclock = \"-1s\"\nwedge = \"1s\"\n",
	}
)

// Operators find an invalid value by the message alone. Each message must name the key, and must not change by accident.
func TestGoldenErrors(t *testing.T) {
	dir := t.TempDir()
	key := strings.Repeat("0a", 16) + "\n"
	for name, text := range map[string]string{
		"bad.key":  "# newest first\n\n0a0b\n",
		"none.key": "# nothing\n",
		"many.key": strings.Repeat(key, 9),
		"long.key": strings.Repeat("0a", 1<<16),
		"good.key": key,
		"huge.key": strings.Repeat("#", maxFileBytes+1),
	} {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	var got strings.Builder
	for _, text := range slices.Concat(syntaxCases, fleetCases, overloadCases, traceCases, faultInjectionCases) {
		_, err := Parse([]byte(text), dir)
		fmt.Fprintf(&got, "%s\n\t%s\n", abbreviate(text), outcome(err))
		if err != nil && !strings.HasPrefix(err.Error(), "line ") { // not a syntax error
			requireKey(t, err)
		}
	}
	golden.RequireText(t, "errors", strings.ReplaceAll(got.String(), dir, "(folder)"))
}

// abbreviate returns a file on one line of limited length, with "(least) " for minimalFile.
func abbreviate(text string) string {
	const maxWidth = 100
	line := strings.ReplaceAll(strings.Replace(text, minimalFile, "(least) ", 1), "\n", "; ")
	if len(line) > maxWidth {
		line = fmt.Sprintf("%s... (%d bytes)", line[:maxWidth], len(line))
	}
	return line
}

// outcome returns the message of err, or "accepted" if it is nil.
func outcome(err error) string {
	if err == nil {
		return "accepted"
	}
	return err.Error()
}

// A file that cannot be loaded must be named in the message.
func TestGoldenLoad(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{
		"bad.toml":  "[fleet]\n",
		"huge.toml": strings.Repeat("#", maxFileBytes+1),
		"good.toml": minimalFile,
	} {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	var got strings.Builder
	for _, path := range []string{"absent.toml", "bad.toml", "huge.toml", "good.toml"} {
		_, err := Load(filepath.Join(dir, path))
		fmt.Fprintf(&got, "Load %q\n\t%s\n", path, outcome(err))
	}
	golden.RequireText(t, "load", strings.ReplaceAll(got.String(), dir, "(folder)"))
}
