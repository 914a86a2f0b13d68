package model

import (
	"time"

	"falldeal/lab/clients"
	"falldeal/lab/workerpool"
)

// Options describe the fleet, its load and its faults.
type Options struct {
	Servers, Zones, FrontEnds   int
	Seed                        uint64
	LoadRatio                   float64 // of Capacity
	Duration                    time.Duration
	Cores                       int     // of each server; every second server has slower ones
	SlotsPerServer              float64 // of the store of its zone
	CallTime                    time.Duration
	WarmupTime                  time.Duration // of a server or a store after a restart
	StoreCrashMultiple          float64       // a warm store crashes under more calls in flight than this multiple of its slots
	HonorRetryAfterRatio        float64       // ratio of the front ends that honor Retry-After
	Classes                     []clients.Class
	Shedding, CoordinatedProbes bool
	Aggregates                  bool // a large fleet exchanges aggregates of zones; otherwise servers use each other's records
	Faults                      []Fault
}

// FaultKind names what a Fault does. The names stand in histories and on the command line.
type FaultKind string

// Kinds of faults.
const (
	FaultStoresUnresponsive FaultKind = "mute"  // stores answer nothing, and are restarted at the end
	FaultZoneLost           FaultKind = "lost"  // the servers of a zone are killed, and restarted at the end
	FaultStoresSlow         FaultKind = "slow"  // calls take Factor times as long
	FaultBurst              FaultKind = "burst" // Factor times the load
)

// AllZones as the Zone of a Fault stands for every zone.
const AllZones = -1

// Fault is something that goes wrong from Start on, for Duration.
type Fault struct {
	Kind            FaultKind
	Zone            int // or AllZones
	Start, Duration time.Duration
	Factor          float64 // FaultStoresSlow, FaultBurst
}

// active reports whether the fault is in force at a time.
func (f *Fault) active(now time.Duration) bool { return now >= f.Start && now < f.Start+f.Duration }

// affects reports whether the fault is one of the stores or servers of zone.
func (f *Fault) affects(zone int) bool { return f.Zone == AllZones || f.Zone == zone }

// Classes are the request classes of the laboratory with four times the work, so that a server with four cores gets about
// twelve requests a second.
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

// Defaults returns the options of a small fleet without faults.
func Defaults() Options {
	return Options{
		Servers: 12, Zones: 3, FrontEnds: 24, Seed: 1, LoadRatio: 0.8, Duration: 40 * time.Second,
		Cores: 4, SlotsPerServer: 4, CallTime: 100 * time.Millisecond, WarmupTime: 4 * time.Second,
		StoreCrashMultiple: 5, HonorRetryAfterRatio: 1, Classes: Classes, Aggregates: true,
	}
}

// Capacity returns how many requests a second the fleet can read and run.
func Capacity(opts Options) float64 { return clients.Capacity(TotalCores(opts), opts.Classes) }

// TotalCores returns the work that the fleet can do in a second, in seconds on a fast core.
func TotalCores(opts Options) float64 { return workerpool.TotalCores(opts.Servers, opts.Cores) }
