package load

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"falldeal/internal/config"
	"falldeal/internal/logging"
	"falldeal/internal/msgpackrpc"
	"falldeal/internal/server"
	"falldeal/lab/fakes"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
)

// What surrounds the server runs in a process of its own, so that processor time and profile of this one are the
// server's alone. The other process is this program again, told so by a variable; it reads one plan a line.
const runAsDependencies = "FALLDEAL_BENCH_SURROUNDINGS"

func TestMain(m *testing.M) {
	if os.Getenv(runAsDependencies) != "" {
		serveDependencies()
		return
	}
	os.Exit(m.Run())
}

type addresses struct{ Agent, Store, Announce string }

func serveDependencies() {
	check := func(err error) {
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	listen := func() net.Listener {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		check(err)
		return listener
	}
	agent, store := listen(), listen()
	announce, err := net.ListenPacket("udp", "127.0.0.1:0")
	check(err)
	go (&fakes.Agent{State: "steady", Age: time.Hour, Load: [4]float64{0.02, 0, 0.1, 10}, PlanRun: func(launch fakes.Launch) fakes.RunPlan {
		if launch.Class == "preview" {
			return fakes.RunPlan{Call: make([]byte, 96)}
		}
		return fakes.RunPlan{}
	}}).Serve(agent)
	go (&fakes.Store{}).Serve(store)
	go (&fakes.AnnounceService{}).Serve(announce)
	encoder := json.NewEncoder(os.Stdout)
	check(encoder.Encode(addresses{agent.Addr().String(), store.Addr().String(), announce.LocalAddr().String()}))
	for decoder := json.NewDecoder(os.Stdin); ; {
		var plan Plan
		if decoder.Decode(&plan) != nil {
			return
		}
		report, err := Run(context.Background(), plan)
		check(err)
		check(encoder.Encode(report))
	}
}

// testServer is a server in this process, and what surrounds it in another.
type testServer struct {
	addr    string
	plans   *json.Encoder
	reports *json.Decoder
	log     *test.Hook
}

func newTestServer(tb testing.TB) *testServer {
	dependencies := exec.Command(os.Args[0])
	dependencies.Env = append(os.Environ(), runAsDependencies+"=1")
	dependencies.Stderr = os.Stderr
	stdin, err := dependencies.StdinPipe()
	require.NoError(tb, err)
	stdout, err := dependencies.StdoutPipe()
	require.NoError(tb, err)
	require.NoError(tb, dependencies.Start())
	started := &testServer{plans: json.NewEncoder(stdin), reports: json.NewDecoder(bufio.NewReader(stdout))}
	var addrs addresses
	require.NoError(tb, started.reports.Decode(&addrs))
	text, err := os.ReadFile("../../internal/config/testdata/config.json")
	require.NoError(tb, err)
	cfg, err := config.Parse([]byte(strings.NewReplacer("127.0.0.1:4400", addrs.Agent, "127.0.0.1:8900", addrs.Store,
		"127.0.0.1:8761", addrs.Announce,
		// A machine that stands still for a while must not turn requests into late ones.
		`"AimUs": 1900000`, `"AimUs": 600000000`, `"DeadlineUs": 7000000`, `"DeadlineUs": 600000000`,
		`"DeadlineUs": 5800000`, `"DeadlineUs": 600000000`).Replace(string(text))), func(string) string { return "" })
	require.NoError(tb, err)
	log, hook := test.NewNullLogger()
	front, err := msgpackrpc.Listen("127.0.0.1:0", cfg.Limits.FrontSockets(), logging.NewLimiter(log))
	require.NoError(tb, err)
	started.addr, started.log = front.Addr().String(), hook
	srv := server.New(cfg, log)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- srv.Run(ctx, front) }()
	tb.Cleanup(func() {
		stdin.Close()
		_ = dependencies.Wait()
		cancel()
		<-done
	})
	for ready := false; !ready; time.Sleep(time.Millisecond) {
		ready, err = srv.Ready(ctx)
		require.NoError(tb, err)
	}
	return started
}

// run has the other process carry out a plan.
func (w *testServer) run(tb testing.TB, plan Plan) Report {
	plan.Addr, plan.Timeout, plan.CostHint = w.addr, 10*time.Minute, time.Millisecond
	require.NoError(tb, w.plans.Encode(plan))
	var report Report
	require.NoError(tb, w.reports.Decode(&report))
	return report
}

// Whatever is asked for through the stand-ins is served, by a codec that is not the server's.
func TestServedThroughFakes(t *testing.T) {
	w := newTestServer(t)
	report := w.run(t, Plan{Clients: 8, Requests: 300, Classes: []string{"preview", "hires-crop", "licence-order"},
		KeyedClasses: []string{"licence-order"}, BodyBytes: 2048})
	require.Equal(t, Report{Served: 300}, report)
}

// usage is what this process has used so far.
type usage struct {
	cpu      time.Duration
	switches int64 // times that one of its threads waited
}

func used(b *testing.B) usage {
	var rusage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &rusage))
	return usage{time.Duration(rusage.Utime.Nano() + rusage.Stime.Nano()), rusage.Nvcsw}
}

// reportUsage reports what was used since before, for each operation.
func reportUsage(b *testing.B, before usage) {
	now := used(b)
	b.ReportMetric(float64((now.cpu-before.cpu).Microseconds())/float64(b.N), "cpu-µs/op")
	b.ReportMetric(float64(now.switches-before.switches)/float64(b.N), "waits/op")
}

// BenchmarkRequest is what a request costs the server: kernel, runtime and all. Previews make a call.
func BenchmarkRequest(b *testing.B) {
	for _, class := range []string{"hires-crop", "preview"} {
		for _, clients := range []int{1, 8, 64} {
			b.Run(fmt.Sprintf("%s/callers=%d", class, clients), func(b *testing.B) {
				w := newTestServer(b)
				w.run(b, Plan{Clients: clients, Requests: 10 * clients, Classes: []string{class}, BodyBytes: 1024})
				b.ResetTimer()
				before := used(b)
				report := w.run(b, Plan{Clients: clients, Requests: b.N, Classes: []string{class}, BodyBytes: 1024})
				reportUsage(b, before)
				b.ReportMetric(float64(report.Served)/float64(report.Total()), "served/op")
			})
		}
	}
}

// BenchmarkIdle is what a second costs the server in which nothing is asked of it, with idle connections.
func BenchmarkIdle(b *testing.B) {
	for _, connections := range []int{0, 150} {
		b.Run(fmt.Sprintf("connections=%d", connections), func(b *testing.B) {
			w := newTestServer(b)
			for range connections {
				conn, err := net.Dial("tcp", w.addr)
				require.NoError(b, err)
				defer conn.Close()
			}
			b.ResetTimer()
			before := used(b)
			time.Sleep(time.Duration(b.N) * time.Second)
			reportUsage(b, before)
		})
	}
}
