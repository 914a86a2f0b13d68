package process

import (
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// Each signal must arrive on the channel on which it is handled, and wait there until then. A termination must not be lost
// because control signals have filled their channel.
func TestSignalsArriveOnTheirChannels(t *testing.T) {
	signals := Catch()
	t.Cleanup(func() {
		signal.Stop(signals.control)
		signal.Stop(signals.terminate)
		signal.Reset(syscall.SIGPIPE)
	})
	delivered := make(chan os.Signal, 2*controlSignalCapacity)
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
	for range 2 * controlSignalCapacity {
		send(syscall.SIGUSR1)
		receive(t, delivered)
	}
	require.Len(t, signals.control, controlSignalCapacity)
	for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT} {
		send(sig)
		require.Equal(t, sig, receive(t, signals.terminate))
	}
}

// A termination must end the wait for a configuration file that is never completely written.
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
	require.NoError(t, writer.Close()) // ends the reader that was left behind
}

// Without a termination, Load must return the configuration or the error of reading it.
func TestLoadWithoutTermination(t *testing.T) {
	signals := &Signals{terminate: make(chan os.Signal, 1)}
	conf, err := signals.Load("../config/testdata/config.json")
	require.NoError(t, err)
	require.Equal(t, "n3", conf.Name)
	_, err = signals.Load(filepath.Join(t.TempDir(), "absent.json"))
	require.ErrorIs(t, err, os.ErrNotExist)
}
