package main

import (
	"fmt"
	"io"
	"time"

	"falldeal/lab/model"
)

const (
	maxModelServers   = 10000           // bound of --members
	minModelFrontEnds = 24              // small fleets have this many front ends, others one per two servers
	modelFaultTime    = 8 * time.Second // duration of a fault
)

// noModelFault is the fault kind of a simulation without a fault.
const noModelFault model.FaultKind = ""

// modelFaultFactors maps each kind of fault to the factor that multiplies arrivals (burst) or the duration of calls
// (slow stores).
var modelFaultFactors = map[model.FaultKind]float64{
	model.FaultBurst:              1.6,
	model.FaultZoneLost:           1,
	model.FaultStoresUnresponsive: 1,
	model.FaultStoresSlow:         8,
	noModelFault:                  1,
}

// lostZone is the zone that a model.FaultZoneLost affects. Other faults affect all zones.
const lostZone = 1

// runModel simulates fleets with the server's own decision code, under each overload strategy, and prints a
// comparison.
func runModel(opts *options, out io.Writer) error {
	simulated, err := modelOptions(opts)
	if err != nil {
		return err
	}
	start := time.Now()
	results, err := model.Compare(out, simulated, max(opts.compare, 1), model.Strategies)
	if err != nil {
		return fmt.Errorf("print comparison: %w", err)
	}
	requests := 0
	for i := range results {
		requests += results[i].Requests
	}
	fmt.Fprintf(out, "%d servers, offered load %.0f%% of capacity, %.0f%% of front ends honor Retry-After: "+
		"%d simulations, %d requests, in %v\n",
		simulated.Servers, 100*opts.loadRatio, 100*opts.honorRetryAfterRatio, len(results), requests,
		time.Since(start).Round(time.Second/10))
	return nil
}

// modelOptions returns the options of the simulated fleet.
func modelOptions(opts *options) (model.Options, error) {
	servers := opts.lab.Members
	if servers < 1 || servers > maxModelServers {
		return model.Options{}, fmt.Errorf("flag --members: %d is not between 1 and %d", servers, maxModelServers)
	}
	simulated := model.Defaults()
	simulated.Servers = servers
	simulated.FrontEnds = max(minModelFrontEnds, servers/2)
	simulated.LoadRatio = opts.loadRatio
	simulated.Duration = opts.duration
	simulated.Seed = opts.lab.Seed
	simulated.HonorRetryAfterRatio = opts.honorRetryAfterRatio
	kind := model.FaultKind(opts.fault.Kind)
	factor, known := modelFaultFactors[kind]
	if !known {
		return model.Options{}, fmt.Errorf("flag --kind: %q is not one of burst, lost, mute, slow", kind)
	}
	if kind != noModelFault {
		simulated.Faults = []model.Fault{modelFault(kind, factor, opts.duration)}
	}
	return simulated, nil
}

// modelFault returns a fault that starts after three tenths of the simulated time.
func modelFault(kind model.FaultKind, factor float64, simulated time.Duration) model.Fault {
	zone := model.AllZones
	if kind == model.FaultZoneLost {
		zone = lostZone
	}
	return model.Fault{
		Kind: kind, Zone: zone, Start: simulated * 3 / 10, Duration: modelFaultTime, Factor: factor,
	}
}
