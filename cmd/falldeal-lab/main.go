// Command falldeal-lab runs fleets of falldeal and injects faults into them. The command falldeal execs it for `lab`;
// it is not linked into any server.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/pflag"
)

const usage = `Usage: falldeal lab COMMAND [flags]

Commands:
  fleet    start a fleet under load, inject the faults of a script, and report the results
  fault    inject a fault into a running fleet: lab fault --lab ADDRESS --kind cut --who zone:mechelen --for 5s
  model    simulate fleets of up to thousands of servers and compare overload strategies
  check    check a recorded history against the rules: lab check FILE

Without --script, fleet runs an example: a zone is partitioned for 8 s, and a process is killed and restarted.

Flags:
`

func main() {
	err := run(context.Background(), os.Args[1:], os.Stdout)
	if err != nil && !errors.Is(err, pflag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "falldeal lab:", err)
		os.Exit(1)
	}
}

// run runs a command line.
func run(ctx context.Context, args []string, out io.Writer) error {
	opts := newOptions()
	flags := opts.flagSet(out)
	if err := flags.Parse(args); err != nil {
		return fmt.Errorf("command line: %w", err)
	}
	if err := opts.resolve(); err != nil {
		return err
	}
	switch command := flags.Arg(0); {
	case command == "model":
		return runModel(opts, out)
	case command == "fleet":
		return runFleets(ctx, opts, out)
	case command == "fault":
		return sendFault(ctx, opts)
	case command == "check" && flags.NArg() == 2:
		return check(flags.Arg(1), out)
	default:
		flags.Usage()
		return fmt.Errorf("unknown command or wrong number of arguments: %q", flags.Args())
	}
}

// runFleets runs one or more fleets. SIGINT and SIGTERM cancel the run, which then cleans up.
func runFleets(ctx context.Context, opts *options, out io.Writer) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	switch {
	case opts.compare > 0:
		return compare(ctx, opts, out)
	case opts.detect > 0:
		return detect(ctx, opts, out)
	default:
		return runFleet(ctx, opts, out)
	}
}
