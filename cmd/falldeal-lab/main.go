// Command falldeal-lab starts fleets of falldeal and causes faults between their members. falldeal execs it for `lab`;
// nothing that serves links it.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

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
	if err := run(os.Args[1:], os.Stdout); err != nil && !errors.Is(err, pflag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "falldeal lab:", err)
		os.Exit(1)
	}
}

// run carries out a command line.
func run(args []string, out io.Writer) error {
	opts := newOptions()
	flags := opts.flagSet(out)
	if err := flags.Parse(args); err != nil {
		return err
	}
	if err := opts.finish(); err != nil {
		return err
	}
	switch command := flags.Arg(0); {
	case command == "model":
		return runModel(opts, out)
	case command == "fleet" && opts.compare > 0:
		return compare(opts, out)
	case command == "fleet" && opts.detect > 0:
		return detect(opts, out)
	case command == "fleet":
		return runFleet(opts, out)
	case command == "fault":
		return sendFault(opts)
	case command == "check" && flags.NArg() == 2:
		return check(flags.Arg(1), out)
	default:
		flags.Usage()
		return fmt.Errorf("unknown command %q", command)
	}
}
