// Package golden compares what a test produces with files in its testdata folder: whole texts, or one named form a line.
package golden

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "record the golden files anew")

const (
	folder    = "testdata"
	separator = ": "
)

// RequireText compares got with testdata/NAME.golden byte for byte.
func RequireText(t *testing.T, name, got string) {
	t.Helper()
	requireFile(t, name+".golden", got)
}

// requireFile compares got with a file in testdata, which it writes first where -update was given.
func requireFile(t *testing.T, file, got string) {
	t.Helper()
	path := filepath.Join(folder, file)
	if *update {
		require.NoError(t, os.WriteFile(path, []byte(got), 0o600))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), got)
}

// Case is one line of a golden file: the name of a form, and the form as text without a line break.
type Case struct{ Name, Form string }

// Require compares cases with a file in testdata, which must hold just these, in this order.
func Require(t *testing.T, file string, cases []Case) {
	t.Helper()
	var got strings.Builder
	for _, golden := range cases {
		got.WriteString(golden.Name + separator + golden.Form + "\n")
	}
	requireFile(t, file, got.String())
}

// Read returns the forms of a file in testdata by name. It must have as many as the test has cases.
func Read(t *testing.T, file string, count int) map[string]string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(folder, file))
	require.NoError(t, err)
	forms := map[string]string{}
	for line := range strings.Lines(string(text)) {
		name, form, found := strings.Cut(strings.TrimSuffix(line, "\n"), separator)
		require.True(t, found, line)
		require.NotContains(t, forms, name)
		forms[name] = form
	}
	require.Len(t, forms, count)
	return forms
}
