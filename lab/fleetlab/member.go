package fleetlab

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"falldeal/lab/fakes"
	"falldeal/lab/history"
)

// Member is one server of the fleet, and its process while one runs. Its methods are safe for concurrent use.
type Member struct {
	Name, Zone       string
	FrontAddr        string // listen address for front ends
	ConsoleAddr      string // listen address of the operators' console
	GossipAddr       string // gossip address advertised to the other members, an endpoint of the relay
	GossipListenAddr string // gossip address that the process listens on

	lab       *Lab
	number    int    // index in Lab.Members
	dir       string // directory of the member's files
	agentAddr string // address of the member's agent

	// mu guards the fields below.
	mu        sync.Mutex
	cmd       *exec.Cmd     // running process; nil while there is none
	exited    chan struct{} // closed when the last process has exited; nil before the first start
	agent     *fakes.Agent  // agent of the last process; nil before the first start
	starts    int           // number of processes started
	clockSkew time.Duration // clock offset of the next process
}

const killSignal = syscall.SIGKILL

// signalStates maps each signal to the process state that is logged when it is sent.
var signalStates = map[syscall.Signal]history.ProcessState{
	killSignal:      history.ProcessKilled,
	syscall.SIGSTOP: history.ProcessPaused,
	syscall.SIGCONT: history.ProcessResumed,
	syscall.SIGTERM: history.ProcessTerminating,
	syscall.SIGHUP:  history.ProcessReloading,
}

// Start starts the member's process and its agent. It fails if a process is already running. The process continues to
// run when ctx ends.
func (m *Member) Start(ctx context.Context) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		return fmt.Errorf("%s: a process is already running", m.Name)
	}
	ln, err := listenTCP(ctx, m.agentAddr)
	if err != nil {
		return fmt.Errorf("start agent of %s: %w", m.Name, err)
	}
	agent := m.newAgent()
	m.agent = agent
	go func() { _ = agent.Serve(ln) }() // ends when awaitExit closes ln
	cmd, err := m.startProcess(ctx)
	if err != nil {
		_ = ln.Close() // no process was started that connects to it
		return err
	}
	m.starts++
	m.cmd = cmd
	m.exited = make(chan struct{})
	m.logState(history.ProcessStarted, cmd.Process.Pid)
	go m.awaitExit(cmd, ln, m.exited)
	return nil
}

// startProcess starts the server program with its output appended to the member's log file.
func (m *Member) startProcess(ctx context.Context) (*exec.Cmd, error) {
	output, err := os.OpenFile(filepath.Join(m.dir, logFile), os.O_CREATE|os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return nil, fmt.Errorf("open log file of %s: %w", m.Name, err)
	}
	defer func() { _ = output.Close() }()                                                 // the process has its own descriptor
	cmd := exec.CommandContext(context.WithoutCancel(ctx), m.lab.options.Binary, "serve", //nolint:gosec // the path of falldeal
		"--config", filepath.Join(m.dir, configFile),
		"--operators", filepath.Join(m.dir, operatorsFile),
		"--log-level", m.lab.options.LogLevel)
	cmd.Stdout = output
	cmd.Stderr = output
	cmd.Env = append(os.Environ(), "GW_NAME=", "GW_LISTEN=", "GW_CONSOLE=", "GW_CONFIG=", "GW_INHERITED_FD=")
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", m.Name, err)
	}
	return cmd, nil
}

// awaitExit waits until the process exits, then stops its agent and closes exited.
func (m *Member) awaitExit(cmd *exec.Cmd, agentListener net.Listener, exited chan<- struct{}) {
	err := cmd.Wait()
	state := history.ProcessEnded
	var exit *exec.ExitError
	if errors.As(err, &exit) && exit.ExitCode() > 0 {
		state = history.ProcessFailed // the log file of the process has the reason
	}
	m.mu.Lock()
	m.cmd = nil
	agent := m.agent
	m.mu.Unlock()
	_ = agentListener.Close() // no process is left that connects to it
	agent.Disconnect()
	m.logState(state, 0)
	close(exited)
}

func (m *Member) logState(state history.ProcessState, pid int) {
	m.lab.Log.Add(history.Event{Kind: history.ProcessChanged, Server: m.Name, Detail: string(state), Count: pid})
}

// Signal sends a signal to the member's process. It does nothing if none is running.
func (m *Member) Signal(signal syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return
	}
	m.logState(signalStates[signal], 0)
	_ = m.cmd.Process.Signal(signal) // fails only if the process has just ended
}

// Kill kills the process and waits until it has exited.
func (m *Member) Kill() {
	m.Signal(killSignal)
	m.Wait()
}

// Wait waits until the process has exited. It returns at once if none is running.
func (m *Member) Wait() {
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// Running reports whether a process is running.
func (m *Member) Running() bool { return m.PID() != 0 }

// PID returns the process ID, or 0 if no process is running.
func (m *Member) PID() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return 0
	}
	return m.cmd.Process.Pid
}

// setAgentSlowdown slows the cores of the agent down by factor; 1 is normal speed. It does nothing before the first
// start.
func (m *Member) setAgentSlowdown(factor float64) {
	m.mu.Lock()
	agent := m.agent
	m.mu.Unlock()
	if agent != nil {
		agent.SetSlowdown(factor)
	}
}

// restartWithClock kills the member's process and starts it again with its clock offset by skew.
func (m *Member) restartWithClock(ctx context.Context, skew time.Duration) error {
	m.Kill()
	m.mu.Lock()
	m.clockSkew = skew
	m.mu.Unlock()
	if err := m.WriteOperatorsFile(m.lab.key); err != nil {
		return err
	}
	return m.Start(ctx)
}
