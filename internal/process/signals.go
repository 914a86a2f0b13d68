package process

import (
	"errors"
	"os"
	"os/signal"
	"syscall"

	"falldeal/internal/config"
)

// Signals are those that this process has been sent and has not dealt with.
type Signals struct {
	terminate chan os.Signal // SIGTERM, SIGINT
	control   chan os.Signal
}

// Catch is the first thing that a program which serves does: a signal that comes before would end the process, be it one
// that asks for the counters only, and a new configuration told of before the file is read must not be missed. What comes
// during the start is dealt with after it.
func Catch() *Signals {
	// A signal that finds its channel full is dropped: one to leave must not be because others wait.
	signals := &Signals{terminate: make(chan os.Signal, 1), control: make(chan os.Signal, 4)}
	signal.Notify(signals.control, syscall.SIGUSR1, syscall.SIGHUP)
	signal.Notify(signals.terminate, syscall.SIGTERM, syscall.SIGINT)
	signal.Ignore(syscall.SIGPIPE) // of a log that nobody reads any more
	return signals
}

// ErrStopped says that the process was told to leave before it had anything to leave.
var ErrStopped = errors.New("told to leave before the start was over")

// Load is config.Load for a process that is told to leave meanwhile: then it returns ErrStopped.
func (c *Signals) Load(path string) (*config.Config, error) {
	var loaded *config.Config
	loadDone := make(chan error, 1)
	go func() {
		var err error
		loaded, err = config.Load(path)
		loadDone <- err
	}()
	select {
	case <-c.terminate:
		return nil, ErrStopped
	case err := <-loadDone:
		return loaded, err
	}
}
