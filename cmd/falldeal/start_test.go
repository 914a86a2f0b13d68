package main

import (
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"falldeal/internal/commandtest"

	"github.com/stretchr/testify/require"
)

func TestMain(m *testing.M) { commandtest.Main(m, main) }

// startingProcess is a process of its own that has been started, and two agents that it may be led to.
type startingProcess struct {
	*testing.T
	cmd        *exec.Cmd
	configPath string // of its configuration
	agents     [2]net.Listener
}

// configWithAgent returns the sample configuration with one of the agents.
func (s *startingProcess) configWithAgent(agent int) []byte {
	text, err := os.ReadFile(sampleConfig)
	require.NoError(s, err)
	return []byte(strings.NewReplacer("127.0.0.1:4400", s.agents[agent].Addr().String(), ":5050", ":0",
		`"stop_ms": 3200`, `"stop_ms": 100`).Replace(string(text)))
}

func newStartingProcess(t *testing.T) *startingProcess {
	process := &startingProcess{T: t, configPath: filepath.Join(t.TempDir(), "config.json")}
	for i := range process.agents {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { ln.Close() })
		process.agents[i] = ln
	}
	process.cmd = exec.Command(os.Args[0], "serve", "--config", process.configPath)
	process.cmd.Env = append(os.Environ(), commandtest.ProgramVariable+"=1", "GW_LISTEN=", "GW_NAME=", "GW_CONSOLE=")
	t.Cleanup(func() {
		if process.cmd.Process != nil && process.cmd.ProcessState == nil {
			_ = process.cmd.Process.Kill()
			_ = process.cmd.Wait()
		}
	})
	return process
}

// startBlocked starts the process and holds it where it reads its configuration, of which nothing comes until the file that is
// returned is written to.
func (s *startingProcess) startBlocked() *os.File {
	require.NoError(s, syscall.Mkfifo(s.configPath, 0o600))
	require.NoError(s, s.cmd.Start())
	writer, err := os.OpenFile(s.configPath, os.O_WRONLY, 0) // returns once the other side reads
	require.NoError(s, err)
	s.Cleanup(func() { writer.Close() })
	return writer
}

// waitForAgent waits until the process has a link to that agent.
func (s *startingProcess) waitForAgent(agent int) {
	s.Helper()
	require.NoError(s, s.agents[agent].(*net.TCPListener).SetDeadline(time.Now().Add(30*time.Second)))
	conn, err := s.agents[agent].Accept()
	require.NoError(s, err)
	s.Cleanup(func() { conn.Close() })
}

func (s *startingProcess) signal(sig syscall.Signal) { require.NoError(s, s.cmd.Process.Signal(sig)) }

// A process is told of a new configuration, and asked for its counters, while it reads the old one: it goes on, and takes
// the new one over once it has started. Each of these signals ended it.
func TestReloadDuringStart(t *testing.T) {
	for _, order := range [][]syscall.Signal{{syscall.SIGHUP, syscall.SIGUSR1}, {syscall.SIGUSR1, syscall.SIGHUP}} {
		process := newStartingProcess(t)
		writer := process.startBlocked()
		for _, sig := range order {
			process.signal(sig)
		}
		require.NoError(t, os.Remove(process.configPath))
		require.NoError(t, os.WriteFile(process.configPath, process.configWithAgent(1), 0o600))
		_, err := writer.Write(process.configWithAgent(0))
		require.NoError(t, err)
		require.NoError(t, writer.Close())
		process.waitForAgent(1)
		process.signal(syscall.SIGTERM)
		require.NoError(t, process.cmd.Wait())
	}
}

// SIGTERM comes before the configuration is read, or after: the process ends by itself either way, and in good order.
// Before, it was killed with the status of a crash; one whose configuration never comes must end as well.
func TestTermDuringStart(t *testing.T) {
	for _, read := range []bool{false, true} {
		process := newStartingProcess(t)
		writer := process.startBlocked()
		if read {
			_, err := writer.Write(process.configWithAgent(0))
			require.NoError(t, err)
			require.NoError(t, writer.Close())
			process.waitForAgent(0)
		}
		process.signal(syscall.SIGTERM)
		require.NoError(t, process.cmd.Wait())
	}
}

// Nobody reads the log any more: what is written to it then ended the process.
func TestLogWithoutReader(t *testing.T) {
	process := newStartingProcess(t)
	require.NoError(t, os.WriteFile(process.configPath, process.configWithAgent(0), 0o600))
	read, write, err := os.Pipe()
	require.NoError(t, err)
	require.NoError(t, read.Close())
	process.cmd.Stderr = write
	require.NoError(t, process.cmd.Start())
	require.NoError(t, write.Close())
	process.waitForAgent(0) // it has said by then where it listens
	process.signal(syscall.SIGTERM)
	require.NoError(t, process.cmd.Wait())
}
