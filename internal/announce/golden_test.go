package announce

import (
	"flag"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "record the golden files anew")

// goldenCase is one line of a golden file: the name of a form, and the form as text.
type goldenCase struct{ name, form string }

// requireGolden compares cases with a file in testdata, which must hold just these, in this order.
func requireGolden(t *testing.T, file string, cases []goldenCase) {
	t.Helper()
	var got strings.Builder
	for _, golden := range cases {
		got.WriteString(golden.name + ": " + golden.form + "\n")
	}
	path := filepath.Join("testdata", file)
	if *update {
		require.NoError(t, os.WriteFile(path, []byte(got.String()), 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), got.String())
}

// Each report, one datagram, which has no end of line.
func TestGoldenReports(t *testing.T) {
	var cases []goldenCase
	for _, test := range []struct {
		name      string
		server    string
		accepting bool
	}{
		{"server that accepts", "image-12.zone-a", true},
		{"server that does not", "image-12.zone-a", false},
	} {
		local, remote := net.Pipe()
		sent := make(chan error, 1)
		go func() { sent <- New("registry:1", test.server, nil).send(local, report{"registry:1", test.accepting}) }()
		text := make([]byte, 100)
		n, err := remote.Read(text)
		require.NoError(t, err)
		require.NoError(t, <-sent)
		cases = append(cases, goldenCase{test.name, string(text[:n])})
	}
	requireGolden(t, "reports.golden", cases)
}
