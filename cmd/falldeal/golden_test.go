package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"

	"falldeal/lab/commandtest"
	"falldeal/lab/golden"

	"github.com/stretchr/testify/require"
)

// Compares help, flags, exit codes and messages of every command with a golden file, so that none changes unnoticed.
func TestGoldenCommands(t *testing.T) {
	dir := t.TempDir()
	text, err := os.ReadFile(sampleConfig)
	require.NoError(t, err)
	for name, content := range map[string]string{
		"good.json":      string(text),
		"cut.json":       string(text[:len(text)/2]),
		"bad.json":       strings.Replace(string(text), `"Cpus": 6`, `"Cpus": -6`, 1),
		"operators.toml": "",
	} {
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
		{"serve --config good.json --operators operators.toml", ""}, // falldeal-fleet does not exist
		{"check --config good.json --operators operators.toml", ""},
		{"version --operators operators.toml", ""},
		{"fleet members", ""},
		{"lab check", ""},
	} {
		output := commandtest.Run(t, dir, strings.Fields(test.env), "", strings.Fields(test.args)...)
		fmt.Fprintf(&got, "== %s falldeal %s\n%s\n", test.env, test.args, output)
	}
	golden.RequireText(t, "commands", varying.Replace(got.String()))
}
