package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"falldeal/lab/clients"
	"falldeal/lab/faults"
	"falldeal/lab/fleetlab"
	"falldeal/lab/history"
)

const (
	maxMembers = 600 // processes on one machine

	historyFile = "history.jsonl"
	plotFile    = "requests.png"

	// listTimeout is the time on the laboratory's clock at which the load starts even if not all members are in the
	// server lists.
	listTimeout      = 10 * time.Second
	pollInterval     = 50 * time.Millisecond  // of conditions that a command waits for
	viewPollInterval = 500 * time.Millisecond // of the members' views of the fleet
)

// exampleScript is used if no script is given.
const exampleScript = `
[[fault]]
kind = "cut"
who = "zone:mechelen"
at = "8s"
for = "8s"

[[fault]]
kind = "kill"
who = "n1"
at = "20s"
for = "6s"
`

// runFleet runs a fleet under load and faults, writes its history and a plot, and prints a report.
func runFleet(ctx context.Context, opts *options, out io.Writer) error {
	lab, err := openLab(ctx, opts)
	if err != nil {
		return err
	}
	defer lab.Close()
	if err := addScript(lab, opts.scriptPath, exampleScript); err != nil {
		return err
	}
	if err := lab.StartMembers(ctx); err != nil {
		return fmt.Errorf("start members: %w", err)
	}
	controlAddr, err := serveControl(ctx, lab)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%d members in zones %s; files in %s; control address %s\n",
		opts.lab.Members, strings.Join(opts.lab.Zones, ", "), opts.lab.Dir, controlAddr)
	fmt.Fprintf(out, "offered load: %.0f requests/s for %v, %.0f%% of the agents' capacity\n",
		opts.loadRatio*lab.Capacity(), opts.duration, 100*opts.loadRatio)

	watch := func(ctx context.Context) { lab.WatchViews(ctx, viewPollInterval) }
	if err := runLoad(ctx, lab, opts, watch); err != nil {
		return err
	}
	events := lab.Log.Events()
	if err := writeHistory(&opts.lab, events); err != nil {
		return err
	}
	return report(out, events)
}

// writeHistory writes the events and a plot of the requests to the fleet's directory.
func writeHistory(lab *fleetlab.Options, events []history.Event) error {
	if err := history.Write(filepath.Join(lab.Dir, historyFile), events); err != nil {
		return fmt.Errorf("write history: %w", err)
	}
	title := fmt.Sprintf("%d members, seed %d", lab.Members, lab.Seed)
	if err := history.Plot(filepath.Join(lab.Dir, plotFile), title, events); err != nil {
		return fmt.Errorf("plot requests: %w", err)
	}
	return nil
}

// openLab creates a fleet in the directory of opts. If opts names no directory, it creates a temporary one and sets it in
// opts.
func openLab(ctx context.Context, opts *options) (*fleetlab.Lab, error) {
	if opts.lab.Members < 1 || opts.lab.Members > maxMembers {
		return nil, fmt.Errorf("flag --members: %d is not between 1 and %d", opts.lab.Members, maxMembers)
	}
	self, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("find path of falldeal: %w", err)
	}
	opts.lab.Binary = filepath.Join(filepath.Dir(self), "falldeal")
	if opts.lab.Dir, err = dirOrNew(opts.lab.Dir); err != nil {
		return nil, err
	}
	lab, err := fleetlab.New(ctx, opts.lab)
	if err != nil {
		return nil, fmt.Errorf("prepare fleet: %w", err)
	}
	return lab, nil
}

// dirOrNew returns dir, or a new temporary directory if dir is empty.
func dirOrNew(dir string) (string, error) {
	if dir != "" {
		return dir, nil
	}
	created, err := os.MkdirTemp("", "falldeal-lab-")
	if err != nil {
		return "", fmt.Errorf("create directory: %w", err)
	}
	return created, nil
}

// addScript adds the faults of a script file to the fleet, or those of text if path is empty.
func addScript(lab *fleetlab.Lab, path, text string) error {
	if path != "" {
		content, err := os.ReadFile(path) //nolint:gosec // the user names the file
		if err != nil {
			return fmt.Errorf("read script: %w", err)
		}
		text = string(content)
	}
	script, err := faults.Parse([]byte(text), lab.Locations())
	if err != nil {
		return fmt.Errorf("script %s: %w", path, err)
	}
	for _, fault := range script.Faults {
		if err := addFault(lab, fault); err != nil {
			return err
		}
	}
	return nil
}

func addFault(lab *fleetlab.Lab, fault faults.Fault) error {
	if err := lab.AddFault(fault); err != nil {
		return fmt.Errorf("add fault: %w", err)
	}
	return nil
}

// runLoad sends requests for opts.duration while the fault script runs. It also runs watch, if not nil, until the
// load has ended.
func runLoad(ctx context.Context, lab *fleetlab.Lab, opts *options, watch func(context.Context)) error {
	workload := opts.workload
	workload.Classes = opts.lab.Classes
	workload.Seed = opts.lab.Seed
	workload.RequestsPerSecond = opts.loadRatio * lab.Capacity()
	workload.ReadRequest = lab.ReadRequest
	workload.AttemptCompleted = lab.CompleteAttempt

	running, stop := context.WithCancel(ctx)
	defer stop()
	var wait sync.WaitGroup
	var scriptErr error
	wait.Go(func() { scriptErr = lab.RunScript(running) })
	if watch != nil {
		wait.Go(func() { watch(running) })
	}
	// Wait until all members are listed. One that is not listed at listTimeout may have failed or have a delayed start.
	for lab.Log.Now() < listTimeout && len(lab.Servers(0)()) < len(lab.Members) && ctx.Err() == nil {
		time.Sleep(pollInterval)
	}
	loaded, cancel := context.WithTimeout(ctx, opts.duration)
	defer cancel()
	clients.Run(loaded, workload, lab.Servers(opts.listLag), lab.Log)
	stop()
	wait.Wait()
	if scriptErr != nil {
		return fmt.Errorf("run script: %w", scriptErr)
	}
	return nil
}
