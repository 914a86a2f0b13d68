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
	announcer := New(service.LocalAddr().String(), "n3", logging.NewLimiter(log))
	ctx, cancel := context.WithCancel(context.Background())
	runDone := make(chan error)
	go func() { runDone <- announcer.Run(ctx) }()
	next := func() string {
		b := make([]byte, 100)
		n, _, err := service.ReadFrom(b)
		require.NoError(t, err)
		return string(b[:n])
	}
	announcer.Set(true)
	require.Equal(t, "announce n3 true", next())
	require.Equal(t, "announce n3 true", next())
	announcer.Set(false)
	for next() != "announce n3 false" {
	}
	require.Equal(t, "announce n3 false", next())
	old := service
	service, err = net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	defer service.Close()
	announcer.SetAddress(service.LocalAddr().String()) // what was said holds there too
	require.NoError(t, old.Close())
	require.Equal(t, "announce n3 false", next())
	require.Equal(t, "announce n3 false", next())
	cancel()
	require.NoError(t, <-runDone)
}

// When another process goes on, what this one thinks of itself is no news any more.
func TestSilence(t *testing.T) {
	announcer := New("127.0.0.1:9", "n3", nil)
	announcer.Set(true)
	announcer.Silence()
	announcer.Set(false)
	announcer.SetAddress("127.0.0.1:10")
	require.Empty(t, (<-announcer.reports).address)
	require.Empty(t, announcer.reports)
}

// The service was down for a report, and the error of that takes the place of the next: the last word of a server that
// leaves, which then came 200 ms late.
func TestReportAfterServiceWasDown(t *testing.T) {
	service, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := service.LocalAddr().String()
	conn, err := net.Dial("udp", addr)
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, service.Close())
	announcer := New(addr, "n3", nil)
	require.NoError(t, announcer.send(conn, report{addr, true})) // nobody is there; the machine says so with the next
	service, err = net.ListenPacket("udp", addr)
	require.NoError(t, err)
	defer service.Close()
	require.NoError(t, announcer.send(conn, report{addr, false}))
	b := make([]byte, 100)
	n, _, err := service.ReadFrom(b)
	require.NoError(t, err)
	require.Equal(t, "announce n3 false", string(b[:n]))
}
