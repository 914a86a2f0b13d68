// Command falldeal is an image server that knows how much it can take.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"syscall"

	"falldeal/internal/config"
	"falldeal/internal/process"

	"github.com/sirupsen/logrus"
	"github.com/spf13/pflag"
)

// version is set by the linker where a release is built.
var version = "dev"

const usage = `Usage: falldeal COMMAND [flags]

Commands:
  serve     serve front ends until SIGTERM; SIGUSR1 prints the counters, SIGHUP has the
            addresses of agent, store and announce read again
  check     read the configuration, say what is wrong with it, and exit
  version   print the version
  fleet     ask an instance what it knows of the others: fleet --help
  lab       start fleets with faults between their members: lab --help

Flags of serve and check:
`

// Programs beside this one that carry out what weighs too much for a start of the server alone.
const (
	fleetProgram = "falldeal-fleet"
	labProgram   = "falldeal-lab"
)

func main() {
	if err := run(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "falldeal:", err)
		os.Exit(1)
	}
}

// execProgram replaces this process by another program of the same folder.
var execProgram = func(program string, args []string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	path := filepath.Join(filepath.Dir(self), program)
	return fmt.Errorf("%s: %w", path, syscall.Exec(path, append([]string{path}, args...), os.Environ()))
}

func run(args []string, out io.Writer) error {
	if len(args) > 0 && args[0] == "fleet" {
		return execProgram(fleetProgram, args)
	}
	if len(args) > 0 && args[0] == "lab" {
		return execProgram(labProgram, args[1:])
	}
	flags := pflag.NewFlagSet("falldeal", pflag.ContinueOnError)
	configPath := flags.String("config", "", "configuration file (default: the variable GW_CONFIG)")
	operatorsPath := flags.String("operators", "", "operators' file, TOML; it may have this instance know the others of its fleet")
	logLevel := flags.String("log-level", "info", "least level that is logged: debug, info, warning, error")
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
	name := flags.Arg(0)
	if *operatorsPath != "" && (name == "serve" || name == "check") {
		return execProgram(fleetProgram, args)
	}
	switch name {
	case "version":
		fmt.Fprintln(out, "falldeal", version, runtime.Version())
		return nil
	case "check":
		conf, err := config.Load(*configPath)
		if err == nil {
			fmt.Fprintf(out, "configuration of %s is good: %d classes, listening on %s\n", conf.Name, len(conf.Classes), conf.Listen)
		}
		return err
	case "serve":
		level, err := logrus.ParseLevel(*logLevel)
		if err != nil {
			return fmt.Errorf("flag --log-level: %w", err)
		}
		signals := process.Catch()
		conf, err := signals.Load(*configPath)
		if errors.Is(err, process.ErrStopped) {
			return nil
		}
		if err != nil {
			return err
		}
		log := logrus.New()
		log.SetLevel(level)
		return process.Serve(signals, conf, *configPath, log, process.Extension{})
	default:
		flags.Usage()
		return fmt.Errorf("unknown command %q", name)
	}
}
