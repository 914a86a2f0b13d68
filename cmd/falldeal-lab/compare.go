package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"falldeal/lab/clients"
	"falldeal/lab/faults"
	"falldeal/lab/fleetlab"
	"falldeal/lab/history"
)

// rules are those of every play of this program.
var rules = history.Rules{Slack: 200 * time.Millisecond, IdempotencyWindow: fleetlab.IdempotencyWindow}

// settlingTime is how long after the beginning of a fault its effect is looked at.
const settlingTime = 8 * time.Second

// overloadFeatures of the handling of overload by a fleet, as flags name them.
var overloadFeatures = []string{"shares", "cutoff", "probes"}

// compare plays the same days, seed by seed, with a part of the fleet's overload handling off and on.
func compare(opts *options, out io.Writer) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	dir := opts.lab.Dir
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "falldeal-lab-"); err != nil {
			return err
		}
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "seed\t"+strings.Join(opts.features, "+")+"\tworth served\tof a central policy\tserved whole\trefused\ttries each\tcalls\tin hand, mean\tmost\ttime over the bound\teven\tat a mute store, calls a second\tin hand, most\tback at 95% after\tbroken\t")
	var gains []float64
	broken := 0
	for _, name := range opts.features {
		if !slices.Contains(overloadFeatures, name) {
			return fmt.Errorf("flag --with: %q is none of %s", name, strings.Join(overloadFeatures, ", "))
		}
	}
	for k := range opts.compare {
		var valueRatio [2]float64
		for on := range 2 {
			run := *opts
			run.lab.Seed = opts.lab.Seed + uint64(k)
			if on == 1 {
				run.lab.QuotaLeasing = run.lab.QuotaLeasing || slices.Contains(opts.features, "shares")
				run.lab.CoordinatedProbes = run.lab.CoordinatedProbes || slices.Contains(opts.features, "probes")
				run.lab.Shedding = run.lab.Shedding || slices.Contains(opts.features, "cutoff")
			}
			run.lab.Dir = filepath.Join(dir, fmt.Sprintf("seed%d-%d", run.lab.Seed, on))
			events, cores, err := runOnce(ctx, &run)
			if err != nil {
				return err
			}
			requests := history.SummarizeRequests(events)[""]
			if requests == nil {
				return errors.New("no request was made")
			}
			violations := history.Check(events, rules)
			n := len(violations)
			for _, w := range violations[:min(n, 3)] {
				fmt.Fprintln(out, "broken:", w)
			}
			broken += n
			store := history.SummarizeStores(events, run.lab.Slots*len(run.lab.Zones))
			valueRatio[on] = requests.ValueServed / requests.Value
			rate, most := history.StoreLoadDuringFault(events, faults.KindUnresponsiveStore, settlingTime)
			back := "-"
			if from, to, ok := history.FirstFault(events); ok {
				if d, ok := history.RecoveryTime(events, from, to); ok {
					back = d.String()
				} else {
					back = "never"
				}
			}
			fmt.Fprintf(table, "%d\t%s\t%.4f\t%.3f\t%.3f\t%d\t%.2f\t%d\t%.2f\t%d\t%.4f\t%.3f\t%.1f\t%d\t%s\t%d\t\n", run.lab.Seed, []string{"off", "on"}[on], valueRatio[on],
				requests.ValueServed/max(history.OptimalValue(events, cores*opts.duration.Seconds()), 1e-9),
				float64(requests.ServedInFull)/float64(requests.Requests), requests.Rejected, float64(requests.Attempts)/float64(requests.Requests), store.Calls, store.MeanInFlight, store.MaxInFlight,
				store.OverBoundRatio, history.RejectionFairness(events), rate, most, back, n)
		}
		gains = append(gains, valueRatio[1]-valueRatio[0])
	}
	if err := table.Flush(); err != nil {
		return err
	}
	slices.Sort(gains)
	fmt.Fprintf(out, "gain in worth served: %+.4f / %+.4f / %+.4f (least, median, most of %d seeds)\n", gains[0], gains[len(gains)/2],
		gains[len(gains)-1], len(gains))
	if broken > 0 {
		return fmt.Errorf("%d rules broken", broken)
	}
	return nil
}

// runOnce plays one day and returns what happened.
func runOnce(ctx context.Context, opts *options) (events []history.Event, cores float64, err error) {
	fleet, err := openLab(opts)
	if err != nil {
		return nil, 0, err
	}
	defer fleet.Close()
	if err := addScript(fleet, opts.scriptPath, ""); err != nil {
		return nil, 0, err
	}
	if err := fleet.StartMembers(); err != nil {
		return nil, 0, err
	}
	err = runLoad(ctx, fleet, opts, func(context.Context) {})
	return fleet.Log.Events(), fleet.TotalCores(), err
}

// addScript adds the faults of a file, or of a text where no file is named.
func addScript(fleet *fleetlab.Lab, path, text string) error {
	if path != "" {
		b, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		text = string(b)
	}
	script, err := faults.Parse([]byte(text), fleet.Locations())
	if err != nil {
		return fmt.Errorf("script %s: %w", path, err)
	}
	for _, f := range script.Faults {
		if err := fleet.AddFault(f); err != nil {
			return err
		}
	}
	return nil
}

// runLoad has front ends send for as long as asked, while the script is played.
func runLoad(ctx context.Context, fleet *fleetlab.Lab, opts *options, beside func(context.Context)) error {
	opts.workload.Classes, opts.workload.Seed, opts.workload.RequestsPerSecond, opts.workload.ReadRequest = opts.lab.Classes, opts.lab.Seed, opts.loadRatio*fleet.Capacity(), fleet.ReadRequest
	opts.workload.AttemptCompleted = fleet.CompleteAttempt
	playing, end := context.WithCancel(ctx)
	defer end()
	var wg sync.WaitGroup
	var failed error
	wg.Add(2)
	go func() { defer wg.Done(); failed = fleet.RunScript(playing) }()
	go func() { defer wg.Done(); beside(playing) }()
	for fleet.Log.Now() < 10*time.Second && len(fleet.Servers(0)()) < len(fleet.Members) && ctx.Err() == nil {
		time.Sleep(50 * time.Millisecond) // all are listed, or are not going to be
	}
	loaded, cancel := context.WithTimeout(ctx, opts.duration)
	defer cancel()
	clients.Run(loaded, opts.workload, fleet.Servers(opts.listLag), fleet.Log)
	end()
	wg.Wait()
	return failed
}
