package console

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"falldeal/internal/logging"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
)

// fakeInstance notes what it is told. It hangs while it is told to.
type fakeInstance struct {
	deregistered bool
	hangs        bool
}

func (o *fakeInstance) wait(ctx context.Context) error {
	if !o.hangs {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

func (o *fakeInstance) Ready(ctx context.Context) (bool, error) { return !o.deregistered, o.wait(ctx) }

func (o *fakeInstance) AppendMetrics(ctx context.Context, b []byte) ([]byte, error) {
	return append(b, "app.inflight:3|g\n"...), o.wait(ctx)
}

func (o *fakeInstance) Deregister(ctx context.Context) error {
	o.deregistered = true
	return o.wait(ctx)
}
func (o *fakeInstance) Reregister(ctx context.Context) error {
	o.deregistered = false
	return o.wait(ctx)
}

const testTimeout = 30 * time.Second // after which a test that hangs is given up

// A machine that stands still for a while must not turn a test's calls into late ones.
var testTimeouts = timeouts{request: testTimeout, handle: testTimeout, response: testTimeout}

func startConsole(t *testing.T, instance *fakeInstance, limits timeouts) (addr string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	log, _ := test.NewNullLogger()
	go func() { served <- limits.serve(ctx, ln, instance, logging.NewLimiter(log)) }()
	t.Cleanup(func() { cancel(); require.NoError(t, <-served) })
	return ln.Addr().String()
}

// send makes one call on a connection of its own and returns what came until that was closed.
func send(t *testing.T, addr, method, path string) (code int, text string) {
	conn, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	_, err = io.WriteString(conn, method+" "+path+" HTTP/1.1\r\nHost: x\r\n\r\n")
	require.NoError(t, err)
	in := bufio.NewReader(conn)
	response, err := http.ReadResponse(in, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	_, err = in.ReadByte()
	require.ErrorIs(t, err, io.EOF, "one call a connection")
	return response.StatusCode, string(body)
}

func TestCalls(t *testing.T) {
	addr := startConsole(t, &fakeInstance{}, testTimeouts)
	for _, test := range []struct {
		method, path string
		code         int
		text         string
	}{
		{"GET", "/ready", 200, "ready\n"},
		{"GET", "/metrics", 200, "app.inflight:3|g\n"},
		{"POST", "/drain", 200, "front ends are sent away\n"},
		{"GET", "/ready", 503, "not ready\n"},
		{"POST", "/undrain", 200, "front ends are welcome\n"},
		{"GET", "/ready", 200, "ready\n"},
		{"GET", "/drain", 405, "Method Not Allowed\n"}, // a look must not send front ends away
		{"GET", "/", 404, "404 page not found\n"},
	} {
		code, text := send(t, addr, test.method, test.path)
		require.Equal(t, test.code, code, test.path)
		require.Equal(t, test.text, text, test.path)
	}
}

// A server that is too busy to say is not ready; callers don't wait for ever to hear so.
func TestBusyServer(t *testing.T) {
	limits := testTimeouts
	limits.handle = time.Millisecond
	addr := startConsole(t, &fakeInstance{hangs: true}, limits)
	for _, test := range [][2]string{{"GET", "/ready"}, {"GET", "/metrics"}, {"POST", "/drain"}, {"POST", "/undrain"}} {
		code, _ := send(t, addr, test[0], test[1])
		require.Equal(t, 503, code, test[1])
	}
}

// Callers that send nothing, or half a call, take all places but lose them.
func TestSilentClients(t *testing.T) {
	limits := testTimeouts
	limits.request = 100 * time.Millisecond
	addr := startConsole(t, &fakeInstance{}, limits)
	var silent []net.Conn
	for i := range maxConnections {
		conn, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		defer conn.Close()
		require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
		silent = append(silent, conn)
		if i%2 == 0 {
			_, err = io.WriteString(conn, "GET /re")
			require.NoError(t, err)
		}
	}
	for _, conn := range silent {
		_, err := io.Copy(io.Discard, conn)
		require.NoError(t, err, "want the end of the connection")
	}
}
