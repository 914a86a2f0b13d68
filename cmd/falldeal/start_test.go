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

// startingProcess is a server in its own process, and two agents that its configuration may name.
type startingProcess struct {
	*testing.T
	cmd        *exec.Cmd
	configPath string
	config     *os.File // after startBlocked: write end of the pipe that the process reads its configuration from
	agents     [2]*net.TCPListener
}

// newStartingProcess prepares a process. If it still runs at the end of the test, it is killed.
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

// startBlocked starts a process that blocks while it reads its configuration, until unblock.
func startBlocked(t *testing.T) *startingProcess {
	t.Helper()
	starting := newStartingProcess(t)
	require.NoError(t, syscall.Mkfifo(starting.configPath, 0o600))
	require.NoError(t, starting.cmd.Start())
	config, err := os.OpenFile(starting.configPath, os.O_WRONLY, 0) // blocks until the process opens the file
	require.NoError(t, err)
	t.Cleanup(func() { _ = config.Close() }) // fails if unblock has already closed it
	starting.config = config
	return starting
}

// unblock writes the configuration that the process waits for. It names the first agent.
func (s *startingProcess) unblock() {
	s.Helper()
	_, err := s.config.Write(s.configFor(0))
	require.NoError(s, err)
	require.NoError(s, s.config.Close())
}

// writeConfig writes a configuration file that names the agent with the given index.
func (s *startingProcess) writeConfig(agent int) {
	s.Helper()
	require.NoError(s, os.WriteFile(s.configPath, s.configFor(agent), 0o600))
}

func (s *startingProcess) configFor(agent int) []byte {
	s.Helper()
	return configWithAgent(s.T, s.agents[agent].Addr().String())
}

// waitForAgent waits until the process has connected to the agent with the given index.
func (s *startingProcess) waitForAgent(agent int) {
	s.Helper()
	require.NoError(s, s.agents[agent].SetDeadline(time.Now().Add(testTimeout)))
	acceptServer(s.T, s.agents[agent])
}

func (s *startingProcess) signal(sig syscall.Signal) {
	s.Helper()
	require.NoError(s, s.cmd.Process.Signal(sig))
}

// requireTerminates sends SIGTERM. The process must then exit with status 0.
func (s *startingProcess) requireTerminates() {
	s.Helper()
	s.signal(syscall.SIGTERM)
	require.NoError(s, s.cmd.Wait())
}

// Guards against a SIGHUP or SIGUSR1 that ends a process while it reads its configuration. The process must start,
// and then load the changed configuration.
func TestReloadDuringStart(t *testing.T) {
	for _, order := range [][]syscall.Signal{{syscall.SIGHUP, syscall.SIGUSR1}, {syscall.SIGUSR1, syscall.SIGHUP}} {
		starting := startBlocked(t)
		for _, sig := range order {
			starting.signal(sig)
		}
		require.NoError(t, os.Remove(starting.configPath)) // removes the pipe
		starting.writeConfig(1)
		starting.unblock()
		starting.waitForAgent(1)
		starting.requireTerminates()
	}
}

// Guards against a process that SIGTERM kills while it reads its configuration. It must exit with status 0, before as
// well as after it has read the configuration.
func TestTerminationDuringStart(t *testing.T) {
	for _, read := range []bool{false, true} {
		starting := startBlocked(t)
		if read {
			starting.unblock()
			starting.waitForAgent(0)
		}
		starting.requireTerminates()
	}
}

// Guards against a process that ends when it logs to a pipe whose reader has closed it.
func TestClosedLogPipeDoesNotEndProcess(t *testing.T) {
	starting := newStartingProcess(t)
	starting.writeConfig(0)
	read, write, err := os.Pipe()
	require.NoError(t, err)
	require.NoError(t, read.Close())
	starting.cmd.Stderr = write
	require.NoError(t, starting.cmd.Start())
	require.NoError(t, write.Close())
	starting.waitForAgent(0) // by then it has logged its listen address
	starting.requireTerminates()
}
