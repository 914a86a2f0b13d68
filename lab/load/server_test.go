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
const surroundings = "FALLDEAL_BENCH_SURROUNDINGS"

func TestMain(m *testing.M) {
	if os.Getenv(surroundings) != "" {
		surround()
		return
	}
	os.Exit(m.Run())
}

type addresses struct{ Agent, Store, Announce string }

func surround() {
	check := func(err error) {
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	listen := func() net.Listener {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		check(err)
		return ln
	}
	agent, store := listen(), listen()
	announce, err := net.ListenPacket("udp", "127.0.0.1:0")
	check(err)
	go (&fakes.Agent{State: "steady", Age: time.Hour, Load: [4]float64{0.02, 0, 0.1, 10}, PlanRun: func(l fakes.Launch) fakes.RunPlan {
		if l.Class == "preview" {
			return fakes.RunPlan{Call: make([]byte, 96)}
		}
		return fakes.RunPlan{}
	}}).Serve(agent)
	go (&fakes.Store{}).Serve(store)
	go (&fakes.AnnounceService{}).Serve(announce)
	out := json.NewEncoder(os.Stdout)
	check(out.Encode(addresses{agent.Addr().String(), store.Addr().String(), announce.LocalAddr().String()}))
	for in := json.NewDecoder(os.Stdin); ; {
		var p Plan
		if in.Decode(&p) != nil {
			return
		}
		r, err := Run(context.Background(), p)
		check(err)
		check(out.Encode(r))
	}
}

// world is a server in this process, and what surrounds it in another.
type world struct {
	addr string
	in   *json.Encoder
	out  *json.Decoder
	log  *test.Hook
}

func newWorld(b testing.TB) *world {
	other := exec.Command(os.Args[0])
	other.Env = append(os.Environ(), surroundings+"=1")
	other.Stderr = os.Stderr
	in, err := other.StdinPipe()
	require.NoError(b, err)
	out, err := other.StdoutPipe()
	require.NoError(b, err)
	require.NoError(b, other.Start())
	w := &world{in: json.NewEncoder(in), out: json.NewDecoder(bufio.NewReader(out))}
	var at addresses
	require.NoError(b, w.out.Decode(&at))
	text, err := os.ReadFile("../../internal/config/testdata/config.json")
	require.NoError(b, err)
	cfg, err := config.Parse([]byte(strings.NewReplacer("127.0.0.1:4400", at.Agent, "127.0.0.1:8900", at.Store,
		"127.0.0.1:8761", at.Announce,
		// A machine that stands still for a while must not turn requests into late ones.
		`"AimUs": 1900000`, `"AimUs": 600000000`, `"DeadlineUs": 7000000`, `"DeadlineUs": 600000000`,
		`"DeadlineUs": 5800000`, `"DeadlineUs": 600000000`).Replace(string(text))), func(string) string { return "" })
	require.NoError(b, err)
	log, hook := test.NewNullLogger()
	front, err := msgpackrpc.Listen("127.0.0.1:0", cfg.Limits.FrontSockets(), logging.NewLimiter(log))
	require.NoError(b, err)
	w.addr, w.log = front.Addr().String(), hook
	s := server.New(cfg, log)
	ctx, cancel := context.WithCancel(context.Background())
	over := make(chan error, 1)
	go func() { over <- s.Run(ctx, front) }()
	b.Cleanup(func() {
		in.Close()
		_ = other.Wait()
		cancel()
		<-over
	})
	for ready := false; !ready; time.Sleep(time.Millisecond) {
		ready, err = s.Ready(ctx)
		require.NoError(b, err)
	}
	return w
}

// play has the other process carry out a plan.
func (w *world) play(b testing.TB, p Plan) Report {
	p.Addr, p.Timeout, p.CostHint = w.addr, 10*time.Minute, time.Millisecond
	require.NoError(b, w.in.Encode(p))
	var r Report
	require.NoError(b, w.out.Decode(&r))
	return r
}

// Whatever is asked for through the stand-ins is served, by a codec that is not the server's.
func TestServedThroughStandIns(t *testing.T) {
	w := newWorld(t)
	r := w.play(t, Plan{Clients: 8, Requests: 300, Classes: []string{"preview", "hires-crop", "licence-order"},
		KeyedClasses: []string{"licence-order"}, BodyBytes: 2048})
	require.Equal(t, Report{Served: 300}, r)
}

// usage is what this process has used so far.
type usage struct {
	cpu      time.Duration
	switches int64 // times that one of its threads waited
}

func used(b *testing.B) usage {
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return usage{time.Duration(u.Utime.Nano() + u.Stime.Nano()), u.Nvcsw}
}

// report reports what was used since before, for each operation.
func report(b *testing.B, before usage) {
	now := used(b)
	b.ReportMetric(float64((now.cpu-before.cpu).Microseconds())/float64(b.N), "cpu-µs/op")
	b.ReportMetric(float64(now.switches-before.switches)/float64(b.N), "waits/op")
}

// BenchmarkRequest is what a request costs the server: kernel, runtime and all. Previews make a call.
func BenchmarkRequest(b *testing.B) {
	for _, class := range []string{"hires-crop", "preview"} {
		for _, callers := range []int{1, 8, 64} {
			b.Run(fmt.Sprintf("%s/callers=%d", class, callers), func(b *testing.B) {
				w := newWorld(b)
				w.play(b, Plan{Clients: callers, Requests: 10 * callers, Classes: []string{class}, BodyBytes: 1024})
				b.ResetTimer()
				before := used(b)
				r := w.play(b, Plan{Clients: callers, Requests: b.N, Classes: []string{class}, BodyBytes: 1024})
				report(b, before)
				b.ReportMetric(float64(r.Served)/float64(r.Total()), "served/op")
			})
		}
	}
}

// BenchmarkRest is what a second costs the server in which nothing is asked of it, with idle connections.
func BenchmarkRest(b *testing.B) {
	for _, connections := range []int{0, 150} {
		b.Run(fmt.Sprintf("connections=%d", connections), func(b *testing.B) {
			w := newWorld(b)
			for range connections {
				nc, err := net.Dial("tcp", w.addr)
				require.NoError(b, err)
				defer nc.Close()
			}
			b.ResetTimer()
			before := used(b)
			time.Sleep(time.Duration(b.N) * time.Second)
			report(b, before)
		})
	}
}
