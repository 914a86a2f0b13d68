package main

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
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

// Help, flags, exit codes and messages of every command.
func TestGoldenCommands(t *testing.T) {
	dir := t.TempDir()
	text, err := os.ReadFile(sampleConfig)
	require.NoError(t, err)
	for name, content := range map[string]string{"good.json": string(text), "cut.json": string(text[:len(text)/2]),
		"bad.json": strings.Replace(string(text), `"Cpus": 6`, `"Cpus": -6`, 1), "operators.toml": ""} {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(content), 0o600))
	}
	self, err := os.Executable()
	require.NoError(t, err)
	varying := strings.NewReplacer(filepath.Dir(self), "(folder of the program)", runtime.Version(), "(version of Go)")
	var got strings.Builder
	for _, test := range []struct{ args, env string }{
		{"", ""},
		{"--help", ""},
		{"-h", ""},
		{"serve --help", ""},
		{"check --help", ""},
		{"version --help", ""},
		{"version", ""},
		{"version now", ""},
		{"fetch", ""},
		{"--port 5", ""},
		{"serve --port 5", ""},
		{"check -c good.json", ""},
		{"serve now", ""},
		{"serve --config", ""},
		{"check --config", ""},
		{"serve --log-level loud", ""},
		{"serve", ""},
		{"check", ""},
		{"serve --config absent.json", ""},
		{"check --config absent.json", ""},
		{"serve --config bad.json", ""},
		{"check --config bad.json", ""},
		{"check --config cut.json", ""},
		{"check --config good.json", ""},
		{"check --config good.json --log-level loud", ""},
		{"check", "GW_CONFIG=good.json"},
		{"check", "GW_CONFIG=absent.json"},
		{"check --config good.json", "GW_NAME=n9"},
		{"check --config good.json", "GW_LISTEN=127.0.0.1:6060"},
		{"check --config good.json", "GW_LISTEN=here"},
		{"check --config good.json", "GW_CONSOLE=here"},
		{"check --config good.json", "GW_INHERITED_FD=stdin"},
		{"serve --config good.json --operators operators.toml", ""}, // the program that it becomes is not there
		{"check --config good.json --operators operators.toml", ""},
		{"version --operators operators.toml", ""},
		{"fleet members", ""},
		{"lab check", ""},
	} {
		fmt.Fprintf(&got, "== %s falldeal %s\n%s\n", test.env, test.args, invoke(t, dir, strings.Fields(test.env), "", strings.Fields(test.args)...))
	}
	requireGolden(t, "commands", varying.Replace(got.String()))
}
