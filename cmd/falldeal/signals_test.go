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

// errorHook receives the errors that are logged.
type errorHook chan string

func (errorHook) Levels() []logrus.Level { return []logrus.Level{logrus.ErrorLevel} }

func (h errorHook) Fire(entry *logrus.Entry) error {
	h <- fmt.Sprint(entry.Data[logrus.ErrorKey])
	return nil
}

// startServer serves in the test's own process, with a configuration file that names that agent, and returns when the
// server has connected to it.
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
	acceptServer(t, agent) // signals are caught by then
	return configPath, done
}

func sendSelf(t *testing.T, sig syscall.Signal) {
	t.Helper()
	require.NoError(t, syscall.Kill(os.Getpid(), sig))
}

// requireServed waits for the end of a server, which must be without an error.
func requireServed(t *testing.T, served <-chan error) {
	t.Helper()
	select {
	case err := <-served:
		require.NoError(t, err)
	case <-time.After(testTimeout):
		t.Fatal("SIGTERM has not ended the server")
	}
}

// On SIGHUP the file is read again: the server connects to the agent's new address. A bad file is logged with the key
// at fault and changes nothing. Neither ends the server; SIGTERM does.
func TestReload(t *testing.T) {
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

// SIGTERM is carried out behind other signals, here while the server reads a configuration that nobody finishes
// writing. It used to be dropped where others had filled the channel, and the process was killed in the end.
func TestTermBehindOtherSignals(t *testing.T) {
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
	writer, err := os.OpenFile(configPath, os.O_WRONLY, 0) // returns once the file is being read
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
