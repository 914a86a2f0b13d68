package main

import (
	"fmt"
	"io"
	"time"

	"falldeal/lab/model"
)

const (
	maxModelServers   = 10000
	minModelFrontEnds = 24
	modelFaultTime    = 8 * time.Second
)

// modelFaultFactors are the kinds of faults in the model with how many times it multiplies arrivals or calls' times. ""
// stands for no fault.
var modelFaultFactors = map[model.FaultKind]float64{
	model.FaultBurst: 1.6, model.FaultZoneLost: 1, model.FaultStoresUnresponsive: 1, model.FaultStoresSlow: 8, "": 1,
}

// lostZone is the zone of a model.FaultZoneLost. The other faults are of all zones.
const lostZone = 1

// runModel runs models of fleets with the real decision code, under each overload strategy, and prints a comparison.
func runModel(opts *options, out io.Writer) error {
	servers := opts.lab.Members
	if servers < 1 || servers > maxModelServers {
		return fmt.Errorf("flag --members: %d is not between 1 and %d", servers, maxModelServers)
	}
	kind := model.FaultKind(opts.fault.Kind)
	factor, known := modelFaultFactors[kind]
	if !known {
		return fmt.Errorf("flag --kind: %q is not one of burst, lost, mute, slow", opts.fault.Kind)
	}
	settings := model.Defaults()
	settings.Servers, settings.FrontEnds = servers, max(minModelFrontEnds, servers/2)
	settings.LoadRatio, settings.Duration, settings.Seed = opts.loadRatio, opts.duration, opts.lab.Seed
	settings.HonorRetryAfterRatio = opts.honorRetryAfterRatio
	if kind != "" {
		zone := model.AllZones
		if kind == model.FaultZoneLost {
			zone = lostZone
		}
		settings.Faults = []model.Fault{{Kind: kind, Zone: zone, Start: opts.duration * 3 / 10,
			Duration: modelFaultTime, Factor: factor}}
	}
	start := time.Now()
	results, err := model.Compare(out, settings, max(opts.compare, 1), model.Strategies)
	if err != nil {
		return err
	}
	requests := 0
	for i := range results {
		requests += results[i].Requests
	}
	fmt.Fprintf(out, "%d servers, offered load %.0f%% of capacity, %.0f%% of front ends honor Retry-After: "+
		"%d simulations, %d requests, in %v\n",
		servers, 100*opts.loadRatio, 100*opts.honorRetryAfterRatio, len(results), requests,
		time.Since(start).Round(time.Second/10))
	return nil
}
