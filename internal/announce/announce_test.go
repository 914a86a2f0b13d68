package announce

import (
	"context"
	"net"
	"testing"

	"falldeal/internal/logging"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
)

// listen opens the socket of the announce service at address.
func listen(t *testing.T, address string) net.PacketConn {
	t.Helper()
	var config net.ListenConfig
	service, err := config.ListenPacket(t.Context(), "udp", address)
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = service.Close() // fails if the test has closed it
	})
	return service
}

// receive returns the next report.
func receive(t *testing.T, service net.PacketConn) string {
	t.Helper()
	datagram := make([]byte, 100)
	n, _, err := service.ReadFrom(datagram)
	require.NoError(t, err)
	return string(datagram[:n])
}

// A change must be reported at once. Reports must be repeated, as the announce service drops the entry of a server that
// stops reporting. Both must hold after the service has moved to another address.
func TestReportsAreImmediateAndRepeated(t *testing.T) {
	service := listen(t, "127.0.0.1:0")
	log, _ := test.NewNullLogger()
	announcer := New(service.LocalAddr().String(), "n3", logging.NewLimiter(log))
	ctx, cancel := context.WithCancel(context.Background())
	runDone := make(chan struct{})
	go func() {
		announcer.Run(ctx)
		close(runDone)
	}()
	announcer.SetAccepting(true)
	require.Equal(t, "announce n3 true", receive(t, service))
	require.Equal(t, "announce n3 true", receive(t, service))
	announcer.SetAccepting(false)
	for receive(t, service) != "announce n3 false" {
	}
	require.Equal(t, "announce n3 false", receive(t, service))
	moved := listen(t, "127.0.0.1:0")
	announcer.SetAddress(moved.LocalAddr().String()) // the current report is repeated there
	require.NoError(t, service.Close())
	require.Equal(t, "announce n3 false", receive(t, moved))
	require.Equal(t, "announce n3 false", receive(t, moved))
	cancel()
	<-runDone
}

// Once another process sends the reports, changes must not be reported any more.
func TestStopEndsReports(t *testing.T) {
	announcer := New("127.0.0.1:9", "n3", nil)
	announcer.SetAddress("127.0.0.1:8")
	require.Empty(t, announcer.reports.C()) // nothing to report yet
	announcer.SetAccepting(true)
	require.False(t, announcer.Stopped())
	announcer.Stop()
	require.True(t, announcer.Stopped())
	require.Equal(t, "stopped", announcer.state.String())
	announcer.SetAccepting(false)
	announcer.SetAddress("127.0.0.1:10")
	require.Empty(t, (<-announcer.reports.C()).address) // with an empty address, Run sends nothing
	require.Empty(t, announcer.reports.C())
}

// The service was down when a report was sent, and the next send returns the error of that report. The last report of a
// draining server used to be 200 ms late because of this. The next report must be sent at once.
func TestReportAfterServiceWasDown(t *testing.T) {
	service := listen(t, "127.0.0.1:0")
	address := service.LocalAddr().String()
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "udp", address)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	require.NoError(t, service.Close())
	announcer := New(address, "n3", nil)
	require.NoError(t, announcer.send(conn, report{address, true})) // lost; the kernel reports the error on the next send
	service = listen(t, address)
	require.NoError(t, announcer.send(conn, report{address, false}))
	require.Equal(t, "announce n3 false", receive(t, service))
}
