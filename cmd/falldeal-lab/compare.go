package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"falldeal/lab/faults"
	"falldeal/lab/history"
)

const (
	// settlingTime is the time after the start of a fault before its effect is measured.
	settlingTime = 8 * time.Second

	maxComparedViolations = 3 // printed per run

	minOptimalValue = 1e-9 // avoids a division by zero in the ratio to the optimum
)

// comparisonColumns are the headers of the columns after the seed and the features.
var comparisonColumns = []string{
	"value served", "ratio to optimum", "served in full", "rejected", "attempts per request", "store calls",
	"mean in flight", "max in flight", "time over limit", "rejection fairness", "unresponsive store: calls/s",
	"max in flight", "recovery time", "violations",
}

// errNoRequest reports a run in which no request was completed.
var errNoRequest = errors.New("no request was completed")

// comparedRun is the result of one of the two runs with a seed.
type comparedRun struct {
	opts       *options
	enabled    bool // whether opts.features were turned on
	events     []history.Event
	cores      float64 // work that all agents together do per second, in seconds
	requests   *history.RequestSummary
	violations int
}

// valueRatio returns the value served as a fraction of the value of all requests.
func (r *comparedRun) valueRatio() float64 { return r.requests.ValueServed / r.requests.Value }

// comparison runs the same load and script, for each seed, with opts.features off and on.
type comparison struct {
	opts       *options
	out        io.Writer
	dir        string    // parent of the runs' directories
	gains      []float64 // difference of valueRatio between on and off, by seed
	violations int
}

// compare runs a comparison and prints it.
func compare(ctx context.Context, opts *options, out io.Writer) error {
	if err := checkFeatures(opts.features); err != nil {
		return err
	}
	dir, err := dirOrNew(opts.lab.Dir)
	if err != nil {
		return err
	}
	compared := &comparison{opts: opts, out: out, dir: dir}
	if err := compared.printTable(ctx); err != nil {
		return err
	}
	compared.printGains()
	if compared.violations > 0 {
		return violationsError(compared.violations)
	}
	return nil
}

// printTable performs all runs and prints a row for each.
func (c *comparison) printTable(ctx context.Context) error {
	table := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	columns := append([]string{"seed", strings.Join(c.opts.features, "+")}, comparisonColumns...)
	fmt.Fprintln(table, strings.Join(columns, "\t")+"\t")
	for k := range c.opts.compare {
		if err := c.runSeed(ctx, c.opts.lab.Seed+uint64(k), table); err != nil {
			return err
		}
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("print comparison: %w", err)
	}
	return nil
}

// runSeed performs the two runs with a seed.
func (c *comparison) runSeed(ctx context.Context, seed uint64, table io.Writer) error {
	without, err := c.run(ctx, seed, false)
	if err != nil {
		return err
	}
	without.print(table)
	with, err := c.run(ctx, seed, true)
	if err != nil {
		return err
	}
	with.print(table)
	c.gains = append(c.gains, with.valueRatio()-without.valueRatio())
	c.violations += without.violations + with.violations
	return nil
}

// printGains prints the distribution of the gains, of which there must be at least one.
func (c *comparison) printGains() {
	slices.Sort(c.gains)
	count := len(c.gains)
	fmt.Fprintf(c.out, "gain in value served: %+.4f / %+.4f / %+.4f (min, median, max of %d seeds)\n",
		c.gains[0], c.gains[count/2], c.gains[count-1], count)
}

// checkFeatures returns an error if a name is not in overloadFeatures.
func checkFeatures(features []string) error {
	for _, name := range features {
		if !slices.Contains(overloadFeatures, name) {
			return fmt.Errorf("flag --with: %q is not one of %s", name, strings.Join(overloadFeatures, ", "))
		}
	}
	return nil
}

// run runs a fleet with a seed, in its own subdirectory of dir, and prints violations of the rules.
func (c *comparison) run(ctx context.Context, seed uint64, enabled bool) (*comparedRun, error) {
	opts := *c.opts
	opts.lab.Seed = seed
	subdir := fmt.Sprintf("seed%d-0", seed)
	if enabled {
		opts.enableFeatures()
		subdir = fmt.Sprintf("seed%d-1", seed)
	}
	opts.lab.Dir = filepath.Join(c.dir, subdir)
	events, cores, err := runScript(ctx, &opts)
	if err != nil {
		return nil, err
	}
	requests := history.SummarizeRequests(events)[""]
	if requests == nil {
		return nil, errNoRequest
	}
	return &comparedRun{
		opts: &opts, enabled: enabled, events: events, cores: cores, requests: requests,
		violations: printViolations(c.out, events, maxComparedViolations),
	}, nil
}

// enableFeatures turns on the features that are compared.
func (o *options) enableFeatures() {
	lab := &o.lab
	lab.QuotaLeasing = lab.QuotaLeasing || slices.Contains(o.features, featureQuotaLeasing)
	lab.CoordinatedProbes = lab.CoordinatedProbes || slices.Contains(o.features, featureCoordinatedProbes)
	lab.Shedding = lab.Shedding || slices.Contains(o.features, featureShedding)
}

// runScript runs a fleet under load and the script, if one is given. It returns the events and the work that all
// agents together do per second, in seconds.
func runScript(ctx context.Context, opts *options) (events []history.Event, cores float64, err error) {
	lab, err := openLab(ctx, opts)
	if err != nil {
		return nil, 0, err
	}
	defer lab.Close()
	if err := addScript(lab, opts.scriptPath, ""); err != nil {
		return nil, 0, err
	}
	if err := lab.StartMembers(ctx); err != nil {
		return nil, 0, fmt.Errorf("start members: %w", err)
	}
	err = runLoad(ctx, lab, opts, nil)
	return lab.Log.Events(), lab.TotalCores(), err
}

// print prints the row of a run.
func (r *comparedRun) print(table io.Writer) {
	state := "off"
	if r.enabled {
		state = "on"
	}
	store := history.SummarizeStores(r.events, r.opts.lab.Slots*len(r.opts.lab.Zones))
	faultRate, faultMax := history.StoreLoadDuringFault(r.events, string(faults.KindUnresponsiveStore), settlingTime)
	optimum := max(history.OptimalValue(r.events, r.cores*r.opts.duration.Seconds()), minOptimalValue)
	requests := float64(r.requests.Requests)
	fmt.Fprintf(table, "%d\t%s\t%.4f\t%.3f\t%.3f\t%d\t%.2f\t%d\t%.2f\t%d\t%.4f\t%.3f\t%.1f\t%d\t%s\t%d\t\n",
		r.opts.lab.Seed, state, r.valueRatio(), r.requests.ValueServed/optimum,
		float64(r.requests.ServedInFull)/requests, r.requests.Rejected, float64(r.requests.Attempts)/requests,
		store.Calls, store.MeanInFlight, store.MaxInFlight, store.OverloadedTimeRatio,
		history.RejectionFairness(r.events), faultRate, faultMax, recoveryTime(r.events), r.violations)
}

// recoveryTime returns the time from the first fault until service had recovered, "never", or "-" if there was no
// fault.
func recoveryTime(events []history.Event) string {
	from, to, found := history.FirstFault(events)
	if !found {
		return "-"
	}
	after, recovered := history.RecoveryTime(events, from, to)
	if !recovered {
		return "never"
	}
	return after.String()
}
