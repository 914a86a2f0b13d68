package announce

import (
	"net"
	"strings"
	"testing"

	"falldeal/internal/logging"
	"falldeal/lab/golden"

	"github.com/stretchr/testify/require"
)

// Each report is one datagram without a line end.
func TestGoldenReports(t *testing.T) {
	var cases []golden.Case
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
		cases = append(cases, golden.Case{Name: test.name, Text: string(text[:n])})
	}
	golden.Require(t, "reports.golden", cases)
}

// Each log line of an Announcer. The second case needs an Announcer of its own, because the limiter of the first would
// suppress a second line with the same topic.
func TestGoldenLog(t *testing.T) {
	var lines strings.Builder
	newAnnouncer := func() *Announcer {
		return New("", "image-12.zone-a", logging.NewLimiter(golden.NewLogger(&lines)))
	}
	const address = "registry"
	newAnnouncer().sendTo(t.Context(), &socket{address: address}, report{address, true})
	local, _ := net.Pipe()
	require.NoError(t, local.Close())
	newAnnouncer().sendTo(t.Context(), &socket{address: address, conn: local}, report{address, true})
	golden.RequireText(t, "log", lines.String())
}
