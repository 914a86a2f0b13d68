package load

import (
	"bufio"
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"falldeal/internal/config"
	"falldeal/internal/logging"
	"falldeal/internal/msgpackrpc"
	"falldeal/internal/server"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
)

// testServer is a server in this process. Its dependencies and its load run in another process.
type testServer struct {
	addr    string
	plans   *json.Encoder // to the other process
	reports *json.Decoder // from it
}

// newTestServer starts a server and returns when it is ready. The server ends with the test.
func newTestServer(tb testing.TB) *testServer {
	tb.Helper()
	started, addrs := startDependencies(tb)
	log, _ := test.NewNullLogger()
	cfg := testConfig(tb, addrs)
	front, err := msgpackrpc.Listen("127.0.0.1:0", cfg.Limits.MaxFrontConnections(), logging.NewLimiter(log))
	require.NoError(tb, err)
	started.addr = front.Addr().String()
	srv := server.New(cfg, log)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- srv.Run(ctx, front) }()
	tb.Cleanup(func() {
		cancel()
		require.NoError(tb, <-done)
	})
	for ready := false; !ready; time.Sleep(time.Millisecond) {
		ready, err = srv.Ready(ctx)
		require.NoError(tb, err)
	}
	return started
}

// startDependencies starts the process of the fakes and the load, and returns the pipes to it. The process ends after
// the test, when its input is closed.
func startDependencies(tb testing.TB) (*testServer, addresses) {
	tb.Helper()
	dependencies := exec.CommandContext(context.Background(), os.Args[0]) // ends when its input is closed
	dependencies.Env = append(os.Environ(), runAsDependencies+"=1")
	dependencies.Stderr = os.Stderr
	stdin, err := dependencies.StdinPipe()
	require.NoError(tb, err)
	stdout, err := dependencies.StdoutPipe()
	require.NoError(tb, err)
	require.NoError(tb, dependencies.Start())
	tb.Cleanup(func() {
		require.NoError(tb, stdin.Close())
		require.NoError(tb, dependencies.Wait())
	})
	started := &testServer{plans: json.NewEncoder(stdin), reports: json.NewDecoder(bufio.NewReader(stdout))}
	var addrs addresses
	require.NoError(tb, started.reports.Decode(&addrs))
	return started, addrs
}

// testConfig returns the example configuration with the addresses of the fakes. Its latency objectives and deadlines are
// 10 minutes, so that requests do not become late while the machine is busy.
func testConfig(tb testing.TB, addrs addresses) *config.Config {
	tb.Helper()
	text, err := os.ReadFile("../../internal/config/testdata/config.json")
	require.NoError(tb, err)
	replaced := strings.NewReplacer(
		"127.0.0.1:4400", addrs.Agent,
		"127.0.0.1:8900", addrs.Store,
		"127.0.0.1:8761", addrs.Announce,
		`"AimUs": 1900000`, `"AimUs": 600000000`,
		`"DeadlineUs": 7000000`, `"DeadlineUs": 600000000`,
		`"DeadlineUs": 5800000`, `"DeadlineUs": 600000000`,
	).Replace(string(text))
	cfg, err := config.Parse([]byte(replaced), func(string) string { return "" })
	require.NoError(tb, err)
	return cfg
}

// run makes the other process run a plan.
func (s *testServer) run(tb testing.TB, plan Plan) Report {
	tb.Helper()
	plan.Addr, plan.Timeout, plan.CostHint = s.addr, 10*time.Minute, time.Millisecond
	require.NoError(tb, s.plans.Encode(plan))
	var report Report
	require.NoError(tb, s.reports.Decode(&report))
	return report
}

// Guards against a codec that only understands itself: a server with the fakes as its dependencies must serve all
// requests of a client whose MessagePack codec is a different implementation.
func TestServesClientWithIndependentCodec(t *testing.T) {
	srv := newTestServer(t)
	report := srv.run(t, Plan{
		Clients:           8,
		Requests:          300,
		Classes:           []string{"preview", "hires-crop", "licence-order"},
		IdempotentClasses: []string{"licence-order"},
		BodyBytes:         2048,
	})
	require.Equal(t, Report{Served: 300}, report)
}
