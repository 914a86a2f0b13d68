package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"falldeal/internal/fleet"

	"github.com/spf13/pflag"
)

const (
	queryTimeout  = 5 * time.Second // bounds a query of a console
	maxReplyBytes = 64 << 20        // maximum size of a report
)

const queryUsage = `Usage: falldeal fleet COMMAND --console ADDRESS [flags]

Prints one instance's view of its fleet, which it gets from the instance's console.

Commands:
  members   one line per member
  status    connection to the fleet, load, stores and zones

Flags:
`

// Commands of `falldeal fleet`.
const (
	commandMembers = "members"
	commandStatus  = "status"
)

// queryOptions is the command line of `falldeal fleet`.
type queryOptions struct {
	command string // commandMembers or commandStatus
	addr    string // address of the console
	json    bool   // print the report as received
	check   bool   // fail unless the instance is fully connected
}

// parseQuery parses the command line of a query. It prints the usage if the command is missing or unknown.
func parseQuery(args []string, out io.Writer) (*queryOptions, error) {
	var opts queryOptions
	flags := pflag.NewFlagSet("falldeal fleet", pflag.ContinueOnError)
	flags.StringVar(&opts.addr, "console", "", "address of the instance's console")
	flags.BoolVar(&opts.json, "json", false, "print the report as JSON")
	flags.BoolVar(&opts.check, "check", false, "status: fail unless all known members are reached")
	flags.Usage = func() { fmt.Fprint(out, queryUsage, flags.FlagUsages()) }
	if err := flags.Parse(args); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	opts.command = flags.Arg(0)
	known := opts.command == commandMembers || opts.command == commandStatus
	if flags.NArg() != 1 || !known {
		flags.Usage()
		return nil, fmt.Errorf("fleet: want one command, members or status, got %q", flags.Args())
	}
	if opts.addr == "" {
		return nil, errors.New("flag --console: missing")
	}
	return &opts, nil
}

// query runs `falldeal fleet`: it gets the report of one instance and prints it.
func query(args []string, out io.Writer) error {
	opts, err := parseQuery(args, out)
	if err != nil {
		return err
	}
	encoded, err := fetchReport(opts.addr)
	if err != nil {
		return err
	}
	var report fleet.Report
	if err := json.Unmarshal(encoded, &report); err != nil {
		return fmt.Errorf("%s: decode report: %w", opts.addr, err)
	}
	if err := opts.print(out, encoded, &report); err != nil {
		return err
	}
	if opts.check && report.Position != fleet.FullyConnected.ReportName() {
		return fmt.Errorf("fleet as seen by %s: %s", report.Self, fleet.PositionName(report.Position))
	}
	return nil
}

// print prints the report in the requested form. Encoded is the report as received.
func (o *queryOptions) print(out io.Writer, encoded []byte, report *fleet.Report) error {
	switch {
	case o.json:
		if _, err := out.Write(encoded); err != nil {
			return fmt.Errorf("write report: %w", err)
		}
		return nil
	case o.command == commandMembers:
		return printMembers(out, report)
	default:
		return printStatus(out, report)
	}
}

// fetchReport gets the JSON report from the console of an instance.
func fetchReport(addr string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/fleet", nil)
	if err != nil {
		return nil, fmt.Errorf("flag --console: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("query console: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotFound {
		return nil, fmt.Errorf("%s: instance is not a member of a fleet", addr)
	}
	encoded, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return nil, fmt.Errorf("%s: read response: %w", addr, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: unexpected HTTP status %s", addr, response.Status)
	}
	return encoded, nil
}

// formatSeconds formats a number of milliseconds as seconds.
func formatSeconds(ms int64) string { return fmt.Sprintf("%.1fs", float64(ms)/1000) }
