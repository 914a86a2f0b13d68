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
	queryTimeout  = 5 * time.Second
	maxReplyBytes = 64 << 20
)

const queryUsage = `Usage: falldeal fleet COMMAND --console ADDRESS [flags]

Asks one instance, at its console, what it knows of its fleet.

Commands:
  members   a line for each member
  status    zones, sums and how this instance stands to the others

Flags:
`

// query carries out `fleet`: it prints the report of one instance about its fleet.
func query(args []string, out io.Writer) error {
	flags := pflag.NewFlagSet("falldeal fleet", pflag.ContinueOnError)
	addr := flags.String("console", "", "address of the instance's console")
	asJSON := flags.Bool("json", false, "print what the instance answered, as JSON")
	check := flags.Bool("check", false, "status: fail unless everybody known is reached")
	flags.Usage = func() { fmt.Fprint(out, queryUsage, flags.FlagUsages()) }
	if err := flags.Parse(args); err != nil {
		return err
	}
	command := flags.Arg(0)
	known := command == "members" || command == "status"
	if flags.NArg() != 1 || !known {
		flags.Usage()
		return fmt.Errorf("fleet: unknown command %q", command)
	}
	if *addr == "" {
		return errors.New("flag --console: missing")
	}
	raw, err := fetchReport(*addr)
	if err != nil {
		return err
	}
	var report fleet.Report
	if err := json.Unmarshal(raw, &report); err != nil {
		return err
	}
	switch {
	case *asJSON:
		_, err = out.Write(raw)
	case command == "members":
		err = printMembers(out, &report)
	default:
		err = printStatus(out, &report)
	}
	if err == nil && *check && report.Position != fleet.FullyConnected.ReportName() {
		return fmt.Errorf("the fleet as seen by %s: %s", report.Self, report.Position)
	}
	return err
}

// fetchReport gets the report, JSON, from the console of an instance.
func fetchReport(addr string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/fleet", nil)
	if err != nil {
		return nil, fmt.Errorf("flag --console: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotFound {
		return nil, fmt.Errorf("%s: this instance is in no fleet", addr)
	}
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: %s", addr, response.Status)
	}
	return raw, nil
}

// seconds formats a number of milliseconds.
func seconds(ms int64) string { return fmt.Sprintf("%.1fs", float64(ms)/1000) }
