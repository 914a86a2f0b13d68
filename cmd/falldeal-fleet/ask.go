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
	askLimit  = 5 * time.Second
	mostReply = 64 << 20
)

const askUsage = `Usage: falldeal fleet COMMAND --console ADDRESS [flags]

Asks one instance, at its console, what it knows of its fleet.

Commands:
  members   a line for each member
  status    zones, sums and how this instance stands to the others

Flags:
`

func ask(args []string, out io.Writer) error {
	flags := pflag.NewFlagSet("falldeal fleet", pflag.ContinueOnError)
	addr := flags.String("console", "", "address of the instance's console")
	asJSON := flags.Bool("json", false, "print what the instance answered, as JSON")
	check := flags.Bool("check", false, "status: fail unless everybody known is reached")
	flags.Usage = func() { fmt.Fprint(out, askUsage, flags.FlagUsages()) }
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
	raw, r, err := fetch(*addr)
	if err != nil {
		return err
	}
	switch {
	case *asJSON:
		_, err = out.Write(raw)
	case name == "members":
		err = printMembers(out, &r)
	default:
		err = printStatus(out, &r)
	}
	if err == nil && *check && r.Position != fleet.FullyConnected.String() {
		return fmt.Errorf("the fleet as seen by %s: %s", r.Self, r.Position)
	}
	return err
}

func fetch(addr string) (raw []byte, r fleet.Report, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), askLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/fleet", nil)
	if err != nil {
		return nil, r, fmt.Errorf("flag --console: %w", err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, r, err
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusNotFound {
		return nil, r, fmt.Errorf("%s: this instance is in no fleet", addr)
	}
	if raw, err = io.ReadAll(io.LimitReader(res.Body, mostReply)); err != nil {
		return nil, r, err
	}
	if res.StatusCode != http.StatusOK {
		return nil, r, fmt.Errorf("%s: %s", addr, res.Status)
	}
	return raw, r, json.Unmarshal(raw, &r)
}

func seconds(ms int64) string { return fmt.Sprintf("%.1fs", float64(ms)/1000) }

func printMembers(out io.Writer, r *fleet.Report) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tZONE\tCONDITION\tSINCE\tTOLD\tAGE\tCORES\tBUSY\tIN HAND\tSHED\tVERSION\tCONFIG")
	for _, m := range r.Members {
		name, busy := m.Name, "-"
		if m.Self {
			name += " *"
		}
		if m.Busy >= 0 {
			busy = fmt.Sprintf("%.0f%%", 100*m.Busy)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%g\t%s\t%d\t%.0f%%\t%s\t%.8s\n", name, m.Zone, m.Condition, seconds(m.SinceMs), m.ReportedState,
			seconds(m.AgeMs), m.Cores, busy, m.InFlight, 100*m.ShedRatio, m.Version, m.Config)
	}
	return w.Flush()
}

func printStatus(out io.Writer, r *fleet.Report) error {
	heard := "never"
	if r.LastReceivedMs >= 0 {
		heard = seconds(r.LastReceivedMs) + " ago"
	}
	fmt.Fprintf(out, "%s sees its fleet: %s; last word of another member: %s; words are due each %s, overdue after %s\n",
		r.Self, r.Position, heard, seconds(r.PeriodMs), seconds(r.FreshMs))
	fmt.Fprintf(out, "serving by fresh words: %d members, %g cores, %.1f of them in use, %d requests in hand; oldest word %s; %d left out as too old\n",
		r.Fresh.Members, r.Fresh.Cores, r.Fresh.Busy, r.Fresh.InFlight, seconds(r.Fresh.OldestMs), r.Fresh.Stale)
	if f := &r.Fresh; f.ServiceRate > 0 {
		where := "nothing is cut: the fleet has room"
		if f.MaxThreshold > 0 {
			where = fmt.Sprintf("the fleet is full: cut below place %.1f to %.1f (%.3g to %.3g earned for a second of work)", f.MinThreshold, f.MaxThreshold,
				overload.WeightAt(f.MinThreshold), overload.WeightAt(f.MaxThreshold))
		}
		fmt.Fprintf(out, "overload: %s; %.0f tries a second, %.2f repeats for each first one (budget %.2f); %.1f s of work can be done in a second\n",
			where, f.Attempts, f.RetryRatio, overload.RetryBudget, f.ServiceRate)
	}
	if f := &r.Fresh; f.CallQuota > 0 {
		fmt.Fprintf(out, "calls: %.1f may be in hand in the mean, %.1f are, as far as it is told\n", f.CallQuota, f.MeanCalls)
	}
	stores := map[string][]string{}
	for _, m := range r.Members {
		if m.StoreState != 0 {
			is := m.Zone + " " + overload.StoreState(m.StoreState).String()
			turn := ""
			if overload.StoreState(m.StoreState) == overload.StoreProbing {
				turn = fmt.Sprintf(", turn %d", m.ProbeRound)
			}
			stores[is] = append(stores[is], fmt.Sprintf("%s (%s ago%s)", m.Name, seconds(m.AgeMs), turn))
		}
	}
	for _, is := range slices.Sorted(maps.Keys(stores)) {
		fmt.Fprintf(out, "store, %s: %d members: %s\n", is, len(stores[is]), strings.Join(stores[is][:min(len(stores[is]), 5)], ", "))
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "REGION\tZONE\tKNOWN\tALIVE\tSUSPECT\tWEDGED\tCUT OFF\tDEAD\tLEFT\t")
	for _, z := range append(r.Zones, r.Total) {
		mark := ""
		if z.Unreachable {
			mark = "half or more silent"
		}
		if z.Zone == "" {
			z.Region, z.Zone = "all", ""
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", z.Region, z.Zone, z.Known, z.Alive, z.Suspect, z.Wedged, z.Silent,
			z.Dead, z.Left, mark)
	}
	return w.Flush()
}
