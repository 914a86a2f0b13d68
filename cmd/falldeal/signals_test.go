package main

import (
	"fmt"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"falldeal/internal/config"
	"falldeal/internal/process"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
)

const testTimeout = 30 * time.Second // after which a test that hangs fails

// errorHook receives the error of each logged line of level error.
type errorHook chan string

func (errorHook) Levels() []logrus.Level { return []logrus.Level{logrus.ErrorLevel} }

func (h errorHook) Fire(entry *logrus.Entry) error {
	h <- fmt.Sprint(entry.Data[logrus.ErrorKey])
	return nil
}

// startServer runs a server in the test process with a configuration file that names the agent. It returns when the
// server has connected to the agent.
func startServer(t *testing.T, log *logrus.Logger, agent *net.TCPListener) (configPath string, served <-chan error) {
	t.Helper()
	configPath = filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(configPath, configWithAgent(t, agent.Addr().String()), 0o600))
	t.Setenv("GW_CONFIG", configPath)
	t.Setenv("GW_LISTEN", "")
	t.Setenv("GW_NAME", "")
	conf, err := config.Load("")
	require.NoError(t, err)
	done := make(chan error, 1)
	go func() { done <- process.Serve(process.Catch(), conf, "", log, process.Extension{}) }()
	acceptServer(t, agent) // the server catches signals before it connects
	return configPath, done
}

func sendSelf(t *testing.T, sig syscall.Signal) {
	t.Helper()
	require.NoError(t, syscall.Kill(os.Getpid(), sig))
}

// requireServed waits until a server has ended, which must be without an error.
func requireServed(t *testing.T, served <-chan error) {
	t.Helper()
	select {
	case err := <-served:
		require.NoError(t, err)
	case <-time.After(testTimeout):
		t.Fatal("SIGTERM has not ended the server")
	}
}

// SIGHUP must apply a changed configuration: the server connects to the new agent. An invalid file must be logged
// with the invalid key and change nothing. Neither may end the server.
func TestReloadAppliesOnlyValidConfiguration(t *testing.T) {
	log, _ := test.NewNullLogger()
	failed := make(chan string, 1)
	log.AddHook(errorHook(failed))
	var agents [3]*net.TCPListener
	for i := range agents {
		agents[i] = listenAsAgent(t)
	}
	configPath, served := startServer(t, log, agents[0])
	reload := func(agentAddr string) {
		require.NoError(t, os.WriteFile(configPath, configWithAgent(t, agentAddr), 0o600))
		sendSelf(t, syscall.SIGHUP)
	}
	reload(agents[1].Addr().String())
	acceptServer(t, agents[1])
	reload("nowhere")
	require.Contains(t, <-failed, "agent")
	reload(agents[2].Addr().String())
	acceptServer(t, agents[2])
	sendSelf(t, syscall.SIGTERM)
	requireServed(t, served)
}

// Guards against a SIGTERM that is dropped because earlier signals have filled the channel of the signal handler; the
// server was then killed instead of drained. Here the signals arrive while the server reads a configuration from a
// pipe that nobody writes to.
func TestTerminationAfterManyOtherSignals(t *testing.T) {
	log, _ := test.NewNullLogger()
	configPath, served := startServer(t, log, listenAsAgent(t))
	require.NoError(t, os.Remove(configPath))
	require.NoError(t, syscall.Mkfifo(configPath, 0o600))
	delivered := make(chan os.Signal, 10)
	signal.Notify(delivered, syscall.SIGHUP, syscall.SIGUSR1)
	defer signal.Stop(delivered)
	send := func(sig syscall.Signal) {
		sendSelf(t, sig)
		require.Equal(t, sig, <-delivered)
	}
	send(syscall.SIGHUP)
	writer, err := os.OpenFile(configPath, os.O_WRONLY, 0) // blocks until the server opens the file
	require.NoError(t, err)
	for range 10 {
		send(syscall.SIGUSR1)
	}
	terminated := make(chan os.Signal, 1)
	signal.Notify(terminated, syscall.SIGTERM)
	defer signal.Stop(terminated)
	sendSelf(t, syscall.SIGTERM)
	<-terminated
	require.NoError(t, writer.Close())
	requireServed(t, served)
}
