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
	configPath    string // "" = value of the environment variable GW_CONFIG
	operatorsPath string // "" = no operators' file
	logLevel      string // minimum level of log lines
}

// flagSet returns the flags that set o. Its usage is printed to out.
func (o *options) flagSet(out io.Writer) *pflag.FlagSet {
	flags := pflag.NewFlagSet("falldeal", pflag.ContinueOnError)
	flags.StringVar(&o.configPath, "config", "", "configuration file (default: the variable GW_CONFIG)")
	flags.StringVar(&o.operatorsPath, "operators", "",
		"operators' file, TOML; it enables membership in a fleet")
	flags.StringVar(&o.logLevel, "log-level", "info", "minimum level of log lines: debug, info, warning, error")
	flags.Usage = func() { fmt.Fprint(out, usage, flags.FlagUsages()) }
	return flags
}

// Commands.
const (
	commandServe   = "serve"
	commandCheck   = "check"
	commandVersion = "version"
	commandFleet   = "fleet"
	commandLab     = "lab"
)

// run runs a command line. It does not return if another program takes over the process.
func run(args []string, out io.Writer) error {
	if len(args) > 0 {
		switch args[0] {
		case commandFleet:
			return execProgram(fleetProgram, args)
		case commandLab:
			return execProgram(labProgram, args[1:])
		}
	}
	var opts options
	flags := opts.flagSet(out)
	err := flags.Parse(args)
	if errors.Is(err, pflag.ErrHelp) {
		return nil
	}
	if err != nil {
		return err //nolint:wrapcheck // the error names the flag
	}
	if flags.NArg() != 1 {
		flags.Usage()
		return fmt.Errorf("want one command, got %d arguments", flags.NArg())
	}
	if opts.needsFleetProgram(flags.Arg(0)) {
		return execProgram(fleetProgram, args)
	}
	return opts.runCommand(flags, out)
}

// needsFleetProgram reports whether falldeal-fleet must run the command, because only it reads operators' files.
func (o *options) needsFleetProgram(command string) bool {
	return o.operatorsPath != "" && (command == commandServe || command == commandCheck)
}

// runCommand runs the command in the first argument of flags.
func (o *options) runCommand(flags *pflag.FlagSet, out io.Writer) error {
	switch command := flags.Arg(0); command {
	case commandVersion:
		printVersion(out)
		return nil
	case commandCheck:
		return check(o, out)
	case commandServe:
		return serve(o)
	default:
		flags.Usage()
		return fmt.Errorf("unknown command %q", command)
	}
}
