package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"falldeal/internal/fleet"
	"falldeal/internal/overload"

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

func query(args []string, out io.Writer) error {
	flags := pflag.NewFlagSet("falldeal fleet", pflag.ContinueOnError)
	addr := flags.String("console", "", "address of the instance's console")
	asJSON := flags.Bool("json", false, "print what the instance answered, as JSON")
	check := flags.Bool("check", false, "status: fail unless everybody known is reached")
	flags.Usage = func() { fmt.Fprint(out, queryUsage, flags.FlagUsages()) }
	if err := flags.Parse(args); err != nil {
		return err
	}
	name := flags.Arg(0)
	if flags.NArg() != 1 || name != "members" && name != "status" {
		flags.Usage()
		return fmt.Errorf("fleet: unknown command %q", name)
	}
	if *addr == "" {
		return errors.New("flag --console: missing")
	}
	raw, report, err := fetchReport(*addr)
	if err != nil {
		return err
	}
	switch {
	case *asJSON:
		_, err = out.Write(raw)
	case name == "members":
		err = printMembers(out, &report)
	default:
		err = printStatus(out, &report)
	}
	if err == nil && *check && report.Position != fleet.FullyConnected.String() {
		return fmt.Errorf("the fleet as seen by %s: %s", report.Self, report.Position)
	}
	return err
}

func fetchReport(addr string) (raw []byte, report fleet.Report, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/fleet", nil)
	if err != nil {
		return nil, report, fmt.Errorf("flag --console: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, report, err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotFound {
		return nil, report, fmt.Errorf("%s: this instance is in no fleet", addr)
	}
	if raw, err = io.ReadAll(io.LimitReader(response.Body, maxReplyBytes)); err != nil {
		return nil, report, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, report, fmt.Errorf("%s: %s", addr, response.Status)
	}
	return raw, report, json.Unmarshal(raw, &report)
}

func seconds(ms int64) string { return fmt.Sprintf("%.1fs", float64(ms)/1000) }

func printMembers(out io.Writer, report *fleet.Report) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "NAME\tZONE\tCONDITION\tSINCE\tTOLD\tAGE\tCORES\tBUSY\tIN HAND\tSHED\tVERSION\tCONFIG")
	for _, member := range report.Members {
		name, busy := member.Name, "-"
		if member.Self {
			name += " *"
		}
		if member.Busy >= 0 {
			busy = fmt.Sprintf("%.0f%%", 100*member.Busy)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%g\t%s\t%d\t%.0f%%\t%s\t%.8s\n", name, member.Zone, member.Condition, seconds(member.SinceMs), member.ReportedState,
			seconds(member.AgeMs), member.Cores, busy, member.InFlight, 100*member.ShedRatio, member.Version, member.Config)
	}
	return table.Flush()
}

func printStatus(out io.Writer, report *fleet.Report) error {
	lastReceived := "never"
	if report.LastReceivedMs >= 0 {
		lastReceived = seconds(report.LastReceivedMs) + " ago"
	}
	fmt.Fprintf(out, "%s sees its fleet: %s; last word of another member: %s; words are due each %s, overdue after %s\n",
		report.Self, report.Position, lastReceived, seconds(report.PeriodMs), seconds(report.FreshMs))
	fmt.Fprintf(out, "serving by fresh words: %d members, %g cores, %.1f of them in use, %d requests in hand; oldest word %s; %d left out as too old\n",
		report.Fresh.Members, report.Fresh.Cores, report.Fresh.Busy, report.Fresh.InFlight, seconds(report.Fresh.OldestMs), report.Fresh.Stale)
	if fresh := &report.Fresh; fresh.ServiceRate > 0 {
		rejecting := "nothing is cut: the fleet has room"
		if fresh.MaxThreshold > 0 {
			rejecting = fmt.Sprintf("the fleet is full: cut below place %.1f to %.1f (%.3g to %.3g earned for a second of work)", fresh.MinThreshold, fresh.MaxThreshold,
				overload.WeightAt(fresh.MinThreshold), overload.WeightAt(fresh.MaxThreshold))
		}
		fmt.Fprintf(out, "overload: %s; %.0f tries a second, %.2f repeats for each first one (budget %.2f); %.1f s of work can be done in a second\n",
			rejecting, fresh.Attempts, fresh.RetryRatio, overload.RetryBudget, fresh.ServiceRate)
	}
	if fresh := &report.Fresh; fresh.CallQuota > 0 {
		fmt.Fprintf(out, "calls: %.1f may be in hand in the mean, %.1f are, as far as it is told\n", fresh.CallQuota, fresh.MeanCalls)
	}
	stores := map[string][]string{}
	for _, member := range report.Members {
		if member.StoreState != 0 {
			key := member.Zone + " " + overload.StoreState(member.StoreState).String()
			round := ""
			if overload.StoreState(member.StoreState) == overload.StoreProbing {
				round = fmt.Sprintf(", turn %d", member.ProbeRound)
			}
			stores[key] = append(stores[key], fmt.Sprintf("%s (%s ago%s)", member.Name, seconds(member.AgeMs), round))
		}
	}
	for _, key := range slices.Sorted(maps.Keys(stores)) {
		fmt.Fprintf(out, "store, %s: %d members: %s\n", key, len(stores[key]), strings.Join(stores[key][:min(len(stores[key]), 5)], ", "))
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "REGION\tZONE\tKNOWN\tALIVE\tSUSPECT\tWEDGED\tCUT OFF\tDEAD\tLEFT\t")
	for _, zone := range append(report.Zones, report.Total) {
		mark := ""
		if zone.Unreachable {
			mark = "half or more silent"
		}
		if zone.Zone == "" {
			zone.Region, zone.Zone = "all", ""
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", zone.Region, zone.Zone, zone.Known, zone.Alive, zone.Suspect, zone.Wedged, zone.Silent,
			zone.Dead, zone.Left, mark)
	}
	return table.Flush()
}
