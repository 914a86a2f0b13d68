package main

import (
	"fmt"
	"io"
	"time"

	"falldeal/lab/model"
)

// modelled plays fleets of models with the shipped decision code, in each of the ways to go about overload, and compares.
func modelled(a *asked, out io.Writer) error {
	if a.o.Members < 1 || a.o.Members > 10000 {
		return fmt.Errorf("flag --members: %d is not between 1 and 10000", a.o.Members)
	}
	kinds := map[string]float64{"burst": 1.6, "lost": 1, "mute": 1, "slow": 8, "": 1}
	times, ok := kinds[a.fault.Kind]
	if !ok {
		return fmt.Errorf("flag --kind: %q is none of burst, lost, mute and slow", a.fault.Kind)
	}
	o := model.Defaults()
	o.Servers, o.FrontEnds, o.LoadRatio, o.Duration, o.Seed, o.HonorRetryAfterRatio = a.o.Members, max(24, a.o.Members/2), a.load, a.for_, a.o.Seed, a.heed
	if a.fault.Kind != "" {
		zone := -1
		if a.fault.Kind == "lost" {
			zone = 1
		}
		o.Faults = []model.Fault{{Kind: a.fault.Kind, Zone: zone, Start: a.for_ * 3 / 10, Duration: 8 * time.Second, Factor: times}}
	}
	begun := time.Now()
	results, err := model.Compare(out, o, max(a.compare, 1), model.Strategies)
	if err != nil {
		return err
	}
	n := 0
	for _, r := range results {
		n += r.Requests
	}
	fmt.Fprintf(out, "%d servers, %.0f%% of what they can do, %.0f%% of the front ends heed advice: %d days, %d requests, in %v\n", a.o.Members,
		100*a.load, 100*a.heed, len(results), n, time.Since(begun).Round(time.Second/10))
	return nil
}
