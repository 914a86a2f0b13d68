// Command falldeal-lab starts fleets of falldeal with faults between their members. falldeal becomes it for `lab`;
// nothing that serves links it.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"falldeal/lab/clients"
	"falldeal/lab/faults"
	"falldeal/lab/fleetlab"
	"falldeal/lab/history"

	"github.com/spf13/pflag"
)

const usage = `Usage: falldeal lab COMMAND [flags]

Commands:
  fleet    start a fleet under load, break what a script says, and report what came of it
  fault    break something in a fleet that runs: lab fault --lab ADDRESS --kind cut --who zone:mechelen --for 5s
  model    the decision code in a model of a fleet, up to thousands of servers: overload handled alone and together
  check    check a history that was written before against the rules

Without --script, fleet plays the example: a zone is cut off for 8 s, and a process is killed and comes back.

Flags:
`

// exampleScript is what is played without a script.
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

func main() {
	if err := run(os.Args[1:], os.Stdout); err != nil && !errors.Is(err, pflag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "falldeal lab:", err)
		os.Exit(1)
	}
}

// options is what the command line says.
type options struct {
	lab                  fleetlab.Options
	workload             clients.Workload
	scriptPath           string
	loadRatio            float64
	listLag, duration    time.Duration
	fault                faults.Fault
	controlAddr          string
	detect               int
	compare              int
	features             []string
	honorRetryAfterRatio float64
}

func run(args []string, out io.Writer) error {
	opts := options{lab: fleetlab.Defaults()}
	flags := pflag.NewFlagSet("falldeal lab", pflag.ContinueOnError)
	flags.IntVar(&opts.lab.Members, "members", opts.lab.Members, "fleet: instances")
	flags.StringSliceVar(&opts.lab.Zones, "zones", opts.lab.Zones, "fleet: zones, over which they are spread in turn")
	flags.Uint64Var(&opts.lab.Seed, "seed", opts.lab.Seed, "fleet: of arrivals and of what the network loses")
	flags.DurationVar(&opts.lab.ProbeInterval, "probe", opts.lab.ProbeInterval, "fleet: between two probes of the failure detection")
	flags.BoolVar(&opts.lab.Encrypted, "keyed", true, "fleet: words are encrypted")
	flags.StringVar(&opts.lab.LogLevel, "log-level", opts.lab.LogLevel, "fleet: of the instances' logs")
	flags.StringVar(&opts.lab.Dir, "dir", "", "fleet: folder for logs, history and plot (default: a new one)")
	flags.StringVar(&opts.scriptPath, "script", "", "fleet: file of faults, TOML")
	flags.DurationVar(&opts.duration, "for", 30*time.Second, "fleet: how long the load lasts; fault: how long it is in force")
	flags.Float64Var(&opts.loadRatio, "load", 0.6, "fleet: share of the agents' capacity that is asked for")
	flags.IntVar(&opts.workload.FrontEnds, "front-ends", 6, "fleet: front ends")
	retries := flags.Int("tries", 3, "fleet: tries of a request at most; 0 = no limit")
	heed := flags.String("heed", "half", "fleet: front ends that heed advice: none, half (those that go by key), all")
	flags.DurationVar(&opts.listLag, "lag", time.Second, "fleet: by which front ends' lists lag")
	flags.BoolVar(&opts.lab.Shedding, "cutoff", false, "fleet: what the fleet has no room for is refused by all alike")
	flags.BoolVar(&opts.lab.CoordinatedProbes, "probes", false, "fleet: a store that does not answer is tried by turns")
	flags.StringSliceVar(&opts.features, "with", []string{"shares"}, "fleet: with --compare, what is off in the one play and on in the other: "+strings.Join(overloadFeatures, ", "))
	flags.BoolVar(&opts.lab.QuotaLeasing, "shares", false, "fleet: shares of the store move between members")
	flags.IntVar(&opts.lab.Cores, "cores", opts.lab.Cores, "fleet: of each agent; every other one's are slower")
	flags.IntVar(&opts.lab.Slots, "slots", opts.lab.Slots, "fleet: of the store of each zone")
	flags.DurationVar(&opts.lab.CallTime, "call", opts.lab.CallTime, "fleet: that a call takes in a slot")
	flags.IntVar(&opts.workload.KeyCount, "keys", 200, "fleet: different keys of reads; few make few servers busy for front ends that go by key")
	flags.IntVar(&opts.compare, "compare", 0, "fleet, model: play with so many seeds, each with what --with names off and on (model: in each way), and compare")
	byKey := flags.Bool("by-key", false, "fleet: all front ends go by key")
	flags.IntVar(&opts.detect, "detect", 0, "fleet: no load; kill a member that many times and time how long others take to see it")
	flags.StringVar(&opts.controlAddr, "lab", "", "fault: address that fleet printed")
	flags.StringVar(&opts.fault.Kind, "kind", "", "model: burst, lost (a zone), mute, slow (stores); fault: cut, loss, double, delay, slow, reset, kill, stop, term, restart, slowrun, mute, wedge, clock")
	flags.StringVar(&opts.fault.Target, "who", "", "fault: NAME, zone:NAME, region:NAME or *")
	flags.StringVar(&opts.fault.Peer, "to", "", "fault: the other end of a link (default: everybody)")
	flags.BoolVar(&opts.fault.OneWay, "one-way", false, "fault: only from who to the other end")
	flags.Float64Var(&opts.fault.Ratio, "share", 0, "fault: share lost or doubled; how many times slower")
	flags.DurationVar(&opts.fault.Delay, "delay", 0, "fault: of datagrams; how far a clock is off")
	flags.DurationVar(&opts.fault.Jitter, "jitter", 0, "fault: up to that much more")
	flags.IntVar(&opts.fault.BytesPerSecond, "rate", 0, "fault: bytes a second that a slow stream carries")
	flags.Usage = func() { fmt.Fprint(out, usage, flags.FlagUsages()) }
	if err := flags.Parse(args); err != nil {
		return err
	}
	opts.workload.Policies = []clients.Policy{{MaxAttempts: *retries, HonorRetryAfter: *heed == "all"}, {RouteByKey: true, MaxAttempts: *retries, HonorRetryAfter: *heed != "none"}}
	if *byKey {
		opts.workload.Policies = opts.workload.Policies[1:]
	}
	if opts.honorRetryAfterRatio = map[string]float64{"none": 0, "half": 0.5, "all": 1}[*heed]; opts.honorRetryAfterRatio == 0 && *heed != "none" {
		return fmt.Errorf("flag --heed: %q is none of none, half and all", *heed)
	}
	switch name := flags.Arg(0); {
	case name == "model":
		return runModel(&opts, out)
	case name == "fleet" && opts.compare > 0:
		return compare(&opts, out)
	case name == "fleet" && opts.detect > 0:
		return detect(&opts, out)
	case name == "fleet":
		return runFleet(&opts, out)
	case name == "fault":
		opts.fault.Duration = opts.duration
		return sendFault(&opts)
	case name == "check" && flags.NArg() == 2:
		return check(flags.Arg(1), out)
	default:
		flags.Usage()
		return fmt.Errorf("unknown command %q", name)
	}
}

// openLab prepares the laboratory that was asked for.
func openLab(opts *options) (*fleetlab.Lab, error) {
	if opts.lab.Members < 1 || opts.lab.Members > 600 {
		return nil, fmt.Errorf("flag --members: %d is not between 1 and 600", opts.lab.Members)
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	opts.lab.Binary = filepath.Join(filepath.Dir(self), "falldeal")
	if opts.lab.Dir == "" {
		if opts.lab.Dir, err = os.MkdirTemp("", "falldeal-lab-"); err != nil {
			return nil, err
		}
	}
	return fleetlab.New(opts.lab)
}

func runFleet(opts *options, out io.Writer) error {
	fleet, err := openLab(opts)
	if err != nil {
		return err
	}
	defer fleet.Close()
	if err := addScript(fleet, opts.scriptPath, exampleScript); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := fleet.StartMembers(); err != nil {
		return err
	}
	at, err := serveControl(ctx, fleet)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%d instances in %s; files in %s; faults are taken at %s\n", opts.lab.Members, strings.Join(opts.lab.Zones, ", "), opts.lab.Dir, at)
	fmt.Fprintf(out, "%.0f requests a second for %v, %.0f%% of what the agents can do\n", opts.loadRatio*fleet.Capacity(), opts.duration, 100*opts.loadRatio)

	if err := runLoad(ctx, fleet, opts, func(ctx context.Context) { fleet.WatchViews(ctx, 500*time.Millisecond) }); err != nil {
		return err
	}
	events := fleet.Log.Events()
	if err := history.Write(filepath.Join(opts.lab.Dir, "history.jsonl"), events); err != nil {
		return err
	}
	if err := history.Plot(filepath.Join(opts.lab.Dir, "requests.png"), fmt.Sprintf("%d instances, seed %d", opts.lab.Members, opts.lab.Seed), events); err != nil {
		return err
	}
	return report(out, events)
}

// report prints what came of it; broken rules are an error.
func report(out io.Writer, events []history.Event) error {
	fmt.Fprintln(out)
	for _, event := range events {
		switch {
		case event.Kind == history.FaultChanged && event.Count == 1:
			fmt.Fprintf(out, "%7.1fs  begins: %s\n", event.At.Seconds(), event.Detail)
		case event.Kind == history.FaultChanged:
			fmt.Fprintf(out, "%7.1fs  ends:   %s\n", event.At.Seconds(), event.Detail)
		case event.Kind == history.ProcessChanged && event.Detail == "failed":
			fmt.Fprintf(out, "%7.1fs  %s ended by itself; its log says why\n", event.At.Seconds(), event.Server)
		}
	}
	printViewChanges(out, events)
	fmt.Fprintln(out)
	if err := history.PrintSummary(out, events); err != nil {
		return err
	}
	violations := history.Check(events, rules)
	for _, b := range violations[:min(len(violations), 20)] {
		fmt.Fprintln(out, "broken:", b)
	}
	if len(violations) > 0 {
		return fmt.Errorf("%d rules broken", len(violations))
	}
	fmt.Fprintf(out, "\nno rule broken in %d events: one final answer each, in time; no order run twice; nobody called dead who lives\n", len(events))
	return nil
}

// printViewChanges prints when members first and last said something new of another, by what they said.
func printViewChanges(out io.Writer, events []history.Event) {
	type span struct {
		first, last time.Duration
		by          int
	}
	spans := map[string]*span{}
	var order []string
	for _, event := range events {
		if event.Kind != history.ViewChanged || event.Detail == "serving" || event.Detail == "starting" || event.Detail == "warming" {
			continue
		}
		key := event.Member + " is " + event.Detail
		s := spans[key]
		if s == nil || event.At-s.last > 10*time.Second {
			key = fmt.Sprintf("%s (%.0f)", key, event.At.Seconds())
			if spans[key] == nil {
				spans[key] = &span{first: event.At}
				order = append(order, key)
			}
			spans[event.Member+" is "+event.Detail] = spans[key]
			s = spans[key]
		}
		s.last = event.At
		s.by++
	}
	for _, key := range order {
		s := spans[key]
		fmt.Fprintf(out, "%7.1fs  %s, say %d others, the last at %.1fs\n", s.first.Seconds(), key[:strings.LastIndex(key, " (")], s.by, s.last.Seconds())
	}
}

func check(path string, out io.Writer) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	events, err := history.Read(f)
	if err != nil {
		return err
	}
	return report(out, events)
}

// serveControl takes faults over HTTP while the fleet runs.
func serveControl(ctx context.Context, fleet *fleetlab.Lab) (addr string, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{ReadTimeout: 5 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var f faults.Fault
		err := json.NewDecoder(io.LimitReader(r.Body, 4096)).Decode(&f)
		if err == nil {
			f.Start = fleet.Log.Now()
			if f.AffectsLink() && f.Peer == "" {
				f.Peer = "*"
			}
			err = fleet.AddFault(f)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	})}
	go func() { _ = srv.Serve(ln) }()
	context.AfterFunc(ctx, func() { srv.Close() })
	return ln.Addr().String(), nil
}

// sendFault sends a fault to a fleet that runs.
func sendFault(opts *options) error {
	if opts.controlAddr == "" {
		return errors.New("flag --lab: missing")
	}
	b, err := json.Marshal(opts.fault)
	if err != nil {
		return err
	}
	res, err := http.Post("http://"+opts.controlAddr, "application/json", strings.NewReader(string(b)))
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		why, _ := io.ReadAll(io.LimitReader(res.Body, 4096))
		return fmt.Errorf("fault: %s", strings.TrimSpace(string(why)))
	}
	return nil
}
