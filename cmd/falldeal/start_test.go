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

	"github.com/stretchr/testify/require"
)

// asProgram has this program be falldeal instead of its tests.
const asProgram = "FALLDEAL_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// starting is a process of its own that has been started, and two agents that it may be led to.
type starting struct {
	*testing.T
	cmd    *exec.Cmd
	path   string // of its configuration
	agents [2]net.Listener
}

// configured returns the sample configuration with one of the agents.
func (s *starting) configured(agent int) []byte {
	text, err := os.ReadFile(sample)
	require.NoError(s, err)
	return []byte(strings.NewReplacer("127.0.0.1:4400", s.agents[agent].Addr().String(), ":5050", ":0",
		`"stop_ms": 3200`, `"stop_ms": 100`).Replace(string(text)))
}

func newStarting(t *testing.T) *starting {
	s := &starting{T: t, path: filepath.Join(t.TempDir(), "config.json")}
	for i := range s.agents {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { ln.Close() })
		s.agents[i] = ln
	}
	s.cmd = exec.Command(os.Args[0], "serve", "--config", s.path)
	s.cmd.Env = append(os.Environ(), asProgram+"=1", "GW_LISTEN=", "GW_NAME=", "GW_CONSOLE=")
	t.Cleanup(func() {
		if s.cmd.Process != nil && s.cmd.ProcessState == nil {
			_ = s.cmd.Process.Kill()
			_ = s.cmd.Wait()
		}
	})
	return s
}

// hold starts the process and holds it where it reads its configuration, of which nothing comes until the file that is
// returned is written to.
func (s *starting) hold() *os.File {
	require.NoError(s, syscall.Mkfifo(s.path, 0o600))
	require.NoError(s, s.cmd.Start())
	half, err := os.OpenFile(s.path, os.O_WRONLY, 0) // returns once the other side reads
	require.NoError(s, err)
	s.Cleanup(func() { half.Close() })
	return half
}

// reaches waits until the process has a link to that agent.
func (s *starting) reaches(agent int) {
	s.Helper()
	require.NoError(s, s.agents[agent].(*net.TCPListener).SetDeadline(time.Now().Add(30*time.Second)))
	nc, err := s.agents[agent].Accept()
	require.NoError(s, err)
	s.Cleanup(func() { nc.Close() })
}

func (s *starting) send(sig syscall.Signal) { require.NoError(s, s.cmd.Process.Signal(sig)) }

// A process is told of a new configuration, and asked for its counters, while it reads the old one: it goes on, and takes
// the new one over once it has started. Each of these signals ended it.
func TestReloadAgainstTheStart(t *testing.T) {
	for _, order := range [][]syscall.Signal{{syscall.SIGHUP, syscall.SIGUSR1}, {syscall.SIGUSR1, syscall.SIGHUP}} {
		s := newStarting(t)
		half := s.hold()
		for _, sig := range order {
			s.send(sig)
		}
		require.NoError(t, os.Remove(s.path))
		require.NoError(t, os.WriteFile(s.path, s.configured(1), 0o600))
		_, err := half.Write(s.configured(0))
		require.NoError(t, err)
		require.NoError(t, half.Close())
		s.reaches(1)
		s.send(syscall.SIGTERM)
		require.NoError(t, s.cmd.Wait())
	}
}

// SIGTERM comes before the configuration is read, or after: the process ends by itself either way, and in good order.
// Before, it was killed with the status of a crash; one whose configuration never comes must end as well.
func TestTermAgainstTheStart(t *testing.T) {
	for _, read := range []bool{false, true} {
		s := newStarting(t)
		half := s.hold()
		if read {
			_, err := half.Write(s.configured(0))
			require.NoError(t, err)
			require.NoError(t, half.Close())
			s.reaches(0)
		}
		s.send(syscall.SIGTERM)
		require.NoError(t, s.cmd.Wait())
	}
}

// Nobody reads the log any more: what is written to it then ended the process.
func TestLogThatNobodyReads(t *testing.T) {
	s := newStarting(t)
	require.NoError(t, os.WriteFile(s.path, s.configured(0), 0o600))
	read, write, err := os.Pipe()
	require.NoError(t, err)
	require.NoError(t, read.Close())
	s.cmd.Stderr = write
	require.NoError(t, s.cmd.Start())
	require.NoError(t, write.Close())
	s.reaches(0) // it has said by then where it listens
	s.send(syscall.SIGTERM)
	require.NoError(t, s.cmd.Wait())
}
