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

// settled is how long after the beginning of a fault its effect is looked at.
const settled = 8 * time.Second

// parts of the handling of overload by a fleet, as flags name them.
var parts = []string{"shares", "cutoff", "probes"}

// compare plays the same days, seed by seed, with a part of the fleet's overload handling off and on.
func compare(a *asked, out io.Writer) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	dir := a.o.Dir
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "falldeal-lab-"); err != nil {
			return err
		}
	}
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "seed\t"+strings.Join(a.with, "+")+"\tworth served\tof a central policy\tserved whole\trefused\ttries each\tcalls\tin hand, mean\tmost\ttime over the bound\teven\tat a mute store, calls a second\tin hand, most\tback at 95% after\tbroken\t")
	var gains []float64
	broken := 0
	for _, name := range a.with {
		if !slices.Contains(parts, name) {
			return fmt.Errorf("flag --with: %q is none of %s", name, strings.Join(parts, ", "))
		}
	}
	for k := range a.compare {
		var worth [2]float64
		for on := range 2 {
			b := *a
			b.o.Seed = a.o.Seed + uint64(k)
			if on == 1 {
				b.o.QuotaLeasing = b.o.QuotaLeasing || slices.Contains(a.with, "shares")
				b.o.CoordinatedProbes = b.o.CoordinatedProbes || slices.Contains(a.with, "probes")
				b.o.Shedding = b.o.Shedding || slices.Contains(a.with, "cutoff")
			}
			b.o.Dir = filepath.Join(dir, fmt.Sprintf("seed%d-%d", b.o.Seed, on))
			events, cores, err := one(ctx, &b)
			if err != nil {
				return err
			}
			s := history.SummarizeRequests(events)[""]
			if s == nil {
				return errors.New("no request was made")
			}
			wrong := history.Check(events, rules)
			n := len(wrong)
			for _, w := range wrong[:min(n, 3)] {
				fmt.Fprintln(out, "broken:", w)
			}
			broken += n
			store := history.SummarizeStores(events, b.o.Slots*len(b.o.Zones))
			worth[on] = s.ValueServed / s.Value
			rate, most := history.StoreLoadDuringFault(events, faults.KindUnresponsiveStore, settled)
			back := "-"
			if from, to, ok := history.FirstFault(events); ok {
				if d, ok := history.RecoveryTime(events, from, to); ok {
					back = d.String()
				} else {
					back = "never"
				}
			}
			fmt.Fprintf(t, "%d\t%s\t%.4f\t%.3f\t%.3f\t%d\t%.2f\t%d\t%.2f\t%d\t%.4f\t%.3f\t%.1f\t%d\t%s\t%d\t\n", b.o.Seed, []string{"off", "on"}[on], worth[on],
				s.ValueServed/max(history.OptimalValue(events, cores*a.for_.Seconds()), 1e-9),
				float64(s.ServedInFull)/float64(s.Requests), s.Rejected, float64(s.Attempts)/float64(s.Requests), store.Calls, store.MeanInFlight, store.MaxInFlight,
				store.OverBoundRatio, history.RejectionFairness(events), rate, most, back, n)
		}
		gains = append(gains, worth[1]-worth[0])
	}
	if err := t.Flush(); err != nil {
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

// one plays one day and returns what happened.
func one(ctx context.Context, a *asked) (events []history.Event, cores float64, err error) {
	l, err := open(a)
	if err != nil {
		return nil, 0, err
	}
	defer l.Close()
	if err := addScript(l, a.script, ""); err != nil {
		return nil, 0, err
	}
	if err := l.StartMembers(); err != nil {
		return nil, 0, err
	}
	err = drive(ctx, l, a, func(context.Context) {})
	return l.Log.Events(), l.TotalCores(), err
}

// addScript adds the faults of a file, or of a text where no file is named.
func addScript(l *fleetlab.Lab, path, text string) error {
	if path != "" {
		b, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		text = string(b)
	}
	script, err := faults.Parse([]byte(text), l.Locations())
	if err != nil {
		return fmt.Errorf("script %s: %w", path, err)
	}
	for _, f := range script.Faults {
		if err := l.AddFault(f); err != nil {
			return err
		}
	}
	return nil
}

// drive has front ends send for as long as asked, while the script is played.
func drive(ctx context.Context, l *fleetlab.Lab, a *asked, beside func(context.Context)) error {
	a.plan.Classes, a.plan.Seed, a.plan.RequestsPerSecond, a.plan.ReadRequest = a.o.Classes, a.o.Seed, a.load*l.Capacity(), l.ReadRequest
	a.plan.AttemptCompleted = l.CompleteAttempt
	playing, end := context.WithCancel(ctx)
	defer end()
	var wg sync.WaitGroup
	var failed error
	wg.Add(2)
	go func() { defer wg.Done(); failed = l.RunScript(playing) }()
	go func() { defer wg.Done(); beside(playing) }()
	for l.Log.Now() < 10*time.Second && len(l.Servers(0)()) < len(l.Members) && ctx.Err() == nil {
		time.Sleep(50 * time.Millisecond) // all are listed, or are not going to be
	}
	loaded, cancel := context.WithTimeout(ctx, a.for_)
	defer cancel()
	clients.Run(loaded, a.plan, l.Servers(a.lag), l.Log)
	end()
	wg.Wait()
	return failed
}
