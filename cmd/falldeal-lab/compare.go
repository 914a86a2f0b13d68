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
	// settlingTime is the time from the start of a fault to when its effect is measured.
	settlingTime = 8 * time.Second

	maxComparedViolations = 3 // printed of each run

	minOptimalValue = 1e-9 // keeps a ratio to the optimum finite
)

// comparisonColumns are the heads of the columns behind the seed and the features.
var comparisonColumns = []string{
	"value served", "ratio to optimum", "served in full", "rejected", "attempts per request", "store calls",
	"mean in flight", "max in flight", "time over limit", "rejection fairness", "unresponsive store: calls/s",
	"max in flight", "recovery time", "violations",
}

// errNoRequest reports a run whose load was empty.
var errNoRequest = errors.New("no request was completed")

// comparedRun is the result of one of the two runs with a seed.
type comparedRun struct {
	opts       *options
	enabled    bool // opts.features were on
	events     []history.Event
	cores      float64 // of all agents
	requests   *history.RequestSummary
	violations int
}

// valueRatio returns the part of the requests' value that was served.
func (r *comparedRun) valueRatio() float64 { return r.requests.ValueServed / r.requests.Value }

// comparison runs the same load and script, seed by seed, with opts.features off and on.
type comparison struct {
	opts       *options
	out        io.Writer
	dir        string    // of the runs' folders
	gains      []float64 // in value served, by seed
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

// printTable makes all runs and prints a row for each.
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

// runSeed makes the two runs with a seed.
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

// printGains prints the distribution of the gains. There must be one.
func (c *comparison) printGains() {
	slices.Sort(c.gains)
	count := len(c.gains)
	fmt.Fprintf(c.out, "gain in value served: %+.4f / %+.4f / %+.4f (min, median, max of %d seeds)\n",
		c.gains[0], c.gains[count/2], c.gains[count-1], count)
}

func checkFeatures(features []string) error {
	for _, name := range features {
		if !slices.Contains(overloadFeatures, name) {
			return fmt.Errorf("flag --with: %q is not one of %s", name, strings.Join(overloadFeatures, ", "))
		}
	}
	return nil
}

// run runs a fleet with a seed, in a folder of its own below dir, and prints violations of the rules.
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

// enableFeatures turns the features on that are to be compared.
func (o *options) enableFeatures() {
	lab := &o.lab
	lab.QuotaLeasing = lab.QuotaLeasing || slices.Contains(o.features, featureQuotaLeasing)
	lab.CoordinatedProbes = lab.CoordinatedProbes || slices.Contains(o.features, featureCoordinatedProbes)
	lab.Shedding = lab.Shedding || slices.Contains(o.features, featureShedding)
}

// runScript runs a fleet under load and the script, if one is named, and returns what happened.
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

// recoveryTime returns how long after the first fault service was back, "never", or "-" for a run without a fault.
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
