package msgpackrpc

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "record the golden files anew")

// goldenCase is one line of a golden file: a name, and the text that is recorded under it.
type goldenCase struct{ name, text string }

// requireGolden compares cases with a file in testdata, which must hold just these, in this order.
func requireGolden(t *testing.T, file string, cases []goldenCase) {
	t.Helper()
	var got strings.Builder
	for _, c := range cases {
		got.WriteString(c.name + ": " + c.text + "\n")
	}
	path := filepath.Join("testdata", file)
	if *update {
		require.NoError(t, os.WriteFile(path, []byte(got.String()), 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), got.String())
}

// readGolden returns the texts of a file in testdata by name. It must have as many as the test has cases.
func readGolden(t *testing.T, file string, count int) map[string]string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", file))
	require.NoError(t, err)
	forms := map[string]string{}
	for line := range strings.Lines(string(text)) {
		name, form, found := strings.Cut(strings.TrimSuffix(line, "\n"), ": ")
		require.True(t, found, line)
		require.NotContains(t, forms, name)
		forms[name] = form
	}
	require.Len(t, forms, count)
	return forms
}
