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

// fakeInstance records whether it is deregistered. If hangs is set, its methods block until their contexts end.
type fakeInstance struct {
	deregistered bool
	hangs        bool
}

func (f *fakeInstance) wait(ctx context.Context) error {
	if !f.hangs {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

func (f *fakeInstance) Ready(ctx context.Context) (bool, error) { return !f.deregistered, f.wait(ctx) }

func (f *fakeInstance) AppendMetrics(ctx context.Context, b []byte) ([]byte, error) {
	return append(b, "app.inflight:3|g\n"...), f.wait(ctx)
}

func (f *fakeInstance) Deregister(ctx context.Context) error {
	f.deregistered = true
	return f.wait(ctx)
}

func (f *fakeInstance) Reregister(ctx context.Context) error {
	f.deregistered = false
	return f.wait(ctx)
}

const testTimeout = 30 * time.Second // after which a blocked test fails

// testTimeouts are so long that requests do not time out if the machine pauses a test.
var testTimeouts = timeouts{request: testTimeout, handle: testTimeout, response: testTimeout}

// startConsole serves a console until the test ends, and returns its address.
func startConsole(t *testing.T, instance Instance, limits timeouts, pages ...Page) (addr string) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	log, _ := test.NewNullLogger()
	go func() { served <- limits.serve(ctx, listener, instance, logging.NewLimiter(log), pages...) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-served)
	})
	return listener.Addr().String()
}

// dial opens a connection that is closed when the test ends.
func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	return conn
}

// send makes a request on a new connection and returns the response. The server must then close the connection.
func send(t *testing.T, addr, method, path string) (code int, text string) {
	t.Helper()
	conn := dial(t, addr)
	_, err := io.WriteString(conn, method+" "+path+" HTTP/1.1\r\nHost: x\r\n\r\n")
	require.NoError(t, err)
	in := bufio.NewReader(conn)
	response, err := http.ReadResponse(in, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	_, err = in.ReadByte()
	require.ErrorIs(t, err, io.EOF, "want one request per connection")
	return response.StatusCode, string(body)
}

// Operators' scripts rely on the status and the text of each response. A request by GET must not change the state of the
// server.
func TestBuiltInEndpoints(t *testing.T) {
	addr := startConsole(t, &fakeInstance{}, testTimeouts)
	for _, test := range []struct {
		method, path string
		code         int
		text         string
	}{
		{"GET", "/ready", 200, "ready\n"},
		{"GET", "/metrics", 200, "app.inflight:3|g\n"},
		{"POST", "/drain", 200, "deregistered, health checks fail from now on\n"},
		{"GET", "/ready", 503, "not ready\n"},
		{"POST", "/undrain", 200, "registered, health checks succeed while the server is healthy\n"},
		{"GET", "/ready", 200, "ready\n"},
		{"GET", "/drain", 405, "Method Not Allowed\n"}, // GET must not change the state
		{"GET", "/", 404, "404 page not found\n"},
	} {
		code, text := send(t, addr, test.method, test.path)
		require.Equal(t, test.code, code, test.path)
		require.Equal(t, test.text, text, test.path)
	}
}

// A server that is too busy to handle a request in time must be reported as not ready, instead of leaving the client without
// a response.
func TestBusyServerIsNotReady(t *testing.T) {
	limits := testTimeouts
	limits.handle = time.Millisecond
	addr := startConsole(t, &fakeInstance{hangs: true}, limits)
	for _, test := range []struct{ method, path string }{
		{"GET", "/ready"}, {"GET", "/metrics"}, {"POST", "/drain"}, {"POST", "/undrain"},
	} {
		code, _ := send(t, addr, test.method, test.path)
		require.Equal(t, 503, code, test.path)
	}
}

// Clients that send nothing, or half of a request, can occupy all connections. The console must close these after the
// request timeout, or no other client gets a response.
func TestSilentClientsAreDisconnected(t *testing.T) {
	limits := testTimeouts
	limits.request = 100 * time.Millisecond
	addr := startConsole(t, &fakeInstance{}, limits)
	var silent []net.Conn
	for i := range maxConnections {
		conn := dial(t, addr)
		silent = append(silent, conn)
		if i%2 == 0 {
			_, err := io.WriteString(conn, "GET /re")
			require.NoError(t, err)
		}
	}
	for _, conn := range silent {
		_, err := io.Copy(io.Discard, conn)
		require.NoError(t, err, "the console must close the connection")
	}
}
