package process

import (
	"errors"
	"os"
	"os/signal"
	"syscall"

	"falldeal/internal/config"
)

// controlSignalCapacity is the number of control signals that may wait to be handled.
const controlSignalCapacity = 4

// Signals holds the signals that this process has received and not handled yet.
type Signals struct {
	terminate chan os.Signal // SIGTERM, SIGINT
	control   chan os.Signal // SIGUSR1, SIGHUP
}

// Catch starts to receive signals. It must be the first call of a program that serves: before it, even SIGUSR1 and SIGHUP
// end the process. Signals that arrive before the server runs wait in their channels; a termination signal also ends Load.
func Catch() *Signals {
	// A signal is dropped if its channel is full. Terminations have their own channel, so that control signals that wait
	// cannot cause one to be dropped.
	signals := &Signals{terminate: make(chan os.Signal, 1), control: make(chan os.Signal, controlSignalCapacity)}
	signal.Notify(signals.control, syscall.SIGUSR1, syscall.SIGHUP)
	signal.Notify(signals.terminate, syscall.SIGTERM, syscall.SIGINT)
	signal.Ignore(syscall.SIGPIPE) // a log line would otherwise end the process once the reader of the log has gone
	return signals
}

// ErrStopped reports a termination signal that arrived before the server was started.
var ErrStopped = errors.New("terminated before the start was complete")

// Load is config.Load, but returns ErrStopped if a termination signal arrives first. The goroutine that reads the file is
// then left behind: the read may never return, but the process ends.
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
