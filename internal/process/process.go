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

const heapShare = 0.7 // of the memory limit, for the garbage collector to keep to

// Extension is what a program adds to an image server. What is nil is left out.
type Extension struct {
	Fleet         server.Fleet                    // the loop tells it how the server is
	Prepare       func(*server.Server)            // is called after the server has joined the fleet
	Run           func(ctx context.Context) error // until ctx ends; an error is logged, and the server goes on without
	Reload        func()                          // on SIGHUP, before the configuration is read again
	AppendMetrics func(b []byte) []byte           // appended to those of the server
	Pages         []console.Page
}

// figured is a server with further figures.
type figured struct {
	*server.Server
	more func(b []byte) []byte
}

func (f figured) AppendMetrics(ctx context.Context, b []byte) ([]byte, error) {
	b, err := f.Server.AppendMetrics(ctx, b)
	if err == nil && f.more != nil {
		b = f.more(b)
	}
	return b, err
}

// listen opens the socket for front ends, or takes over the one that was left open for this process.
func listen(c *config.Config, log *logging.Limiter) (*msgpackrpc.Front, error) {
	if c.InheritedFD != 0 {
		return msgpackrpc.Inherit(c.InheritedFD, c.Limits.FrontSockets(), log)
	}
	return msgpackrpc.Listen(c.Listen, c.Limits.FrontSockets(), log)
}

// Serve runs the server until a drain is over. Whatever then still hangs on a socket does not keep
// the process past its time.
func Serve(caught *Signals, c *config.Config, path string, log *logrus.Logger, part Extension) error {
	runtime.GOMAXPROCS(max(int(math.Ceil(c.Limits.Cores)), 1))
	debug.SetMemoryLimit(int64(heapShare * float64(c.Limits.MemoryMB<<20)))
	front, err := listen(c, logging.NewLimiter(log))
	if err != nil {
		return err
	}
	log.WithField("addr", front.Addr().String()).Info("listening")
	for _, key := range c.Unused {
		log.WithField("key", key).Info("not used: the sockets have nothing to carry it out with")
	}
	s := server.New(c, log)
	if part.Fleet != nil {
		s.JoinFleet(part.Fleet)
	}
	if part.Prepare != nil {
		part.Prepare(s)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	if c.Console != "" {
		ln, err := net.Listen("tcp", c.Console)
		if err != nil {
			return fmt.Errorf("console: %w", err)
		}
		go func() {
			if err := console.Serve(ctx, ln, figured{s, part.AppendMetrics}, logging.NewLimiter(log), part.Pages...); err != nil {
				log.WithError(err).Error("no console any more")
			}
		}()
	}
	over := make(chan error, 1)
	go func() { over <- s.Run(ctx, front) }()
	partOver := make(chan struct{})
	if part.Run != nil {
		go func() {
			defer close(partOver)
			if err := part.Run(ctx); err != nil {
				log.WithError(err).Error("the server goes on without")
			}
		}()
	} else {
		close(partOver)
	}

	inForce := c
	var late <-chan time.Time
	ended := s.Ended()
	for {
		select {
		case sig := <-caught.others:
			switch sig {
			case syscall.SIGUSR1:
				s.PrintStats()
			case syscall.SIGHUP:
				if part.Reload != nil {
					part.Reload()
				}
				next, err := inForce.Successor(path)
				if err == nil {
					inForce = next
				}
				s.Reload(next, err)
			}
		case <-caught.leave:
			s.Drain()
		case <-ended:
			ended, late = nil, time.After(server.FinalWriteTimeout)
		case err := <-over:
			stop()
			select {
			case <-partOver: // it has said good-bye
			case <-time.After(server.FinalWriteTimeout):
			}
			return err
		case <-late:
			log.Warn("connections still open at the end")
			return nil
		}
	}
}
