// Command falldeal-fleet runs the image server as a member of a fleet, and queries members for their view of the
// fleet. The command falldeal execs it for `serve --operators`, `check --operators` and `fleet`, so that a server
// without a fleet does not link the membership code.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"falldeal/internal/config"
	"falldeal/internal/process"

	"github.com/sirupsen/logrus"
	"github.com/spf13/pflag"
)

// version is set by the linker in a release build. Members publish it to the fleet.
var version = "dev"

func main() {
	err := run(os.Args[1:], os.Stdout)
	if err != nil && !errors.Is(err, pflag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "falldeal:", err)
		os.Exit(1)
	}
}

// options is the command line of serve and check.
type options struct {
	command       string
	configPath    string // "" = value of the environment variable GW_CONFIG
	operatorsPath string
	logLevel      logrus.Level
}

func parseOptions(args []string) (*options, error) {
	var opts options
	flags := pflag.NewFlagSet("falldeal", pflag.ContinueOnError)
	flags.StringVar(&opts.configPath, "config", "", "configuration file (default: the variable GW_CONFIG)")
	flags.StringVar(&opts.operatorsPath, "operators", "", "operators' file")
	level := flags.String("log-level", "info", "minimum level of log lines: debug, info, warning, error")
	err := flags.Parse(args)
	if err != nil {
		return nil, fmt.Errorf("command line: %w", err)
	}
	if opts.logLevel, err = logrus.ParseLevel(*level); err != nil {
		return nil, fmt.Errorf("flag --log-level: %w", err)
	}
	opts.command = flags.Arg(0)
	return &opts, nil
}

// run runs a command line.
func run(args []string, out io.Writer) error {
	if len(args) > 0 && args[0] == "fleet" {
		return query(args[1:], out)
	}
	opts, err := parseOptions(args)
	if err != nil {
		return err
	}
	load := config.Load
	var signals *process.Signals
	if opts.command == "serve" {
		signals = process.Catch()
		load = signals.Load
	}
	member, err := newMember(opts, load)
	if errors.Is(err, process.ErrStopped) {
		return nil
	}
	if err != nil {
		return err
	}
	switch opts.command {
	case "serve":
		return serve(member, signals)
	case "check":
		printCheckSummary(member, out)
		return nil
	default:
		return fmt.Errorf("unknown command %q", opts.command)
	}
}
