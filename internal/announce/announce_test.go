package announce

import (
	"context"
	"net"
	"testing"

	"falldeal/internal/logging"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
)

// A change is reported at once, and a report is repeated so that the entry does not lapse.
func TestReports(t *testing.T) {
	service, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	defer service.Close()
	log, _ := test.NewNullLogger()
	a := New(service.LocalAddr().String(), "n3", logging.NewLimiter(log))
	ctx, cancel := context.WithCancel(context.Background())
	over := make(chan error)
	go func() { over <- a.Run(ctx) }()
	next := func() string {
		b := make([]byte, 100)
		n, _, err := service.ReadFrom(b)
		require.NoError(t, err)
		return string(b[:n])
	}
	a.Set(true)
	require.Equal(t, "announce n3 true", next())
	require.Equal(t, "announce n3 true", next())
	a.Set(false)
	for next() != "announce n3 false" {
	}
	require.Equal(t, "announce n3 false", next())
	old := service
	service, err = net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	defer service.Close()
	a.SetAddress(service.LocalAddr().String()) // what was said holds there too
	require.NoError(t, old.Close())
	require.Equal(t, "announce n3 false", next())
	require.Equal(t, "announce n3 false", next())
	cancel()
	require.NoError(t, <-over)
}

// When another process goes on, what this one thinks of itself is no news any more.
func TestSilence(t *testing.T) {
	a := New("127.0.0.1:9", "n3", nil)
	a.Set(true)
	a.Silence()
	a.Set(false)
	a.SetAddress("127.0.0.1:10")
	require.Empty(t, (<-a.reports).addr)
	require.Empty(t, a.reports)
}

// The service was down for a report, and the error of that takes the place of the next: the last word of a server that
// leaves, which then came 200 ms late.
func TestReportAgainstAServiceThatWasDown(t *testing.T) {
	service, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := service.LocalAddr().String()
	conn, err := net.Dial("udp", addr)
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, service.Close())
	a := New(addr, "n3", nil)
	require.NoError(t, a.send(conn, report{addr, true})) // nobody is there; the machine says so with the next
	service, err = net.ListenPacket("udp", addr)
	require.NoError(t, err)
	defer service.Close()
	require.NoError(t, a.send(conn, report{addr, false}))
	b := make([]byte, 100)
	n, _, err := service.ReadFrom(b)
	require.NoError(t, err)
	require.Equal(t, "announce n3 false", string(b[:n]))
}
