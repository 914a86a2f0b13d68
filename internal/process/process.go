// Package process is one process of an image server: its limits, signals and sockets. The programs that serve share
// it; one of them adds a part of its own.
package process

import (
	"context"
	"fmt"
	"math"
	"net"
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

const heapLimitRatio = 0.7 // of the memory limit, for the garbage collector to keep to

// Extension is what a program adds to an image server. What is nil is left out.
type Extension struct {
	Fleet         server.Fleet                    // the loop tells it how the server is
	Prepare       func(*server.Server)            // is called after the server has joined the fleet
	Run           func(ctx context.Context) error // until ctx ends; an error is logged, and the server goes on without
	Reload        func()                          // on SIGHUP, before the configuration is read again
	AppendMetrics func(b []byte) []byte           // appended to those of the server
	Pages         []console.Page
}

// serverWithMetrics is a server with further figures.
type serverWithMetrics struct {
	*server.Server
	appendMore func(b []byte) []byte
}

func (f serverWithMetrics) AppendMetrics(ctx context.Context, b []byte) ([]byte, error) {
	b, err := f.Server.AppendMetrics(ctx, b)
	if err == nil && f.appendMore != nil {
		b = f.appendMore(b)
	}
	return b, err
}

// listen opens the socket for front ends, or takes over the one that was left open for this process.
func listen(conf *config.Config, log *logging.Limiter) (*msgpackrpc.Front, error) {
	if conf.InheritedFD != 0 {
		return msgpackrpc.Inherit(conf.InheritedFD, conf.Limits.FrontSockets(), log)
	}
	return msgpackrpc.Listen(conf.Listen, conf.Limits.FrontSockets(), log)
}

// Serve runs the server until a drain is over. Whatever then still hangs on a socket does not keep
// the process past its time.
func Serve(signals *Signals, conf *config.Config, path string, log *logrus.Logger, extension Extension) error {
	runtime.GOMAXPROCS(max(int(math.Ceil(conf.Limits.Cores)), 1))
	debug.SetMemoryLimit(int64(heapLimitRatio * float64(conf.Limits.MemoryMB<<20)))
	front, err := listen(conf, logging.NewLimiter(log))
	if err != nil {
		return err
	}
	log.WithField("addr", front.Addr().String()).Info("listening")
	for _, key := range conf.Unused {
		log.WithField("key", key).Info("not used: the sockets have nothing to carry it out with")
	}
	instance := server.New(conf, log)
	if extension.Fleet != nil {
		instance.JoinFleet(extension.Fleet)
	}
	if extension.Prepare != nil {
		extension.Prepare(instance)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	if conf.Console != "" {
		listener, err := net.Listen("tcp", conf.Console)
		if err != nil {
			return fmt.Errorf("console: %w", err)
		}
		go func() {
			if err := console.Serve(ctx, listener, serverWithMetrics{instance, extension.AppendMetrics}, logging.NewLimiter(log), extension.Pages...); err != nil {
				log.WithError(err).Error("no console any more")
			}
		}()
	}
	serverDone := make(chan error, 1)
	go func() { serverDone <- instance.Run(ctx, front) }()
	extensionDone := make(chan struct{})
	if extension.Run != nil {
		go func() {
			defer close(extensionDone)
			if err := extension.Run(ctx); err != nil {
				log.WithError(err).Error("the server goes on without")
			}
		}()
	} else {
		close(extensionDone)
	}

	active := conf
	var closeDeadline <-chan time.Time
	drained := instance.Ended()
	for {
		select {
		case sig := <-signals.control:
			switch sig {
			case syscall.SIGUSR1:
				instance.PrintStats()
			case syscall.SIGHUP:
				if extension.Reload != nil {
					extension.Reload()
				}
				next, err := active.Successor(path)
				if err == nil {
					active = next
				}
				instance.Reload(next, err)
			}
		case <-signals.terminate:
			instance.Drain()
		case <-drained:
			drained, closeDeadline = nil, time.After(server.FinalWriteTimeout)
		case err := <-serverDone:
			stop()
			select {
			case <-extensionDone: // it has said good-bye
			case <-time.After(server.FinalWriteTimeout):
			}
			return err
		case <-closeDeadline:
			log.Warn("connections still open at the end")
			return nil
		}
	}
}
