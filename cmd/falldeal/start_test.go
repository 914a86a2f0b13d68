package main

import (
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"falldeal/lab/commandtest"

	"github.com/stretchr/testify/require"
)

func TestMain(m *testing.M) { commandtest.Main(m, main) }

// startingProcess is a server in a process of its own, and two agents that its configuration may name.
type startingProcess struct {
	*testing.T
	cmd        *exec.Cmd
	configPath string
	config     *os.File // pipe that the process reads its configuration from, after startBlocked
	agents     [2]*net.TCPListener
}

// newStartingProcess prepares a process, which is killed if it is still there when the test is over.
func newStartingProcess(t *testing.T) *startingProcess {
	t.Helper()
	starting := &startingProcess{T: t, configPath: filepath.Join(t.TempDir(), "config.json")}
	for i := range starting.agents {
		starting.agents[i] = listenAsAgent(t)
	}
	starting.cmd = exec.CommandContext(t.Context(), os.Args[0], "serve", "--config", starting.configPath)
	starting.cmd.Env = append(os.Environ(), commandtest.ProgramVariable+"=1", "GW_LISTEN=", "GW_NAME=", "GW_CONSOLE=")
	t.Cleanup(func() {
		if starting.cmd.Process != nil && starting.cmd.ProcessState == nil {
			_ = starting.cmd.Process.Kill()
			_ = starting.cmd.Wait()
		}
	})
	return starting
}

// startBlocked starts a process and returns when it reads its configuration, of which nothing comes until unblock.
func startBlocked(t *testing.T) *startingProcess {
	t.Helper()
	starting := newStartingProcess(t)
	require.NoError(t, syscall.Mkfifo(starting.configPath, 0o600))
	require.NoError(t, starting.cmd.Start())
	config, err := os.OpenFile(starting.configPath, os.O_WRONLY, 0) // returns once the process reads
	require.NoError(t, err)
	t.Cleanup(func() { _ = config.Close() }) // again after unblock
	starting.config = config
	return starting
}

// unblock writes the configuration that the process has been waiting for, with the first agent.
func (s *startingProcess) unblock() {
	s.Helper()
	_, err := s.config.Write(s.configFor(0))
	require.NoError(s, err)
	require.NoError(s, s.config.Close())
}

// writeConfig writes a configuration with one of the agents to a file.
func (s *startingProcess) writeConfig(agent int) {
	s.Helper()
	require.NoError(s, os.WriteFile(s.configPath, s.configFor(agent), 0o600))
}

func (s *startingProcess) configFor(agent int) []byte {
	s.Helper()
	return configWithAgent(s.T, s.agents[agent].Addr().String())
}

// waitForAgent waits until the process has connected to one of the agents.
func (s *startingProcess) waitForAgent(agent int) {
	s.Helper()
	require.NoError(s, s.agents[agent].SetDeadline(time.Now().Add(testTimeout)))
	acceptServer(s.T, s.agents[agent])
}

func (s *startingProcess) signal(sig syscall.Signal) {
	s.Helper()
	require.NoError(s, s.cmd.Process.Signal(sig))
}

// requireTerminates sends SIGTERM, after which the process must end with status 0.
func (s *startingProcess) requireTerminates() {
	s.Helper()
	s.signal(syscall.SIGTERM)
	require.NoError(s, s.cmd.Wait())
}

// Signals for a new configuration and for the counters that come while the process reads its configuration don't end
// it: once it has started it reads the new one. Each of them used to end the process.
func TestReloadDuringStart(t *testing.T) {
	for _, order := range [][]syscall.Signal{{syscall.SIGHUP, syscall.SIGUSR1}, {syscall.SIGUSR1, syscall.SIGHUP}} {
		starting := startBlocked(t)
		for _, sig := range order {
			starting.signal(sig)
		}
		require.NoError(t, os.Remove(starting.configPath)) // the pipe
		starting.writeConfig(1)
		starting.unblock()
		starting.waitForAgent(1)
		starting.requireTerminates()
	}
}

// SIGTERM before the configuration is read and after: the process ends by itself with status 0. Before, it used to be
// killed by the signal; one whose configuration never comes must end as well.
func TestTermDuringStart(t *testing.T) {
	for _, read := range []bool{false, true} {
		starting := startBlocked(t)
		if read {
			starting.unblock()
			starting.waitForAgent(0)
		}
		starting.requireTerminates()
	}
}

// A log whose reader is gone used to end the process at the next line.
func TestLogWithoutReader(t *testing.T) {
	starting := newStartingProcess(t)
	starting.writeConfig(0)
	read, write, err := os.Pipe()
	require.NoError(t, err)
	require.NoError(t, read.Close())
	starting.cmd.Stderr = write
	require.NoError(t, starting.cmd.Start())
	require.NoError(t, write.Close())
	starting.waitForAgent(0) // it has logged by then where it listens
	starting.requireTerminates()
}
