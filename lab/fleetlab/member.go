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

// Member is one server of the fleet and, while it runs, its process. Its methods may be called from any goroutine.
type Member struct {
	Name, Zone       string
	FrontAddr        string // for front ends
	ConsoleAddr      string // for operators
	GossipAddr       string // advertised to the other members, at the relay
	GossipListenAddr string // of the process itself

	lab       *Lab
	number    int
	dir       string // of its files
	agentAddr string

	mu        sync.Mutex
	cmd       *exec.Cmd     // nil while no process runs
	exited    chan struct{} // closed after the end of the last process; nil before the first
	agent     *fakes.Agent  // of the last process; nil before the first
	starts    int
	clockSkew time.Duration // of its next process
}

const killSignal = syscall.SIGKILL

// signalStates are the states of a process that signals lead to.
var signalStates = map[syscall.Signal]history.ProcessState{
	killSignal:      history.ProcessKilled,
	syscall.SIGSTOP: history.ProcessPaused,
	syscall.SIGCONT: history.ProcessResumed,
	syscall.SIGTERM: history.ProcessTerminating,
	syscall.SIGHUP:  history.ProcessReloading,
}

// Start starts a process of the member, and an agent for it. It fails if one runs already. The process outlives ctx.
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
	go func() { _ = agent.Serve(ln) }() // until awaitExit closes ln
	cmd, err := m.startProcess(ctx)
	if err != nil {
		_ = ln.Close() // nothing has connected to it
		return err
	}
	m.starts++
	m.cmd = cmd
	m.exited = make(chan struct{})
	m.logState(history.ProcessStarted, cmd.Process.Pid)
	go m.awaitExit(cmd, ln, m.exited)
	return nil
}

// startProcess starts the program, with its output in the file log.
func (m *Member) startProcess(ctx context.Context) (*exec.Cmd, error) {
	output, err := os.OpenFile(filepath.Join(m.dir, logFile), os.O_CREATE|os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return nil, fmt.Errorf("log of %s: %w", m.Name, err)
	}
	defer func() { _ = output.Close() }()                                                 // the process has a descriptor of its own
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

// awaitExit waits for the end of a process and ends its agent.
func (m *Member) awaitExit(cmd *exec.Cmd, agentListener net.Listener, exited chan<- struct{}) {
	err := cmd.Wait()
	state := history.ProcessEnded
	var exit *exec.ExitError
	if errors.As(err, &exit) && exit.ExitCode() > 0 {
		state = history.ProcessFailed // by itself: its log says why
	}
	m.mu.Lock()
	m.cmd = nil
	agent := m.agent
	m.mu.Unlock()
	_ = agentListener.Close() // no process is left that would connect
	agent.Disconnect()
	m.logState(state, 0)
	close(exited)
}

func (m *Member) logState(state history.ProcessState, pid int) {
	m.lab.Log.Add(history.Event{Kind: history.ProcessChanged, Server: m.Name, Detail: string(state), Count: pid})
}

// Signal sends a signal to the member's process, if there is one.
func (m *Member) Signal(signal syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return
	}
	m.logState(signalStates[signal], 0)
	_ = m.cmd.Process.Signal(signal) // fails only if the process has just ended
}

// Kill kills the process and waits for its end.
func (m *Member) Kill() {
	m.Signal(killSignal)
	m.Wait()
}

// Wait waits for the end of the process, if there is one.
func (m *Member) Wait() {
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// Running reports whether a process runs.
func (m *Member) Running() bool { return m.PID() != 0 }

// PID returns the identifier of the process; 0 if none runs.
func (m *Member) PID() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return 0
	}
	return m.cmd.Process.Pid
}

// setAgentSlowdown makes the cores of the agent slower by factor, if there has been a process.
func (m *Member) setAgentSlowdown(factor float64) {
	m.mu.Lock()
	agent := m.agent
	m.mu.Unlock()
	if agent != nil {
		agent.SetSlowdown(factor)
	}
}

// restartWithClock starts the member's process again with another clock.
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
