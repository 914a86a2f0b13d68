package process

import (
	"errors"
	"os"
	"os/signal"
	"syscall"

	"falldeal/internal/config"
)

// controlSignals is how many signals may wait that do not end the process.
const controlSignals = 4

// Signals holds the signals that this process has been sent and has not handled.
type Signals struct {
	terminate chan os.Signal // SIGTERM, SIGINT
	control   chan os.Signal // SIGUSR1, SIGHUP
}

// Catch must be the first thing that a program which serves does: until then even SIGUSR1 ends the process, and a
// SIGHUP that announces a new configuration would be missed. Signals that come during the start are handled after it.
func Catch() *Signals {
	// A signal that finds its channel full is dropped. That must not happen to a termination because others wait.
	signals := &Signals{terminate: make(chan os.Signal, 1), control: make(chan os.Signal, controlSignals)}
	signal.Notify(signals.control, syscall.SIGUSR1, syscall.SIGHUP)
	signal.Notify(signals.terminate, syscall.SIGTERM, syscall.SIGINT)
	signal.Ignore(syscall.SIGPIPE) // from a log whose reader is gone
	return signals
}

// ErrStopped reports a termination signal before the server was started.
var ErrStopped = errors.New("terminated before the start was complete")

// Load is config.Load, but returns ErrStopped if a termination signal comes meanwhile. The goroutine that reads the
// file is then left behind: the read may never end, and the process does.
func (s *Signals) Load(path string) (*config.Config, error) {
	type result struct {
		conf *config.Config
		err  error
	}
	loaded := make(chan result, 1)
	go func() {
		conf, err := config.Load(path)
		loaded <- result{conf, err}
	}()
	select {
	case <-s.terminate:
		return nil, ErrStopped
	case result := <-loaded:
		return result.conf, result.err
	}
}
