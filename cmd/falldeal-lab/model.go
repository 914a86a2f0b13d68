package main

import (
	"fmt"
	"io"
	"time"

	"falldeal/lab/model"
)

// runModel plays fleets of models with the shipped decision code, in each of the ways to go about overload, and compares.
func runModel(opts *options, out io.Writer) error {
	if opts.lab.Members < 1 || opts.lab.Members > 10000 {
		return fmt.Errorf("flag --members: %d is not between 1 and 10000", opts.lab.Members)
	}
	kinds := map[string]float64{"burst": 1.6, "lost": 1, "mute": 1, "slow": 8, "": 1}
	times, ok := kinds[opts.fault.Kind]
	if !ok {
		return fmt.Errorf("flag --kind: %q is none of burst, lost, mute and slow", opts.fault.Kind)
	}
	modelOptions := model.Defaults()
	modelOptions.Servers, modelOptions.FrontEnds, modelOptions.LoadRatio, modelOptions.Duration, modelOptions.Seed, modelOptions.HonorRetryAfterRatio = opts.lab.Members, max(24, opts.lab.Members/2), opts.loadRatio, opts.duration, opts.lab.Seed, opts.honorRetryAfterRatio
	if opts.fault.Kind != "" {
		zone := -1
		if opts.fault.Kind == "lost" {
			zone = 1
		}
		modelOptions.Faults = []model.Fault{{Kind: opts.fault.Kind, Zone: zone, Start: opts.duration * 3 / 10, Duration: 8 * time.Second, Factor: times}}
	}
	begun := time.Now()
	results, err := model.Compare(out, modelOptions, max(opts.compare, 1), model.Strategies)
	if err != nil {
		return err
	}
	n := 0
	for _, r := range results {
		n += r.Requests
	}
	fmt.Fprintf(out, "%d servers, %.0f%% of what they can do, %.0f%% of the front ends heed advice: %d days, %d requests, in %v\n", opts.lab.Members,
		100*opts.loadRatio, 100*opts.honorRetryAfterRatio, len(results), n, time.Since(begun).Round(time.Second/10))
	return nil
}
