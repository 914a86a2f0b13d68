package model

import (
	"time"

	"falldeal/lab/clients"
	"falldeal/lab/workerpool"
)

// Options describe a simulation: the fleet, its load, its faults and its strategy. Ratios are plain numbers: 1 is 100%.
type Options struct {
	Servers, Zones, FrontEnds   int           // numbers of them; servers are assigned to zones round robin
	Seed                        uint64        // of all random draws
	LoadRatio                   float64       // arrival rate once it has risen for loadRampTime, as a ratio of Capacity(opts)
	Duration                    time.Duration // time during which requests arrive
	Cores                       int           // cores of each server; every second server has slower ones
	SlotsPerServer              float64       // slots of a zone's store for each server of the zone
	CallTime                    time.Duration // work of a call, on one slot of a store at full speed
	WarmupTime                  time.Duration // until a server or a store is at full speed after a restart
	StoreCrashMultiple          float64       // a warm store crashes under more calls in flight than this multiple of its slots
	HonorRetryAfterRatio        float64       // probability that a front end honors Retry-After
	Classes                     []clients.Class
	Shedding, CoordinatedProbes bool // whether the fleet sheds load together, and coordinates probes of unresponsive stores
	Aggregates                  bool // a large fleet shares its load as aggregates of zones, not as records of servers
	Faults                      []Fault
}

// FaultKind is the kind of a Fault. Its text is used in histories and on the command line.
type FaultKind string

// Kinds of faults.
const (
	FaultStoresUnresponsive FaultKind = "mute"  // stores accept calls without answering them, and restart when the fault ends
	FaultZoneLost           FaultKind = "lost"  // the servers of a zone are killed, and restart when the fault ends
	FaultStoresSlow         FaultKind = "slow"  // calls to stores take Factor times as long
	FaultBurst              FaultKind = "burst" // requests arrive at Factor times the rate, in all zones
)

// AllZones is the Zone of a Fault that affects every zone.
const AllZones = -1

// Fault is a fault that is injected at Start and ends after Duration.
type Fault struct {
	Kind            FaultKind
	Zone            int           // number of the affected zone, or AllZones
	Start, Duration time.Duration // Start is on the clock of the simulation
	Factor          float64       // of the call time for FaultStoresSlow, of the arrival rate for FaultBurst; unused by other kinds
}

// active reports whether the fault is active at a time.
func (f *Fault) active(now time.Duration) bool { return now >= f.Start && now < f.Start+f.Duration }

// affects reports whether the fault affects a zone.
func (f *Fault) affects(zone int) bool { return f.Zone == AllZones || f.Zone == zone }

// Classes are the default request classes: those of package fleetlab with four times the work, so that a server with four
// cores has the capacity for about twelve requests per second, as the mean of fast and slow machines.
var Classes = []clients.Class{
	{
		Name: "preview", ArrivalRatio: 0.6, MeanWork: 160 * time.Millisecond,
		Timeout: 4 * time.Second, LatencyObjective: 1900 * time.Millisecond,
		Value: 1, DegradedValueRatio: 0.6,
	},
	{
		Name: classWithoutCalls, ArrivalRatio: 0.3, MeanWork: 360 * time.Millisecond,
		Timeout: 4 * time.Second, LatencyObjective: 1900 * time.Millisecond,
		Value: 2,
	},
	{
		Name: "licence-order", ArrivalRatio: 0.1, MeanWork: 240 * time.Millisecond,
		Timeout: 4 * time.Second, LatencyObjective: 1900 * time.Millisecond,
		Value: 3, IdempotentByKey: true,
	},
}

// classWithoutCalls is the class whose requests need no call to the store.
const classWithoutCalls = "hires-crop"

// Defaults returns options for a small fleet without faults. Its strategy is the baseline.
func Defaults() Options {
	return Options{
		Servers: 12, Zones: 3, FrontEnds: 24, Seed: 1, LoadRatio: 0.8, Duration: 40 * time.Second,
		Cores: 4, SlotsPerServer: 4, CallTime: 100 * time.Millisecond, WarmupTime: 4 * time.Second,
		StoreCrashMultiple: 5, HonorRetryAfterRatio: 1, Classes: Classes, Aggregates: true,
	}
}

// Capacity returns how many requests per second the fleet can read and run, if calls to stores take no time.
func Capacity(opts Options) float64 { return clients.Capacity(TotalCores(opts), opts.Classes) }

// TotalCores returns the processing capacity of the fleet, as a number of cores of speed 1.
func TotalCores(opts Options) float64 { return workerpool.TotalCores(opts.Servers, opts.Cores) }
