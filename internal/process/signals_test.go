package process

import (
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// Signals of the process arrive, each where it is handled, and those that come during the start wait. A termination is
// not lost behind others that have filled their channel.
func TestCatch(t *testing.T) {
	signals := Catch()
	t.Cleanup(func() {
		signal.Stop(signals.control)
		signal.Stop(signals.terminate)
		signal.Reset(syscall.SIGPIPE)
	})
	delivered := make(chan os.Signal, 2*controlSignals)
	signal.Notify(delivered, syscall.SIGUSR1)
	t.Cleanup(func() { signal.Stop(delivered) })
	send := func(sig syscall.Signal) {
		require.NoError(t, syscall.Kill(os.Getpid(), sig))
	}
	for _, sig := range []syscall.Signal{syscall.SIGHUP, syscall.SIGUSR1} {
		send(sig)
		require.Equal(t, sig, receive(t, signals.control))
	}
	receive(t, delivered)
	for range 2 * controlSignals {
		send(syscall.SIGUSR1)
		receive(t, delivered)
	}
	require.Len(t, signals.control, controlSignals)
	for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT} {
		send(sig)
		require.Equal(t, sig, receive(t, signals.terminate))
	}
}

// A termination ends the wait for a configuration that nobody finishes writing.
func TestTerminationDuringLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, syscall.Mkfifo(path, 0o600))
	signals := &Signals{terminate: make(chan os.Signal, 1)}
	signals.terminate <- syscall.SIGTERM
	conf, err := signals.Load(path)
	require.Nil(t, conf)
	require.ErrorIs(t, err, ErrStopped)
	writer, err := os.OpenFile(path, os.O_WRONLY, 0) // returns once the file is being read
	require.NoError(t, err)
	require.NoError(t, writer.Close()) // which ends the reader that was left behind
}

// Without a termination Load returns the configuration, or what is wrong with it.
func TestLoad(t *testing.T) {
	signals := &Signals{terminate: make(chan os.Signal, 1)}
	conf, err := signals.Load("../config/testdata/config.json")
	require.NoError(t, err)
	require.Equal(t, "n3", conf.Name)
	_, err = signals.Load(filepath.Join(t.TempDir(), "absent.json"))
	require.ErrorIs(t, err, os.ErrNotExist)
}
