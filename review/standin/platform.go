package standin

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
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"
)

const (
	configFile  = "config.json"
	logFile     = "log.txt"
	configMode  = 0o600
	readyPause  = 20 * time.Millisecond // between two questions whether a process is ready
	killTimeout = 5 * time.Second       // after which a process that was told to end is killed
)

// runCommand returns the key `run` of the deploy file.
func runCommand(root string) string {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml")) //nolint:gosec // the repository's file
	Must(err)
	var deploy struct {
		Run string `toml:"run"`
	}
	Must(toml.Unmarshal(text, &deploy))
	return deploy.Run
}

// Start says how a process of an image server is started.
type Start struct {
	Root    string   // of the repository
	Folder  string   // temporary folder of this process: configuration and log
	TempDir string   // $TMPDIR, which the processes of one image server share
	Config  string   // text of the configuration
	Console string   // second address
	Socket  *os.File // on which the platform listens for the image server, passed on as descriptor 3; nil = none
}

// Process is a process of an image server.
type Process struct {
	cmd    *exec.Cmd
	exited chan struct{} // closed when the process has ended
}

// launch starts a process with the command of the deploy file, as the platform does.
func (s *Start) launch() *Process {
	path := filepath.Join(s.Folder, configFile)
	Must(os.WriteFile(path, []byte(s.Config), configMode))
	output, err := os.Create(filepath.Join(s.Folder, logFile)) //nolint:gosec // in the temporary folder
	Must(err)
	defer func() { _ = output.Close() }() // the process has its own descriptor
	//nolint:gosec // the command is that of the deploy file
	cmd := exec.CommandContext(context.Background(), "sh", "-c", runCommand(s.Root))
	cmd.Dir = s.Root
	cmd.Stdout = output
	cmd.Stderr = output
	cmd.Env = append(os.Environ(), "GW_CONFIG="+path, "TMPDIR="+s.TempDir, "GW_NAME=", "GW_LISTEN=", "GW_CONSOLE="+s.Console)
	if s.Socket != nil {
		cmd.ExtraFiles = []*os.File{s.Socket}
		cmd.Env = append(cmd.Env, "GW_INHERITED_FD=3")
	}
	Must(cmd.Start())
	process := &Process{cmd: cmd, exited: make(chan struct{})}
	go func() {
		_ = cmd.Wait() // the log of the process says why it has ended
		close(process.exited)
	}()
	return process
}

// Signal sends a signal.
func (p *Process) Signal(signal syscall.Signal) {
	_ = p.cmd.Process.Signal(signal) // fails only if the process has ended
}

// stop ends the process, by force if it does not end by itself.
func (p *Process) stop() {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(killTimeout):
		p.Signal(syscall.SIGKILL)
		<-p.exited
	}
}

// waitReady waits until GET /ready on a console says yes.
func waitReady(console string, timeout time.Duration) {
	client := http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(readyPause) {
		response, err := client.Get("http://" + console + "/ready") //nolint:noctx // the client has a time limit
		if err != nil {
			continue
		}
		_ = response.Body.Close() // nothing is read from it
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	Must(fmt.Errorf("%w: a process is not ready after %v", ErrCase, timeout))
}

// FreeAddress returns a loopback address with a port that is free.
func FreeAddress() string {
	listener := Listen()
	defer closeQuietly(listener)
	return listener.Addr().String()
}

// Listen listens on a free port of the loopback address.
func Listen() *net.TCPListener {
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	Must(err)
	return listener
}

// accept handles each connection on a goroutine of its own until the listener is closed.
func accept(listener net.Listener, handle func(net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go handle(conn)
	}
}

// closeQuietly closes what is used no more: nothing can be done about an error.
func closeQuietly(closer interface{ Close() error }) { _ = closer.Close() }

// Memory returns the memory of a process in MB: its own, and its part of what it shares with other processes, files too.
func (p *Process) Memory() float64 {
	// What the kernel tells of a process: see proc(5), smaps_rollup.
	path := filepath.Join(string(filepath.Separator), "proc", strconv.Itoa(p.cmd.Process.Pid), "smaps_rollup")
	text, err := os.ReadFile(path) //nolint:gosec // of a process that the case has started
	if err != nil {
		return 0 // it has ended
	}
	for line := range strings.Lines(string(text)) {
		var kilobytes float64
		if _, err := fmt.Sscanf(line, "Pss: %f kB", &kilobytes); err == nil {
			return kilobytes / 1024
		}
	}
	return 0 // it is ending
}
