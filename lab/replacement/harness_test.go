package replacement

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"falldeal/lab/clients"
	"falldeal/lab/fakes"
	"falldeal/lab/history"
	"falldeal/lab/loopback"
	"falldeal/lab/workerpool"

	"github.com/stretchr/testify/require"
)

const (
	// waitTimeout bounds each wait for a condition, so that a busy machine does not make a test fail.
	waitTimeout = 60 * time.Second
	// sampleInterval is the interval between two samples of the memory of the processes.
	sampleInterval = 20 * time.Millisecond
	// resultBytes is the size of the result of a run, the largest of the protocol.
	resultBytes  = 4 << 10
	sampleConfig = "../../internal/config/testdata/config.json"
)

// options describe an image server and its load.
type options struct {
	memoryMB              int
	requestsPerSecond     float64       // 0: no load
	requestsPerConnection uint32        // after which a front end opens a new one, which either process may accept
	callTime              time.Duration // of a call to the store; 0: answered at once
}

// imageServer is an image server of real processes, with fakes of its dependencies. The platform holds its listening
// socket.
type imageServer struct {
	*testing.T
	options options
	binary  string
	dir     string // $TMPDIR of all processes, with their files
	socket  *os.File
	address string
	log     *history.Log
	store   *storeLoad

	storeAddress, announceAddress string

	mu        sync.Mutex
	processes []*process
}

// process is one process of an image server, with its agent.
type process struct {
	cmd     *exec.Cmd
	agent   *fakes.Agent
	console string
	logFile string
	exited  chan struct{} // closed when the process has exited
}

// buildProgram builds falldeal as it is shipped, without the race detector, which would multiply its memory.
func buildProgram(tb testing.TB) string {
	tb.Helper()
	dir := tb.TempDir()
	cmd := exec.CommandContext(tb.Context(), "go", "build", "-ldflags=-linkmode=external", "-o", dir, "../../cmd/falldeal")
	cmd.Env = append(os.Environ(), "CGO_ENABLED=1")
	output, err := cmd.CombinedOutput()
	require.NoError(tb, err, "%s", output)
	return filepath.Join(dir, "falldeal")
}

// newImageServer returns an image server without processes.
func newImageServer(t *testing.T, binary string, chosen options) *imageServer {
	t.Helper()
	listener := loopback.Listen(t)
	socket, err := listener.File()
	require.NoError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	dir, err := os.MkdirTemp("", "replacement") // short, because the length of a socket path is limited
	require.NoError(t, err)
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	server := &imageServer{
		T: t, options: chosen, binary: binary, dir: dir, socket: socket, address: listener.Addr().String(),
		log: history.NewLog(),
	}
	server.startStore()
	announce, err := (&net.ListenConfig{}).ListenPacket(t.Context(), "udp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = announce.Close() })
	go func() { _ = (&fakes.AnnounceService{}).Serve(announce) }()
	server.announceAddress = announce.LocalAddr().String()
	t.Cleanup(server.stop)
	return server
}

func (s *imageServer) startStore() {
	listener := loopback.Listen(s)
	s.storeAddress = listener.Addr().String()
	s.store = &storeLoad{now: s.log.Now}
	store := &fakes.Store{OnCallStarted: s.store.change, OnCallEnded: s.store.change}
	if s.options.callTime > 0 {
		const slots = 1000 // more than calls: each takes callTime
		store.Now = s.log.Now
		store.CallWork = s.options.callTime
		store.Slots = workerpool.NewPool(workerpool.Curve{Workers: slots, Speed: 1, Knee: 1, MinSpeedRatio: 1}, s.log.Now())
		store.Crash = workerpool.CrashModel{MaxInFlight: slots, Tolerance: time.Hour}
	}
	go func() { _ = store.Serve(listener) }()
}

// start starts a process with a new agent, and does not wait until it serves.
func (s *imageServer) start() *process {
	s.Helper()
	agentListener := loopback.Listen(s)
	agent := &fakes.Agent{State: "steady", Age: time.Hour, Load: [4]float64{0.02, 0, 0.1, 10}, PlanRun: planRun}
	go func() { _ = agent.Serve(agentListener) }()
	started := &process{agent: agent, console: loopback.ClosedAddress(s), exited: make(chan struct{})}
	number := strconv.Itoa(len(s.processes) + 1)
	configFile := filepath.Join(s.dir, "config"+number+".json")
	require.NoError(s, os.WriteFile(configFile, s.config(agentListener.Addr().String(), started.console), 0o600))
	started.logFile = filepath.Join(s.dir, "log"+number+".txt")
	output, err := os.Create(started.logFile)
	require.NoError(s, err)
	defer func() { _ = output.Close() }() // the process has a duplicate of the descriptor
	started.cmd = exec.CommandContext(context.WithoutCancel(s.Context()), s.binary, "serve")
	started.cmd.Stdout, started.cmd.Stderr = output, output
	started.cmd.Env = append(os.Environ(), "GW_CONFIG="+configFile, "TMPDIR="+s.dir, "GW_NAME=", "GW_LISTEN=", "GW_CONSOLE=",
		"GW_INHERITED_FD=3")
	started.cmd.ExtraFiles = []*os.File{s.socket}
	require.NoError(s, started.cmd.Start())
	go func() {
		_ = started.cmd.Wait() // the log of the process says why it has exited
		close(started.exited)
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes = append(s.processes, started)
	return started
}

// config returns the sample configuration with the addresses and limits of this image server.
func (s *imageServer) config(agentAddress, console string) []byte {
	text, err := os.ReadFile(sampleConfig)
	require.NoError(s, err)
	return []byte(strings.NewReplacer(
		"127.0.0.1:5050", s.address, "127.0.0.1:4400", agentAddress, "127.0.0.1:8761", s.announceAddress,
		`"127.0.0.1:8900"`, fmt.Sprintf(`%q, "console": %q`, s.storeAddress, console),
		`"memory_mb": 192`, fmt.Sprintf(`"memory_mb": %d`, s.options.memoryMB), `"sockets": 1024`, `"sockets": 512`,
		`"KbPerKey": 73.43`, `"KbPerKey": 1.77`,
	).Replace(string(text)))
}

// result is the result of each run.
var result = make([]byte, resultBytes)

// planRun returns the plan of a run: licence orders and previews make a call, and each result has resultBytes. A request of a
// flood is rejected, because the agent knows only those of front ends.
func planRun(launch fakes.Launch) fakes.RunPlan {
	if string(launch.Body) == clients.FloodBody {
		return fakes.RunPlan{Rejected: true}
	}
	plan := fakes.RunPlan{Work: 4 * time.Millisecond, Result: result}
	if launch.Class != "hires-crop" {
		plan.Call = []byte("SELECT " + launch.RequestID)
	}
	return plan
}

// waitReady waits until a process reports that it serves.
func (s *imageServer) waitReady(started *process) {
	s.Helper()
	client := http.Client{Timeout: time.Second}
	require.Eventually(s, func() bool {
		response, err := client.Get("http://" + started.console + "/ready") //nolint:noctx // the client has a time limit
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	}, waitTimeout, sampleInterval, "%s", started.logFile)
}

// load sends requests until ctx ends, and returns when all have ended.
func (s *imageServer) load(ctx context.Context) {
	if s.options.requestsPerSecond == 0 {
		<-ctx.Done()
		return
	}
	class := clients.Class{
		MeanWork: 4 * time.Millisecond, Timeout: 3 * time.Second, LatencyObjective: 1900 * time.Millisecond, Value: 1,
	}
	preview, crop, order := class, class, class
	preview.Name, preview.ArrivalRatio, preview.DegradedValueRatio = "preview", 0.36, 0.6
	crop.Name, crop.ArrivalRatio = "hires-crop", 0.36
	order.Name, order.ArrivalRatio, order.IdempotentByKey = "licence-order", 0.28, true
	clients.Run(ctx, clients.Workload{
		FrontEnds:             5,
		RequestsPerSecond:     s.options.requestsPerSecond,
		RequestsPerConnection: s.options.requestsPerConnection,
		Classes:               []clients.Class{preview, crop, order},
		Policies:              []clients.Policy{{MaxAttempts: 3, HonorRetryAfter: true}},
		KeyCount:              1000,
		Seed:                  1,
		AttemptCompleted:      func(_, id string) { s.completeRequest(id) },
	}, func() []clients.Server { return []clients.Server{{Name: "n1", Addr: s.address}} }, s.log)
}

// completeRequest notifies the agents that a request was answered.
func (s *imageServer) completeRequest(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, started := range s.processes {
		started.agent.CompleteRequest(id)
	}
}

// memoryMB returns the sum of the proportional set sizes of all processes, in MB.
func (s *imageServer) memoryMB() (total float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, started := range s.processes {
		total += proportionalMB(started.cmd.Process.Pid)
	}
	return total
}

// proportionalMB returns the proportional set size of a process in MB, or 0 if it has exited.
func proportionalMB(pid int) float64 {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "smaps_rollup"))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		var kilobytes float64
		if _, err := fmt.Sscanf(line, "Pss: %f kB", &kilobytes); err == nil {
			return kilobytes / 1024
		}
	}
	return 0
}

// lostAttempts returns how many attempts had no answer because their connection ended.
func (s *imageServer) lostAttempts() (lost int) {
	for _, event := range s.log.Events() {
		if event.Kind == history.AttemptAnswered && history.Outcome(event.Detail) == history.OutcomeLost {
			lost++
		}
	}
	return lost
}

// signal sends a signal to a process, and does not wait for its effect.
func (s *imageServer) signal(target *process, signal syscall.Signal) {
	require.NoError(s, target.cmd.Process.Signal(signal))
}

// stop kills all processes. If the test has failed, it prints their logs.
func (s *imageServer) stop() {
	for _, started := range s.processes {
		_ = started.cmd.Process.Kill() // fails if it has exited
		<-started.exited
		if text, err := os.ReadFile(started.logFile); err == nil && s.Failed() {
			s.Logf("%s:\n%s", started.logFile, text)
		}
	}
}
