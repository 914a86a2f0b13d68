// Command falldeal is an image server with admission control and load shedding.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/pflag"
)

const usage = `Usage: falldeal COMMAND [flags]

Commands:
  serve     serve front ends until SIGTERM, which starts a drain; SIGUSR1 logs the counters,
            SIGHUP reloads the configuration
  check     validate the configuration and exit
  version   print the version
  fleet     query an instance for the members of its fleet: fleet --help
  lab       run fleets with injected faults on this machine: lab --help

Flags of serve and check:
`

func main() {
	if err := run(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "falldeal:", err)
		os.Exit(1)
	}
}

// options are the flags of serve and check.
type options struct {
	configPath    string // "": that of the variable GW_CONFIG
	operatorsPath string // "": none
	logLevel      string
}

// flagSet returns the flags, which set o. Its usage is printed on out.
func (o *options) flagSet(out io.Writer) *pflag.FlagSet {
	flags := pflag.NewFlagSet("falldeal", pflag.ContinueOnError)
	flags.StringVar(&o.configPath, "config", "", "configuration file (default: the variable GW_CONFIG)")
	flags.StringVar(&o.operatorsPath, "operators", "",
		"operators' file, TOML; it enables membership in a fleet")
	flags.StringVar(&o.logLevel, "log-level", "info", "minimum level of log lines: debug, info, warning, error")
	flags.Usage = func() { fmt.Fprint(out, usage, flags.FlagUsages()) }
	return flags
}

// run carries out a command line. It does not return if another program carries it out, which replaces this process.
func run(args []string, out io.Writer) error {
	if len(args) > 0 && args[0] == "fleet" {
		return execProgram(fleetProgram, args)
	}
	if len(args) > 0 && args[0] == "lab" {
		return execProgram(labProgram, args[1:])
	}
	var opts options
	flags := opts.flagSet(out)
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
	command := flags.Arg(0)
	readsConfiguration := command == "serve" || command == "check"
	if opts.operatorsPath != "" && readsConfiguration {
		return execProgram(fleetProgram, args)
	}
	switch command {
	case "version":
		printVersion(out)
		return nil
	case "check":
		return check(&opts, out)
	case "serve":
		return serve(&opts)
	default:
		flags.Usage()
		return fmt.Errorf("unknown command %q", command)
	}
}
