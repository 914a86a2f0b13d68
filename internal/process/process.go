// Package process runs an image server as a process of the operating system: resource limits, sockets, signals and the
// console. All programs that serve use it; an Extension is what one of them adds.
package process

import (
	"context"
	"fmt"
	"math"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"falldeal/internal/config"
	"falldeal/internal/console"
	"falldeal/internal/logging"
	"falldeal/internal/msgpackrpc"
	"falldeal/internal/server"
	"falldeal/internal/sharelock"

	"github.com/sirupsen/logrus"
)

// locksSuffix makes the path of the process locks from that of the handover socket. It must not change, because processes of
// different versions share the file.
const locksSuffix = ".shares"

// process is an image server with its configuration, signals and extension. It belongs to the goroutine that calls run.
type process struct {
	signals   *Signals
	active    *config.Config // current configuration
	path      string         // of the configuration file, which is read again on SIGHUP
	log       *logrus.Logger
	server    *server.Server
	extension Extension
}

// Serve runs the server until it has drained, and returns the error that ended it, if any. SIGTERM and SIGINT start the
// drain. path is the file from which conf was read. After the event loop of the server has ended, Serve waits twice, each
// time for server.FinalWriteTimeout at most:
//
//   - until the server's connections are closed; if some are still open after that, Serve returns at once;
//   - until the extension has ended, whose context is cancelled after the first wait.
//
// The console ends with the extension's context, and Serve does not wait for it.
func Serve(signals *Signals, conf *config.Config, path string, log *logrus.Logger, extension Extension) error {
	limitCores(conf.Limits.Cores)
	locks, processes := openLocks(conf.HandoverPath, log)
	memory := newMemoryLimit(conf.Limits.MemoryMB)
	debug.SetMemoryLimit(memory.heapLimit(processes)) // there is nothing to free yet, as apply would
	front, err := listen(conf, logging.NewLimiter(log))
	if err != nil {
		return err
	}
	log.WithField("address", front.Addr().String()).Info("listening")
	for _, key := range conf.UnsupportedKeys {
		log.WithField("key", key).Info("configuration key ignored, not supported by the protocols")
	}
	created := newProcess(signals, conf, path, log, extension)
	created.server.ShareLimits(locks, processes, memory.apply)
	return created.run(front)
}

// newProcess returns a process whose server does not run yet.
func newProcess(
	signals *Signals, conf *config.Config, path string, log *logrus.Logger, extension Extension,
) *process {
	created := &process{
		signals:   signals,
		active:    conf,
		path:      path,
		log:       log,
		server:    server.New(conf, log),
		extension: extension,
	}
	extension.attach(created.server)
	return created
}

// run serves front until the server has drained, and returns the error that ended it, if any.
func (p *process) run(front server.Front) error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	if err := p.startConsole(ctx); err != nil {
		return err
	}
	serverDone := make(chan error, 1)
	go func() { serverDone <- p.server.Run(ctx, front) }()
	extensionDone := p.startExtension(ctx)

	finished, err := p.handleSignals(serverDone)
	if !finished {
		// The first wait has timed out. The extension's context ends when this function returns, and nothing waits for it.
		p.log.Warn("drain ended with connections open, exiting")
		return nil
	}
	stop()
	// The second wait: for the extension.
	select {
	case <-extensionDone:
	case <-time.After(server.FinalWriteTimeout):
	}
	return err
}

// limitCores makes the Go runtime use as many cores as the limit: whole ones, at least one.
func limitCores(cores float64) { runtime.GOMAXPROCS(max(int(math.Ceil(cores)), 1)) }

// openLocks opens the locks by which the processes of this image server count each other, and returns the number of
// processes. Without a path for a handover there are no others, and locks is nil. It is nil as well if they cannot be opened:
// processes then know of each other by their links.
func openLocks(handoverPath string, log *logrus.Logger) (locks *sharelock.Locks, processes int) {
	if handoverPath == "" {
		return nil, 1
	}
	locks, err := sharelock.Open(handoverPath + locksSuffix)
	if err != nil {
		log.WithError(err).Warn("process locks not opened, limits are divided once another process is linked")
		return nil, 1
	}
	seen, err := locks.Observe()
	if err != nil {
		log.WithError(err).Warn("other processes of this image server not counted")
		return locks, 1
	}
	return locks, seen.Alive
}

// listen opens the listener for front ends, or uses a listening socket that this process has inherited.
func listen(conf *config.Config, log *logging.Limiter) (*msgpackrpc.Listener, error) {
	maxConnections := conf.Limits.MaxFrontConnections()
	if conf.InheritedFD != 0 {
		return msgpackrpc.ListenInherited(conf.InheritedFD, maxConnections, log) //nolint:wrapcheck // the error says what was opened
	}
	return msgpackrpc.Listen(conf.Listen, maxConnections, log) //nolint:wrapcheck // the error says what was opened
}

// startConsole opens the console, if it has an address, and serves it until ctx ends.
func (p *process) startConsole(ctx context.Context) error {
	if p.active.Console == "" {
		return nil
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", p.active.Console)
	if err != nil {
		return fmt.Errorf("open console: %w", err)
	}
	instance := instanceWithMetrics{p.server, p.extension.AppendMetrics}
	go func() {
		err := console.Serve(ctx, listener, instance, logging.NewLimiter(p.log), p.extension.Pages...)
		if err != nil {
			p.log.WithError(err).Error("console stopped, the server continues")
		}
	}()
	return nil
}

// startExtension runs the extension until ctx ends. The returned channel is closed when the extension has ended.
func (p *process) startExtension(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	if p.extension.Run == nil {
		close(done)
		return done
	}
	go func() {
		defer close(done)
		if err := p.extension.Run(ctx); err != nil {
			p.log.WithError(err).Error("extension stopped, the server continues")
		}
	}()
	return done
}

// handleSignals handles signals until the server has finished, and returns its error. finished is false if connections
// are still open server.FinalWriteTimeout after the end of the event loop.
func (p *process) handleSignals(serverDone <-chan error) (finished bool, err error) {
	drained := p.server.Ended()
	var closeDeadline <-chan time.Time // nil until the event loop has ended
	for {
		select {
		case sig := <-p.signals.control:
			p.handleControl(sig)
		case <-p.signals.terminate:
			p.server.Drain()
		case <-drained:
			drained = nil
			closeDeadline = time.After(server.FinalWriteTimeout)
		case err := <-serverDone:
			return true, err
		case <-closeDeadline:
			return false, nil
		}
	}
}

// handleControl handles a signal that does not end the process.
func (p *process) handleControl(sig os.Signal) {
	switch sig {
	case syscall.SIGUSR1:
		p.server.LogCounters()
	case syscall.SIGHUP:
		p.reload()
	}
}

// reload reads the configuration again and applies it. If that fails, the server logs the error and keeps the current
// configuration.
func (p *process) reload() {
	if p.extension.Reload != nil {
		p.extension.Reload()
	}
	next, err := p.active.LoadNext(p.path)
	if err != nil {
		p.server.ReloadFailed(err)
		return
	}
	p.active = next
	p.server.Reload(next)
}
