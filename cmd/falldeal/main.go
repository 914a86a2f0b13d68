// Command falldeal is an image server that knows how much it can take.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"os/signal"
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
	"github.com/spf13/pflag"
)

const heapShare = 0.7 // of the memory limit, for the garbage collector to keep to

// version is set by the linker where a release is built.
var version = "dev"

const usage = `Usage: falldeal COMMAND [flags]

Commands:
  serve     serve front ends until SIGTERM; SIGUSR1 prints the counters, SIGHUP has the
            addresses of agent, store and announce read again
  check     read the configuration, say what is wrong with it, and exit
  version   print the version

Flags of serve and check:
`

func main() {
	if err := command(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "falldeal:", err)
		os.Exit(1)
	}
}

func command(args []string, out io.Writer) error {
	flags := pflag.NewFlagSet("falldeal", pflag.ContinueOnError)
	path := flags.String("config", "", "configuration file (default: the variable GW_CONFIG)")
	level := flags.String("log-level", "info", "least level that is logged: debug, info, warning, error")
	flags.Usage = func() { fmt.Fprint(out, usage, flags.FlagUsages()) }
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, pflag.ErrHelp) {
			return nil
		}
		return err
	}
	if flags.NArg() != 1 {
		flags.Usage()
		return fmt.Errorf("want one command, got %d", flags.NArg())
	}
	switch name := flags.Arg(0); name {
	case "version":
		fmt.Fprintln(out, "falldeal", version, runtime.Version())
		return nil
	case "check":
		c, err := config.Load(*path)
		if err == nil {
			fmt.Fprintf(out, "configuration of %s is good: %d classes, listening on %s\n", c.Name, len(c.Classes), c.Listen)
		}
		return err
	case "serve":
		lvl, err := logrus.ParseLevel(*level)
		if err != nil {
			return fmt.Errorf("flag --log-level: %w", err)
		}
		c, err := config.Load(*path)
		if err != nil {
			return err
		}
		log := logrus.New()
		log.SetLevel(lvl)
		return serve(c, *path, log)
	default:
		flags.Usage()
		return fmt.Errorf("unknown command %q", name)
	}
}

// listen opens the socket for front ends, or takes over the one that was left open for this process.
func listen(c *config.Config, log *logging.Limiter) (*msgpackrpc.Front, error) {
	if c.Inherited != 0 {
		return msgpackrpc.Inherit(c.Inherited, c.Limits.FrontSockets(), log)
	}
	return msgpackrpc.Listen(c.Listen, c.Limits.FrontSockets(), log)
}

// serve runs the server until a drain is over. Whatever then still hangs on a socket does not keep
// the process past its time.
func serve(c *config.Config, path string, log *logrus.Logger) error {
	runtime.GOMAXPROCS(max(int(math.Ceil(c.Limits.Cores)), 1))
	debug.SetMemoryLimit(int64(heapShare * float64(c.Limits.MemoryMB<<20)))
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	front, err := listen(c, logging.NewLimiter(log))
	if err != nil {
		return err
	}
	log.WithField("addr", front.Addr().String()).Info("listening")
	s := server.New(c, log)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	if c.Console != "" {
		ln, err := net.Listen("tcp", c.Console)
		if err != nil {
			return fmt.Errorf("console: %w", err)
		}
		go func() {
			if err := console.Serve(ctx, ln, s, logging.NewLimiter(log)); err != nil {
				log.WithError(err).Error("no console any more")
			}
		}()
	}
	over := make(chan error, 1)
	go func() { over <- s.Run(ctx, front) }()

	inForce := c
	var late <-chan time.Time
	ended := s.Ended()
	for {
		select {
		case sig := <-signals:
			switch sig {
			case syscall.SIGUSR1:
				s.PrintStats()
			case syscall.SIGHUP:
				next, err := inForce.Successor(path)
				if err == nil {
					inForce = next
				}
				s.Reload(next, err)
			default:
				s.Drain()
			}
		case <-ended:
			ended, late = nil, time.After(server.LastWrites)
		case err := <-over:
			return err
		case <-late:
			log.Warn("connections still open at the end")
			return nil
		}
	}
}
