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

// overloadFeatures are the features of overload handling that --with accepts.
var overloadFeatures = []string{featureQuotaLeasing, featureShedding, featureCoordinatedProbes}

const (
	featureQuotaLeasing      = "shares"
	featureShedding          = "cutoff"
	featureCoordinatedProbes = "probes"
)

// honorRatios maps the values of --heed to the fraction of the front ends that honor Retry-After.
var honorRatios = map[string]float64{honorNone: 0, honorHalf: 0.5, honorAll: 1}

const (
	honorNone = "none"
	honorHalf = "half" // in a fleet: the front ends that route by key
	honorAll  = "all"
)

// options is the command line. Each command uses only some of the fields.
type options struct {
	lab        fleetlab.Options
	workload   clients.Workload
	scriptPath string        // "" = default script of the command
	loadRatio  float64       // offered load as a fraction of the capacity of the agents
	listLag    time.Duration // delay of the front ends' server lists
	duration   time.Duration // of the load, or of a fault
	features   []string      // elements of overloadFeatures that compare turns off and on

	detect  int // number of members to kill to measure failure detection; 0 = off
	compare int // number of seeds to compare; 0 = off

	fault       faults.Fault
	controlAddr string // control address of the fleet that a fault is sent to

	maxAttempts          int     // per request; 0 = unlimited
	routeByKey           bool    // all front ends route by key
	honorRetryAfter      string  // key of honorRatios
	honorRetryAfterRatio float64 // value of honorRatios for honorRetryAfter; set by resolve
}

// newOptions returns options with the defaults of the fleet.
func newOptions() *options { return &options{lab: fleetlab.Defaults()} }

// flagSet returns the flags that set o. Its usage is printed to out.
func (o *options) flagSet(out io.Writer) *pflag.FlagSet {
	flags := pflag.NewFlagSet("falldeal lab", pflag.ContinueOnError)
	flags.Usage = func() { fmt.Fprint(out, usage, flags.FlagUsages()) }
	flags.DurationVar(&o.duration, "for", 30*time.Second,
		"fleet, model: duration of the load; fault: duration of the fault")
	o.addFleetFlags(flags)
	o.addLoadFlags(flags)
	o.addComparisonFlags(flags)
	o.addFaultFlags(flags)
	return flags
}

func (o *options) addFleetFlags(flags *pflag.FlagSet) {
	lab := &o.lab
	flags.IntVar(&lab.Members, "members", lab.Members, "fleet, model: number of servers")
	flags.StringSliceVar(&lab.Zones, "zones", lab.Zones, "fleet: zones, to which members are assigned round robin")
	flags.Uint64Var(&lab.Seed, "seed", lab.Seed, "fleet, model: seed of arrivals and packet loss")
	flags.DurationVar(&lab.ProbeInterval, "probe", lab.ProbeInterval,
		"fleet: interval of the failure detector's probes")
	flags.BoolVar(&lab.Encrypted, "keyed", true, "fleet: encrypt the gossip")
	flags.StringVar(&lab.LogLevel, "log-level", lab.LogLevel, "fleet: log level of the servers")
	flags.StringVar(&lab.Dir, "dir", "", "fleet: directory for logs, history and plot (default: a new one)")
	flags.StringVar(&o.scriptPath, "script", "", "fleet: fault script, TOML")
	flags.BoolVar(&lab.Shedding, featureShedding, false,
		"fleet: shed load at one priority threshold across the fleet")
	flags.BoolVar(&lab.CoordinatedProbes, featureCoordinatedProbes, false,
		"fleet: coordinate the probes of an unresponsive store")
	flags.BoolVar(&lab.QuotaLeasing, featureQuotaLeasing, false,
		"fleet: lease call quotas of the stores between members")
	flags.IntVar(&lab.Cores, "cores", lab.Cores, "fleet: cores of each agent; those of every other agent are slower")
	flags.IntVar(&lab.Slots, "slots", lab.Slots, "fleet: slots of the store of each zone")
	flags.DurationVar(&lab.CallTime, "call", lab.CallTime, "fleet: duration of a call in a slot")
}

func (o *options) addLoadFlags(flags *pflag.FlagSet) {
	flags.Float64Var(&o.loadRatio, "load", 0.6, "fleet, model: offered load as a fraction of capacity")
	flags.IntVar(&o.workload.FrontEnds, "front-ends", 6, "fleet: number of front ends")
	flags.IntVar(&o.maxAttempts, "tries", 3, "fleet: maximum attempts per request; 0 = unlimited")
	flags.StringVar(&o.honorRetryAfter, "heed", honorHalf,
		"fleet, model: front ends that honor Retry-After: none, half (fleet: those that route by key), all")
	flags.BoolVar(&o.routeByKey, "by-key", false, "fleet: all front ends route by key")
	flags.DurationVar(&o.listLag, "lag", time.Second, "fleet: delay of the front ends' server lists")
	flags.IntVar(&o.workload.KeyCount, "keys", 200,
		"fleet: distinct keys of reads; with few keys, routing by key concentrates the load on few servers")
}

func (o *options) addComparisonFlags(flags *pflag.FlagSet) {
	flags.IntVar(&o.compare, "compare", 0, "fleet, model: number of seeds to compare; each is run with the "+
		"features of --with off and on (model: with each strategy)")
	flags.StringSliceVar(&o.features, "with", []string{featureQuotaLeasing},
		"fleet: features that --compare turns off and on: "+strings.Join(overloadFeatures, ", "))
	flags.IntVar(&o.detect, "detect", 0,
		"fleet: measure failure detection without load; number of members to kill")
}

func (o *options) addFaultFlags(flags *pflag.FlagSet) {
	fault := &o.fault
	flags.StringVar(&o.controlAddr, "lab", "", "fault: control address that fleet printed")
	flags.StringVar((*string)(&fault.Kind), "kind", "", "model: burst, lost (a zone), mute, slow (stores); "+
		"fault: cut, loss, double, delay, slow, reset, kill, stop, term, restart, slowrun, mute, wedge, clock")
	flags.StringVar(&fault.Target, "who", "", "fault: target: NAME, zone:NAME, region:NAME or *")
	flags.StringVar(&fault.Peer, "to", "", "fault: other end of a link (default: all members)")
	flags.BoolVar(&fault.OneWay, "one-way", false, "fault: only from --who to --to")
	flags.Float64Var(&fault.Ratio, "share", 0,
		"fault: fraction lost or duplicated; slowdown factor of an agent; fleet: packet loss with --detect")
	flags.DurationVar(&fault.Delay, "delay", 0, "fault: delay of datagrams; clock skew")
	flags.DurationVar(&fault.Jitter, "jitter", 0, "fault: maximum additional delay, drawn at random")
	flags.IntVar(&fault.BytesPerSecond, "rate", 0, "fault: bytes per second of a throttled stream")
}

// resolve sets the options that depend on more than one flag or whose flag value is a name.
func (o *options) resolve() error {
	ratio, known := honorRatios[o.honorRetryAfter]
	if !known {
		return fmt.Errorf("flag --heed: %q is not one of none, half, all", o.honorRetryAfter)
	}
	o.honorRetryAfterRatio = ratio
	byKey := clients.Policy{RouteByKey: true, MaxAttempts: o.maxAttempts, HonorRetryAfter: o.honorRetryAfter != honorNone}
	o.workload.Policies = []clients.Policy{byKey}
	if !o.routeByKey {
		anyServer := clients.Policy{MaxAttempts: o.maxAttempts, HonorRetryAfter: o.honorRetryAfter == honorAll}
		o.workload.Policies = []clients.Policy{anyServer, byKey}
	}
	return nil
}
