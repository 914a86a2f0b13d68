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

// operated notes what it is told. It hangs while it is told to.
type operated struct {
	withdrawn bool
	hangs     bool
}

func (o *operated) do(ctx context.Context) error {
	if !o.hangs {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

func (o *operated) Ready(ctx context.Context) (bool, error) { return !o.withdrawn, o.do(ctx) }

func (o *operated) AppendMetrics(ctx context.Context, b []byte) ([]byte, error) {
	return append(b, "app.inflight:3|g\n"...), o.do(ctx)
}

func (o *operated) Deregister(ctx context.Context) error { o.withdrawn = true; return o.do(ctx) }
func (o *operated) Reregister(ctx context.Context) error { o.withdrawn = false; return o.do(ctx) }

const patience = 30 * time.Second // after which a test that hangs is given up

// A machine that stands still for a while must not turn a test's calls into late ones.
var patient = limits{call: patience, answer: patience, write: patience}

func start(t *testing.T, o *operated, l limits) (addr string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	over := make(chan error, 1)
	log, _ := test.NewNullLogger()
	go func() { over <- l.serve(ctx, ln, o, logging.NewLimiter(log)) }()
	t.Cleanup(func() { cancel(); require.NoError(t, <-over) })
	return ln.Addr().String()
}

// call makes one call on a connection of its own and returns what came until that was closed.
func call(t *testing.T, addr, method, path string) (code int, text string) {
	nc, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer nc.Close()
	require.NoError(t, nc.SetDeadline(time.Now().Add(patience)))
	_, err = io.WriteString(nc, method+" "+path+" HTTP/1.1\r\nHost: x\r\n\r\n")
	require.NoError(t, err)
	in := bufio.NewReader(nc)
	r, err := http.ReadResponse(in, nil)
	require.NoError(t, err)
	b, err := io.ReadAll(r.Body)
	require.NoError(t, err)
	_, err = in.ReadByte()
	require.ErrorIs(t, err, io.EOF, "one call a connection")
	return r.StatusCode, string(b)
}

func TestCalls(t *testing.T) {
	addr := start(t, &operated{}, patient)
	for _, c := range []struct {
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
		code, text := call(t, addr, c.method, c.path)
		require.Equal(t, c.code, code, c.path)
		require.Equal(t, c.text, text, c.path)
	}
}

// A server that is too busy to say is not ready; callers don't wait for ever to hear so.
func TestBusyServer(t *testing.T) {
	l := patient
	l.answer = time.Millisecond
	addr := start(t, &operated{hangs: true}, l)
	for _, c := range [][2]string{{"GET", "/ready"}, {"GET", "/metrics"}, {"POST", "/drain"}, {"POST", "/undrain"}} {
		code, _ := call(t, addr, c[0], c[1])
		require.Equal(t, 503, code, c[1])
	}
}

// Callers that send nothing, or half a call, take all places but lose them.
func TestSilentCallers(t *testing.T) {
	l := patient
	l.call = 100 * time.Millisecond
	addr := start(t, &operated{}, l)
	var silent []net.Conn
	for i := range mostConns {
		nc, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		defer nc.Close()
		require.NoError(t, nc.SetDeadline(time.Now().Add(patience)))
		silent = append(silent, nc)
		if i%2 == 0 {
			_, err = io.WriteString(nc, "GET /re")
			require.NoError(t, err)
		}
	}
	for _, nc := range silent {
		_, err := io.Copy(io.Discard, nc)
		require.NoError(t, err, "want the end of the connection")
	}
}
