package process

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"falldeal/internal/config"
	"falldeal/internal/server"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// testTimeout is when a test that waits in vain fails.
const testTimeout = 30 * time.Second

// Messages of log lines that tests wait for.
const (
	reloadedMessage     = "configuration reloaded, other keys apply from the next start"
	reloadFailedMessage = "configuration reload failed, current configuration stays"
	countersMessage     = "counters"
)

// fakeFront is a listener that no connection comes to. Serve returns when the test closes released, whatever becomes of
// its context: until then the server has connections that do not end.
type fakeFront struct {
	serving  chan struct{} // closed by Serve
	released chan struct{}
}

func newFakeFront() *fakeFront {
	return &fakeFront{serving: make(chan struct{}), released: make(chan struct{})}
}

func (f *fakeFront) Serve(context.Context, *errgroup.Group, *server.Server) error {
	close(f.serving)
	<-f.released
	return nil
}

func (f *fakeFront) Close() error { return nil }

// endingFront is a listener that no connection comes to, and that ends as it is closed.
type endingFront struct {
	closed chan struct{}
}

func (f *endingFront) Serve(ctx context.Context, _ *errgroup.Group, _ *server.Server) error {
	select {
	case <-f.closed:
	case <-ctx.Done():
	}
	return nil
}

func (f *endingFront) Close() error {
	close(f.closed)
	return nil
}

// logEntries hands log lines to a test.
type logEntries chan *logrus.Entry

func (logEntries) Levels() []logrus.Level { return logrus.AllLevels }

func (l logEntries) Fire(entry *logrus.Entry) error {
	l <- entry
	return nil
}

// fixture is a process in the test's own, whose signals the test sends by their channels.
type fixture struct {
	*testing.T
	signals    *Signals
	configPath string
	log        *logrus.Logger
	entries    logEntries
	agents     [2]net.Listener // that the configuration may name
	process    *process
	done       chan error // receives the result of run
}

// newFixture returns a process whose configuration has another agent, a short drain, and changes.
func newFixture(t *testing.T, extension Extension, change func(*config.Config)) *fixture {
	t.Helper()
	created := &fixture{
		T:          t,
		signals:    &Signals{terminate: make(chan os.Signal, 1), control: make(chan os.Signal, controlSignals)},
		configPath: filepath.Join(t.TempDir(), "config.json"),
		entries:    make(logEntries, 1000),
		done:       make(chan error, 1),
	}
	log, _ := test.NewNullLogger()
	log.AddHook(created.entries)
	created.log = log
	for i := range created.agents {
		created.agents[i] = listenLocally(t)
	}
	created.writeConfig(0)
	conf, err := config.Load(created.configPath)
	require.NoError(t, err)
	if change != nil {
		change(conf)
	}
	created.process = newProcess(created.signals, conf, created.configPath, log, extension)
	return created
}

// listenLocally opens a socket on a free port, closed when the test is over.
func listenLocally(t *testing.T) net.Listener {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	return listener
}

// writeConfig writes the configuration with one of the agents, and changed by replacements (old, new, ...).
func (f *fixture) writeConfig(agent int, replacements ...string) {
	f.Helper()
	text, err := os.ReadFile("../config/testdata/config.json")
	require.NoError(f, err)
	replacements = append(replacements, "127.0.0.1:4400", f.agents[agent].Addr().String(), `"stop_ms": 3200`, `"stop_ms": 100`)
	replaced := strings.NewReplacer(replacements...).Replace(string(text))
	require.NoError(f, os.WriteFile(f.configPath, []byte(replaced), 0o600))
}

// run starts the process with that front.
func (f *fixture) run(front server.Front) {
	go func() { f.done <- f.process.run(front) }()
}

// waitForLog returns the next log line with that message, and skips others.
func (f *fixture) waitForLog(message string) *logrus.Entry {
	f.Helper()
	timeout := time.After(testTimeout)
	for {
		select {
		case entry := <-f.entries:
			if entry.Message == message {
				return entry
			}
		case <-timeout:
			f.Fatalf("not logged: %s", message)
		}
	}
}

// loggedError returns the error of a log line.
func (f *fixture) loggedError(entry *logrus.Entry) error {
	f.Helper()
	err, ok := entry.Data[logrus.ErrorKey].(error)
	require.True(f, ok, "%v", entry.Data)
	return err
}

// requireEnds waits for the end of run, and returns its error.
func (f *fixture) requireEnds() error {
	f.Helper()
	return receive(f.T, f.done)
}

func (f *fixture) terminate() { f.signals.terminate <- syscall.SIGTERM }

// receive returns the next value of a channel.
func receive[T any](t *testing.T, values <-chan T) T {
	t.Helper()
	select {
	case value := <-values:
		return value
	case <-time.After(testTimeout):
		t.Fatal("nothing came in time")
		panic("unreachable")
	}
}
