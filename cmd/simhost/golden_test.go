package main

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"os/exec"
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

// asProgram has this program be the command instead of its tests.
const asProgram = "FALLDEAL_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// invoke runs this program in the folder dir, with the variables of env set and no others of its own, and returns what it
// wrote and its exit code.
func invoke(t *testing.T, dir string, env []string, input string, args ...string) string {
	t.Helper()
	self, err := os.Executable()
	require.NoError(t, err)
	cmd := exec.Command(self, args...)
	cmd.Dir = dir
	cmd.Env = append(os.Environ(), asProgram+"=1", "GW_CONFIG=", "GW_NAME=", "GW_LISTEN=", "GW_CONSOLE=", "GW_INHERITED_FD=", "TMPDIR="+dir)
	cmd.Env = append(cmd.Env, env...)
	cmd.Stdin = strings.NewReader(input)
	var out, errOut bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errOut
	if err := cmd.Run(); err != nil {
		require.IsType(t, &exec.ExitError{}, err)
	}
	return fmt.Sprintf("exit code %d\n-- standard output\n%s-- standard error\n%s", cmd.ProcessState.ExitCode(), &out, &errOut)
}

// What the simulator reads, the exit code and the messages, by what it has written.
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
		fmt.Fprintf(&got, "== %s\n%s\n", test.name, invoke(t, t.TempDir(), nil, test.input))
	}
	fmt.Fprintf(&got, "== flags are ignored\n%s\n", invoke(t, t.TempDir(), nil, "", "--help"))
	requireGolden(t, "conversations", got.String())
}
