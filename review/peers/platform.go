package peers

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Server is a process of an image server, started with the command of the deploy file.
type Server struct {
	At     Addresses
	Config string // path of its configuration
	Log    string // path of its log

	process *exec.Cmd
	ended   chan struct{}
	err     error
}

// FreeAddress returns a loopback address at which nobody listens.
func FreeAddress() (string, error) {
	ln, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp4", loopback)
	if err != nil {
		return "", fmt.Errorf("free port: %w", err)
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// RunCommand returns the line "run" of the deploy file.
func RunCommand(root string) (string, error) {
	content, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml")) //nolint:gosec // the case names the folder
	if err != nil {
		return "", fmt.Errorf("deploy file: %w", err)
	}
	var deploy struct{ Run string }
	if err := toml.Unmarshal(content, &deploy); err != nil {
		return "", fmt.Errorf("deploy file: %w", err)
	}
	return deploy.Run, nil
}

// Start starts an image server in folder, which holds its files and is its TMPDIR. inherited is the listening socket
// that it gets as descriptor 3; nil: none.
func Start(root, folder string, settings *Settings, at Addresses, inherited *os.File) (*Server, error) {
	command, err := RunCommand(root)
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("%s-%d", at.Name, time.Now().UnixNano())
	server := &Server{
		At: at, Config: filepath.Join(folder, name+".json"), Log: filepath.Join(folder, name+".log"),
		ended: make(chan struct{}),
	}
	if err := server.Write(settings, at); err != nil {
		return nil, err
	}
	log, err := os.Create(server.Log)
	if err != nil {
		return nil, fmt.Errorf("log: %w", err)
	}
	server.process = exec.Command("/bin/sh", "-c", command) //nolint:gosec,noctx // the deploy file says what to run
	server.process.Dir = root
	server.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // also where the case is killed
	server.process.Stdout, server.process.Stderr = log, log
	server.process.Env = append(os.Environ(), "GW_CONFIG="+server.Config, "GW_NAME="+at.Name, "GW_LISTEN="+at.Listen,
		"TMPDIR="+folder)
	if at.Console != "" {
		server.process.Env = append(server.process.Env, "GW_CONSOLE="+at.Console)
	}
	if inherited != nil {
		server.process.ExtraFiles = []*os.File{inherited}
		server.process.Env = append(server.process.Env, "GW_INHERITED_FD=3")
	}
	if err := server.process.Start(); err != nil {
		return nil, fmt.Errorf("start: %w", err)
	}
	go func() {
		server.err = server.process.Wait()
		close(server.ended)
	}()
	return server, nil
}

// Write writes the configuration of the image server anew.
func (s *Server) Write(settings *Settings, at Addresses) error {
	s.At = at
	text, err := settings.Config(at)
	if err != nil {
		return err
	}
	if err := os.WriteFile(s.Config+".new", text, 0o600); err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	if err := os.Rename(s.Config+".new", s.Config); err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	return nil
}

// Signal sends a signal.
func (s *Server) Signal(signal syscall.Signal) { _ = s.process.Process.Signal(signal) }

// Ended is closed when the process has ended.
func (s *Server) Ended() <-chan struct{} { return s.ended }

// ExitError returns how the process has ended; nil: well.
func (s *Server) ExitError() error {
	<-s.ended
	return s.err
}

// Alive reports whether the process runs.
func (s *Server) Alive() bool {
	select {
	case <-s.ended:
		return false
	default:
		return true
	}
}

// Kill ends the process, if it still runs, and waits for its end.
func (s *Server) Kill() {
	s.Signal(syscall.SIGCONT)
	s.Signal(syscall.SIGKILL)
	<-s.ended
}

// ErrNotReady says that an image server did not get ready in time.
var ErrNotReady = errors.New("image server is not ready")

// WaitHealthy waits until the image server answers a health check well.
func (s *Server) WaitHealthy(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end) && s.Alive(); time.Sleep(20 * time.Millisecond) {
		if Healthy(s.At.Listen) {
			return nil
		}
	}
	return ErrNotReady
}

// Ready asks the console whether the process serves.
func (s *Server) Ready() bool {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + s.At.Console + "/ready") //nolint:noctx // the client has a timeout
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// WaitReady waits until the console says that the process serves.
func (s *Server) WaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end) && s.Alive(); time.Sleep(20 * time.Millisecond) {
		if s.Ready() {
			return nil
		}
	}
	return ErrNotReady
}

// Inherit opens the listening socket that the platform holds for image servers.
func Inherit() (address string, file *os.File, err error) {
	ln, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp4", loopback)
	if err != nil {
		return "", nil, fmt.Errorf("inherited socket: %w", err)
	}
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		return "", nil, errors.New("inherited socket: no TCP")
	}
	file, err = tcp.File()
	if err != nil {
		return "", nil, fmt.Errorf("inherited socket: %w", err)
	}
	address = ln.Addr().String()
	_ = ln.Close()
	return address, file, nil
}

// Panicked returns the line of the log with which the program crashed, or "".
func (s *Server) Panicked() string {
	content, _ := os.ReadFile(s.Log)
	for line := range strings.Lines(string(content)) {
		if strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") {
			return strings.TrimSpace(line)
		}
	}
	return ""
}

// PID returns the number of the process.
func (s *Server) PID() int { return s.process.Process.Pid }

// lines returns the lines of the log that contain one of the words.
func (s *Server) lines(words []string) (found []string) {
	content, _ := os.ReadFile(s.Log)
	for line := range strings.Lines(string(content)) {
		for _, word := range words {
			if strings.Contains(line, word) {
				found = append(found, strings.TrimSpace(line))
				break
			}
		}
	}
	return found
}

// ResidentKB returns the memory of the process as the kernel counts it, with its files, in KB.
func (s *Server) ResidentKB() (resident int) {
	content, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.PID()))
	for line := range strings.Lines(string(content)) {
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &resident); err == nil {
			return resident
		}
	}
	return 0
}
