// Package process runs an image server as a process: resource limits, sockets, signals and the console. The programs
// that serve share it; an Extension is what one of them adds.
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

	"github.com/sirupsen/logrus"
)

// heapLimitRatio is the part of the memory limit that the garbage collector is to keep the heap within.
const heapLimitRatio = 0.7

// process is an image server and what it runs with. The goroutine that calls run owns it.
type process struct {
	signals   *Signals
	active    *config.Config // the configuration in use
	path      string         // of the configuration's file, read again on SIGHUP
	log       *logrus.Logger
	server    *server.Server
	extension Extension
}

// Serve runs the server until it is drained, which SIGTERM and SIGINT start, and returns the error that ended it, if
// one did. path is the file that conf was read from. After the end of the server's loop the return is delayed by two
// waits, one after the other, of server.FinalWriteTimeout at most each:
//
//   - until the server's connections are closed; if they are still open after that, Serve returns at once;
//   - until the extension has ended, which it is asked to do when the first wait is over.
//
// The console ends with the extension's context, and is not waited for.
func Serve(signals *Signals, conf *config.Config, path string, log *logrus.Logger, extension Extension) error {
	limitResources(&conf.Limits)
	front, err := listen(conf, logging.NewLimiter(log))
	if err != nil {
		return err
	}
	log.WithField("address", front.Addr().String()).Info("listening")
	for _, key := range conf.UnsupportedKeys {
		log.WithField("key", key).Info("configuration key ignored, not supported by the protocols")
	}
	return newProcess(signals, conf, path, log, extension).run(front)
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

// run serves front until the server is drained, and returns the error that ended it, if one did.
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
		// The first wait is used up. The extension's context ends with this function, and nothing waits for it.
		p.log.Warn("drain ended with connections open")
		return nil
	}
	stop()
	// The second wait, which is for the extension only.
	select {
	case <-extensionDone:
	case <-time.After(server.FinalWriteTimeout):
	}
	return err
}

// limitResources has the Go runtime keep to the limits of the configuration.
func limitResources(limits *config.Limits) {
	runtime.GOMAXPROCS(max(int(math.Ceil(limits.Cores)), 1))
	debug.SetMemoryLimit(int64(heapLimitRatio * float64(limits.MemoryMB<<20)))
}

// listen opens the socket for front ends, or takes over the one that was left open for this process.
func listen(conf *config.Config, log *logging.Limiter) (*msgpackrpc.Listener, error) {
	maxConnections := conf.Limits.MaxFrontConnections()
	if conf.InheritedFD != 0 {
		return msgpackrpc.ListenInherited(conf.InheritedFD, maxConnections, log) //nolint:wrapcheck // it says what it opens
	}
	return msgpackrpc.Listen(conf.Listen, maxConnections, log) //nolint:wrapcheck // it says what it opens
}

// startConsole opens the console if it has an address, and serves it until ctx ends.
func (p *process) startConsole(ctx context.Context) error {
	if p.active.Console == "" {
		return nil
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", p.active.Console)
	if err != nil {
		return fmt.Errorf("console: %w", err)
	}
	instance := instanceWithMetrics{p.server, p.extension.AppendMetrics}
	go func() {
		err := console.Serve(ctx, listener, instance, logging.NewLimiter(p.log), p.extension.Pages...)
		if err != nil {
			p.log.WithError(err).Error("console stopped")
		}
	}()
	return nil
}

// startExtension runs the extension until ctx ends. The channel that it returns is closed when that is done.
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

// handleSignals carries out signals until the server has finished, and returns its error, or until connections that
// are open after the drain have used up their time.
func (p *process) handleSignals(serverDone <-chan error) (finished bool, err error) {
	drained := p.server.Ended()
	var closeDeadline <-chan time.Time // nil until the drain is over
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

// handleControl carries out a signal that does not end the process.
func (p *process) handleControl(sig os.Signal) {
	switch sig {
	case syscall.SIGUSR1:
		p.server.LogCounters()
	case syscall.SIGHUP:
		p.reload()
	}
}

// reload reads the configuration again. The server logs an error, and goes on with what it has.
func (p *process) reload() {
	if p.extension.Reload != nil {
		p.extension.Reload()
	}
	next, err := p.active.Successor(p.path)
	if err != nil {
		p.server.ReloadFailed(err)
		return
	}
	p.active = next
	p.server.Reload(next)
}
