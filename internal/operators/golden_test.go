package operators

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "write the golden files anew")

// requireGolden compares got, all cases of a table, byte for byte with the golden file of that name.
func requireGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name+".golden")
	if *update {
		require.NoError(t, os.WriteFile(path, []byte(got), 0o600))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), got)
}

// Addresses and names that a table fleet must have; a case adds lines, or replaces one of these.
const (
	listenLine = "listen = \"10.0.0.1:7946\"\n"
	regionLine = "region = \"belgium\"\n"
	zoneLine   = "zone = \"mechelen\"\n"
)

// instead returns the least file with other lines in place of one.
func instead(line, other string) string { return strings.Replace(least, line, other, 1) }

// The full message for every key that can be at fault.
func TestGoldenErrors(t *testing.T) {
	dir := t.TempDir()
	key := strings.Repeat("0a", 16) + "\n"
	for name, text := range map[string]string{"bad.key": "# newest first\n\n0a0b\n", "none.key": "# nothing\n", "many.key": strings.Repeat(key, 9),
		"long.key": strings.Repeat("0a", 1<<16), "good.key": key, "huge.key": strings.Repeat("#", mostFile+1)} {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	var got strings.Builder
	for _, c := range []string{
		"",
		least,
		"[fleet",
		"word",
		"[fleet]\n",
		"[table]\n",
		"speed = 5\n",
		least + "speed = 5\n",
		least + "[overload]\nspeed = 5\n",
		least + "[trace]\nspeed = 5\n",
		least + "[drill]\nspeed = 5\n",
		least + "zone = \"twice\"\n",
		"fleet = 5\n",
		"overload = 5\n",
		"trace = 5\n",
		"drill = 5\n",

		instead(listenLine, ""),
		instead(listenLine, "listen = 5\n"),
		instead(listenLine, "listen = \"host:7946\"\n"),
		instead(listenLine, "listen = \"10.0.0.1\"\n"),
		instead(listenLine, "listen = \"10.0.0.1:0\"\n"),
		instead(listenLine, "listen = \"0.0.0.0:7946\"\n"),
		least + "advertise = 5\n",
		least + "advertise = \"host:7946\"\n",
		least + "advertise = \"[::]:7946\"\n",
		least + "seeds = 5\n",
		least + "seeds = [5]\n",
		least + "seeds = [\"10.0.0.2:7946\", \"10.0.0.3\"]\n",
		least + "seeds = [\"\"]\n",
		least + "seeds = [" + strings.Repeat("\"10.0.0.2:7946\",", mostSeeds+1) + "]\n",
		instead(regionLine, ""),
		instead(regionLine, "region = 5\n"),
		instead(regionLine, "region = \"bel gium\"\n"),
		instead(regionLine, "region = \""+strings.Repeat("b", 300)+"\"\n"),
		instead(zoneLine, ""),
		instead(zoneLine, "zone = 5\n"),
		instead(zoneLine, "zone = \"m\u00e9chelen\"\n"),
		instead(zoneLine, "zone = \""+strings.Repeat("m", 300)+"\"\n"),
		least + "size = \"many\"\n",
		least + "size = 0\n",
		least + "size = 16385\n",
		least + "size = 500\nmembers_max = 400\n",
		least + "members_max = \"many\"\n",
		least + "members_max = 1\n",
		least + "members_max = 16385\n",
		least + "forget_after = 5\n",
		least + "forget_after = \"late\"\n",
		least + "forget_after = \"59s\"\n",
		least + "forget_after = \"721h\"\n",
		least + "probe_every = 5\n",
		least + "probe_every = \"often\"\n",
		least + "probe_every = \"99ms\"\n",
		least + "probe_every = \"11s\"\n",
		least + "key_file = 5\n",
		least + "key_file = \"absent.key\"\n",
		least + "key_file = \"bad.key\"\n",
		least + "key_file = \"none.key\"\n",
		least + "key_file = \"many.key\"\n",
		least + "key_file = \"long.key\"\n",
		least + "key_file = \"huge.key\"\n",
		least + "key_file = \"good.key\"\n",

		"[overload]\nshares = true\n",
		least + "[overload]\nshares = 5\n",
		least + "[overload]\ncutoff = 5\n",
		least + "[overload]\nprobes = 5\n",
		least + "[overload]\nlease = 5\n",
		least + "[overload]\nlease = \"long\"\n",
		least + "[overload]\nlease = \"499ms\"\n",
		least + "[overload]\nlease = \"61s\"\n",
		least + "[overload]\nkeep = \"half\"\n",
		least + "[overload]\nkeep = -0.1\n",
		least + "[overload]\nkeep = 1.1\n",
		least + "[overload]\nkeep = nan\n",
		least + "[overload]\nshares = true\nlease = \"1s\"\nkeep = 0.5\ncutoff = true\nprobes = true\n",

		"[trace]\nfile = \"spans\"\n",
		least + "[trace]\n",
		least + "[trace]\nfile = 5\n",
		least + "[trace]\nfile = \"spans\"\nsample = \"all\"\n",
		least + "[trace]\nfile = \"spans\"\nsample = 1.1\n",
		least + "[trace]\nfile = \"spans\"\nsample = nan\n",
		least + "[trace]\nfile = \"spans\"\nmax_mb = \"much\"\n",
		least + "[trace]\nfile = \"spans\"\nmax_mb = 0\n",
		least + "[trace]\nfile = \"spans\"\nmax_mb = 1025\n",
		least + "[trace]\nfile = \"spans\"\nsample = 0.5\nmax_mb = 1\n",

		"[drill]\nclock = \"1s\"\n",
		least + "[drill]\nclock = 5\n",
		least + "[drill]\nclock = \"late\"\n",
		least + "[drill]\nclock = \"-25h\"\n",
		least + "[drill]\nclock = \"25h\"\n",
		least + "[drill]\nwedge = 5\n",
		least + "[drill]\nwedge = \"late\"\n",
		least + "[drill]\nwedge = \"-1s\"\n",
		least + "[drill]\nwedge = \"61s\"\n",
		least + "[drill]\nclock = \"-1s\"\nwedge = \"1s\"\n",
	} {
		_, err := Parse([]byte(c), dir)
		fmt.Fprintf(&got, "%s\n\t%s\n", shown(c), outcome(err))
	}
	requireGolden(t, "errors", strings.ReplaceAll(got.String(), dir, "(folder)"))
}

// shown is a file on one line, without what all of them have.
func shown(text string) string {
	const widest = 100
	line := strings.ReplaceAll(strings.Replace(text, least, "(least) ", 1), "\n", "; ")
	if len(line) > widest {
		line = fmt.Sprintf("%s... (%d bytes)", line[:widest], len(line))
	}
	return line
}

// outcome is the message of an error, or what stands for none.
func outcome(err error) string {
	if err == nil {
		return "accepted"
	}
	return err.Error()
}

// The messages of a file that can't be read name the file.
func TestGoldenLoad(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{"bad.toml": "[fleet]\n", "huge.toml": strings.Repeat("#", mostFile+1), "good.toml": least} {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	var got strings.Builder
	for _, path := range []string{"absent.toml", "bad.toml", "huge.toml", "good.toml"} {
		_, err := Load(filepath.Join(dir, path))
		fmt.Fprintf(&got, "Load %q\n\t%s\n", path, outcome(err))
	}
	requireGolden(t, "load", strings.ReplaceAll(got.String(), dir, "(folder)"))
}
