package main

import (
	"fmt"
	"io"
	"strings"
	"time"

	"falldeal/lab/clients"
	"falldeal/lab/faults"
	"falldeal/lab/fleetlab"

	"github.com/spf13/pflag"
)

// overloadFeatures are the parts of a fleet's overload handling that --with may name.
var overloadFeatures = []string{featureQuotaLeasing, featureShedding, featureCoordinatedProbes}

const (
	featureQuotaLeasing      = "shares"
	featureShedding          = "cutoff"
	featureCoordinatedProbes = "probes"
)

// honorRatios are the parts of the front ends that honor Retry-After, by the values of --heed.
var honorRatios = map[string]float64{"none": 0, "half": 0.5, "all": 1}

// options is the command line. Each command uses the fields that it needs.
type options struct {
	lab        fleetlab.Options
	workload   clients.Workload
	scriptPath string        // "": the command's own script
	loadRatio  float64       // of the agents' capacity
	listLag    time.Duration // by which the front ends' lists of servers lag
	duration   time.Duration // of the load, or of a fault
	features   []string      // of overloadFeatures, which compare turns on in one of two runs

	detect  int // how many members are killed to time the failure detection; 0: none
	compare int // how many seeds are compared; 0: no comparison

	fault       faults.Fault
	controlAddr string // of the fleet that a fault is sent to

	maxAttempts          int
	routeByKey           bool // all front ends do
	heed                 string
	honorRetryAfterRatio float64 // set by finish
}

// newOptions returns the defaults of what has no flag with one.
func newOptions() *options { return &options{lab: fleetlab.Defaults()} }

// flagSet returns the flags, which set o. Its usage is printed on out.
func (o *options) flagSet(out io.Writer) *pflag.FlagSet {
	flags := pflag.NewFlagSet("falldeal lab", pflag.ContinueOnError)
	flags.Usage = func() { fmt.Fprint(out, usage, flags.FlagUsages()) }
	flags.DurationVar(&o.duration, "for", 30*time.Second,
		"fleet: how long the load lasts; fault: how long it is in force")
	o.addFleetFlags(flags)
	o.addLoadFlags(flags)
	o.addComparisonFlags(flags)
	o.addFaultFlags(flags)
	return flags
}

func (o *options) addFleetFlags(flags *pflag.FlagSet) {
	lab := &o.lab
	flags.IntVar(&lab.Members, "members", lab.Members, "fleet: instances")
	flags.StringSliceVar(&lab.Zones, "zones", lab.Zones, "fleet: zones, over which they are spread in turn")
	flags.Uint64Var(&lab.Seed, "seed", lab.Seed, "fleet: of arrivals and of what the network loses")
	flags.DurationVar(&lab.ProbeInterval, "probe", lab.ProbeInterval,
		"fleet: between two probes of the failure detection")
	flags.BoolVar(&lab.Encrypted, "keyed", true, "fleet: words are encrypted")
	flags.StringVar(&lab.LogLevel, "log-level", lab.LogLevel, "fleet: of the instances' logs")
	flags.StringVar(&lab.Dir, "dir", "", "fleet: folder for logs, history and plot (default: a new one)")
	flags.StringVar(&o.scriptPath, "script", "", "fleet: file of faults, TOML")
	flags.BoolVar(&lab.Shedding, featureShedding, false,
		"fleet: what the fleet has no room for is refused by all alike")
	flags.BoolVar(&lab.CoordinatedProbes, featureCoordinatedProbes, false,
		"fleet: a store that does not answer is tried by turns")
	flags.BoolVar(&lab.QuotaLeasing, featureQuotaLeasing, false,
		"fleet: shares of the store move between members")
	flags.IntVar(&lab.Cores, "cores", lab.Cores, "fleet: of each agent; every other one's are slower")
	flags.IntVar(&lab.Slots, "slots", lab.Slots, "fleet: of the store of each zone")
	flags.DurationVar(&lab.CallTime, "call", lab.CallTime, "fleet: that a call takes in a slot")
}

func (o *options) addLoadFlags(flags *pflag.FlagSet) {
	flags.Float64Var(&o.loadRatio, "load", 0.6, "fleet: share of the agents' capacity that is asked for")
	flags.IntVar(&o.workload.FrontEnds, "front-ends", 6, "fleet: front ends")
	flags.IntVar(&o.maxAttempts, "tries", 3, "fleet: tries of a request at most; 0 = no limit")
	flags.StringVar(&o.heed, "heed", "half",
		"fleet: front ends that heed advice: none, half (those that go by key), all")
	flags.BoolVar(&o.routeByKey, "by-key", false, "fleet: all front ends go by key")
	flags.DurationVar(&o.listLag, "lag", time.Second, "fleet: by which front ends' lists lag")
	flags.IntVar(&o.workload.KeyCount, "keys", 200,
		"fleet: different keys of reads; few make few servers busy for front ends that go by key")
}

func (o *options) addComparisonFlags(flags *pflag.FlagSet) {
	flags.IntVar(&o.compare, "compare", 0, "fleet, model: play with so many seeds, each with what --with names "+
		"off and on (model: in each way), and compare")
	flags.StringSliceVar(&o.features, "with", []string{featureQuotaLeasing},
		"fleet: with --compare, what is off in the one play and on in the other: "+strings.Join(overloadFeatures, ", "))
	flags.IntVar(&o.detect, "detect", 0,
		"fleet: no load; kill a member that many times and time how long others take to see it")
}

func (o *options) addFaultFlags(flags *pflag.FlagSet) {
	fault := &o.fault
	flags.StringVar(&o.controlAddr, "lab", "", "fault: address that fleet printed")
	flags.StringVar((*string)(&fault.Kind), "kind", "", "model: burst, lost (a zone), mute, slow (stores); "+
		"fault: cut, loss, double, delay, slow, reset, kill, stop, term, restart, slowrun, mute, wedge, clock")
	flags.StringVar(&fault.Target, "who", "", "fault: NAME, zone:NAME, region:NAME or *")
	flags.StringVar(&fault.Peer, "to", "", "fault: the other end of a link (default: everybody)")
	flags.BoolVar(&fault.OneWay, "one-way", false, "fault: only from who to the other end")
	flags.Float64Var(&fault.Ratio, "share", 0, "fault: share lost or doubled; how many times slower")
	flags.DurationVar(&fault.Delay, "delay", 0, "fault: of datagrams; how far a clock is off")
	flags.DurationVar(&fault.Jitter, "jitter", 0, "fault: up to that much more")
	flags.IntVar(&fault.BytesPerSecond, "rate", 0, "fault: bytes a second that a slow stream carries")
}

// finish sets what goes by several flags or is a number behind a name.
func (o *options) finish() error {
	ratio, known := honorRatios[o.heed]
	if !known {
		return fmt.Errorf("flag --heed: %q is none of none, half and all", o.heed)
	}
	o.honorRetryAfterRatio = ratio
	byKey := clients.Policy{RouteByKey: true, MaxAttempts: o.maxAttempts, HonorRetryAfter: o.heed != "none"}
	o.workload.Policies = []clients.Policy{byKey}
	if !o.routeByKey {
		anyServer := clients.Policy{MaxAttempts: o.maxAttempts, HonorRetryAfter: o.heed == "all"}
		o.workload.Policies = []clients.Policy{anyServer, byKey}
	}
	return nil
}
