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

// testTimeout is how long a test waits for something before it fails.
const testTimeout = 30 * time.Second

// Messages of log lines that tests wait for.
const (
	reloadedMessage     = "configuration reloaded, other keys apply from the next start"
	reloadFailedMessage = "configuration reload failed, current configuration stays"
	countersMessage     = "counters"
)

// fakeFront is a front without connections. Its Serve returns only when the test closes released, whatever happens to its
// context: until then the server behaves as if connections were open.
type fakeFront struct {
	serving  chan struct{} // closed when Serve is called
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

// endingFront is a front without connections. Its Serve returns when the front is closed.
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

// logEntries is a logrus hook that sends log entries to a test.
type logEntries chan *logrus.Entry

func (logEntries) Levels() []logrus.Level { return logrus.AllLevels }

func (l logEntries) Fire(entry *logrus.Entry) error {
	l <- entry
	return nil
}

// fixture is a process that runs within the test. The test sends its signals through the channels of Signals.
type fixture struct {
	*testing.T
	signals    *Signals
	configPath string
	log        *logrus.Logger
	entries    logEntries
	agents     [2]net.Listener // listeners in place of agents; the configuration contains the address of one of them
	process    *process
	done       chan error // receives the result of run
}

// newFixture returns a process that does not run yet. Its configuration has the address of the first agent and a short
// drain; change, if not nil, modifies it further.
func newFixture(t *testing.T, extension Extension, change func(*config.Config)) *fixture {
	t.Helper()
	created := &fixture{
		T:          t,
		signals:    &Signals{terminate: make(chan os.Signal, 1), control: make(chan os.Signal, controlSignalCapacity)},
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

// listenLocally opens a listener on a free local port, which is closed at the end of the test.
func listenLocally(t *testing.T) net.Listener {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	return listener
}

// writeConfig writes the configuration file with the address of the agent that has the given index, and with the given
// replacements of its text (old, new, ...).
func (f *fixture) writeConfig(agent int, replacements ...string) {
	f.Helper()
	text, err := os.ReadFile("../config/testdata/config.json")
	require.NoError(f, err)
	replacements = append(replacements, "127.0.0.1:4400", f.agents[agent].Addr().String(), `"stop_ms": 3200`, `"stop_ms": 100`)
	replaced := strings.NewReplacer(replacements...).Replace(string(text))
	require.NoError(f, os.WriteFile(f.configPath, []byte(replaced), 0o600))
}

// run starts the process with front.
func (f *fixture) run(front server.Front) {
	go func() { f.done <- f.process.run(front) }()
}

// waitForLog returns the next log entry with that message, and skips others.
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
			f.Fatalf("%q was not logged in time", message)
		}
	}
}

// loggedError returns the error of a log entry.
func (f *fixture) loggedError(entry *logrus.Entry) error {
	f.Helper()
	err, ok := entry.Data[logrus.ErrorKey].(error)
	require.True(f, ok, "%v", entry.Data)
	return err
}

// requireEnds waits until run returns, and returns its error.
func (f *fixture) requireEnds() error {
	f.Helper()
	return receive(f.T, f.done)
}

func (f *fixture) terminate() { f.signals.terminate <- syscall.SIGTERM }

// receive returns the next value of a channel, and fails the test if none arrives within testTimeout.
func receive[T any](t *testing.T, values <-chan T) T {
	t.Helper()
	select {
	case value := <-values:
		return value
	case <-time.After(testTimeout):
		t.Fatal("no value received in time")
		panic("unreachable")
	}
}
