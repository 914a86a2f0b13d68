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

// example is what is played without a script.
const example = `
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
	if err := command(os.Args[1:], os.Stdout); err != nil && !errors.Is(err, pflag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "falldeal lab:", err)
		os.Exit(1)
	}
}

// asked is what the command line says.
type asked struct {
	o         fleetlab.Options
	plan      clients.Workload
	script    string
	load      float64
	lag, for_ time.Duration
	fault     faults.Fault
	lab       string
	detect    int
	compare   int
	with      []string
	heed      float64
}

func command(args []string, out io.Writer) error {
	a := asked{o: fleetlab.Defaults()}
	flags := pflag.NewFlagSet("falldeal lab", pflag.ContinueOnError)
	flags.IntVar(&a.o.Members, "members", a.o.Members, "fleet: instances")
	flags.StringSliceVar(&a.o.Zones, "zones", a.o.Zones, "fleet: zones, over which they are spread in turn")
	flags.Uint64Var(&a.o.Seed, "seed", a.o.Seed, "fleet: of arrivals and of what the network loses")
	flags.DurationVar(&a.o.ProbeInterval, "probe", a.o.ProbeInterval, "fleet: between two probes of the failure detection")
	flags.BoolVar(&a.o.Encrypted, "keyed", true, "fleet: words are encrypted")
	flags.StringVar(&a.o.LogLevel, "log-level", a.o.LogLevel, "fleet: of the instances' logs")
	flags.StringVar(&a.o.Dir, "dir", "", "fleet: folder for logs, history and plot (default: a new one)")
	flags.StringVar(&a.script, "script", "", "fleet: file of faults, TOML")
	flags.DurationVar(&a.for_, "for", 30*time.Second, "fleet: how long the load lasts; fault: how long it is in force")
	flags.Float64Var(&a.load, "load", 0.6, "fleet: share of the agents' capacity that is asked for")
	flags.IntVar(&a.plan.FrontEnds, "front-ends", 6, "fleet: front ends")
	retries := flags.Int("tries", 3, "fleet: tries of a request at most; 0 = no limit")
	heed := flags.String("heed", "half", "fleet: front ends that heed advice: none, half (those that go by key), all")
	flags.DurationVar(&a.lag, "lag", time.Second, "fleet: by which front ends' lists lag")
	flags.BoolVar(&a.o.Shedding, "cutoff", false, "fleet: what the fleet has no room for is refused by all alike")
	flags.BoolVar(&a.o.CoordinatedProbes, "probes", false, "fleet: a store that does not answer is tried by turns")
	flags.StringSliceVar(&a.with, "with", []string{"shares"}, "fleet: with --compare, what is off in the one play and on in the other: "+strings.Join(parts, ", "))
	flags.BoolVar(&a.o.QuotaLeasing, "shares", false, "fleet: shares of the store move between members")
	flags.IntVar(&a.o.Cores, "cores", a.o.Cores, "fleet: of each agent; every other one's are slower")
	flags.IntVar(&a.o.Slots, "slots", a.o.Slots, "fleet: of the store of each zone")
	flags.DurationVar(&a.o.CallTime, "call", a.o.CallTime, "fleet: that a call takes in a slot")
	flags.IntVar(&a.plan.KeyCount, "keys", 200, "fleet: different keys of reads; few make few servers busy for front ends that go by key")
	flags.IntVar(&a.compare, "compare", 0, "fleet, model: play with so many seeds, each with what --with names off and on (model: in each way), and compare")
	byKey := flags.Bool("by-key", false, "fleet: all front ends go by key")
	flags.IntVar(&a.detect, "detect", 0, "fleet: no load; kill a member that many times and time how long others take to see it")
	flags.StringVar(&a.lab, "lab", "", "fault: address that fleet printed")
	flags.StringVar(&a.fault.Kind, "kind", "", "model: burst, lost (a zone), mute, slow (stores); fault: cut, loss, double, delay, slow, reset, kill, stop, term, restart, slowrun, mute, wedge, clock")
	flags.StringVar(&a.fault.Target, "who", "", "fault: NAME, zone:NAME, region:NAME or *")
	flags.StringVar(&a.fault.Peer, "to", "", "fault: the other end of a link (default: everybody)")
	flags.BoolVar(&a.fault.OneWay, "one-way", false, "fault: only from who to the other end")
	flags.Float64Var(&a.fault.Ratio, "share", 0, "fault: share lost or doubled; how many times slower")
	flags.DurationVar(&a.fault.Delay, "delay", 0, "fault: of datagrams; how far a clock is off")
	flags.DurationVar(&a.fault.Jitter, "jitter", 0, "fault: up to that much more")
	flags.IntVar(&a.fault.BytesPerSecond, "rate", 0, "fault: bytes a second that a slow stream carries")
	flags.Usage = func() { fmt.Fprint(out, usage, flags.FlagUsages()) }
	if err := flags.Parse(args); err != nil {
		return err
	}
	a.plan.Policies = []clients.Policy{{MaxAttempts: *retries, HonorRetryAfter: *heed == "all"}, {RouteByKey: true, MaxAttempts: *retries, HonorRetryAfter: *heed != "none"}}
	if *byKey {
		a.plan.Policies = a.plan.Policies[1:]
	}
	if a.heed = map[string]float64{"none": 0, "half": 0.5, "all": 1}[*heed]; a.heed == 0 && *heed != "none" {
		return fmt.Errorf("flag --heed: %q is none of none, half and all", *heed)
	}
	switch name := flags.Arg(0); {
	case name == "model":
		return modelled(&a, out)
	case name == "fleet" && a.compare > 0:
		return compare(&a, out)
	case name == "fleet" && a.detect > 0:
		return detect(&a, out)
	case name == "fleet":
		return play(&a, out)
	case name == "fault":
		a.fault.Duration = a.for_
		return send(&a)
	case name == "check" && flags.NArg() == 2:
		return check(flags.Arg(1), out)
	default:
		flags.Usage()
		return fmt.Errorf("unknown command %q", name)
	}
}

// open prepares the laboratory that was asked for.
func open(a *asked) (*fleetlab.Lab, error) {
	if a.o.Members < 1 || a.o.Members > 600 {
		return nil, fmt.Errorf("flag --members: %d is not between 1 and 600", a.o.Members)
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	a.o.Binary = filepath.Join(filepath.Dir(self), "falldeal")
	if a.o.Dir == "" {
		if a.o.Dir, err = os.MkdirTemp("", "falldeal-lab-"); err != nil {
			return nil, err
		}
	}
	return fleetlab.New(a.o)
}

func play(a *asked, out io.Writer) error {
	l, err := open(a)
	if err != nil {
		return err
	}
	defer l.Close()
	if err := addScript(l, a.script, example); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := l.StartMembers(); err != nil {
		return err
	}
	at, err := control(ctx, l)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%d instances in %s; files in %s; faults are taken at %s\n", a.o.Members, strings.Join(a.o.Zones, ", "), a.o.Dir, at)
	fmt.Fprintf(out, "%.0f requests a second for %v, %.0f%% of what the agents can do\n", a.load*l.Capacity(), a.for_, 100*a.load)

	if err := drive(ctx, l, a, func(ctx context.Context) { l.WatchViews(ctx, 500*time.Millisecond) }); err != nil {
		return err
	}
	events := l.Log.Events()
	if err := history.Write(filepath.Join(a.o.Dir, "history.jsonl"), events); err != nil {
		return err
	}
	if err := history.Plot(filepath.Join(a.o.Dir, "requests.png"), fmt.Sprintf("%d instances, seed %d", a.o.Members, a.o.Seed), events); err != nil {
		return err
	}
	return report(out, events)
}

// report prints what came of it; broken rules are an error.
func report(out io.Writer, events []history.Event) error {
	fmt.Fprintln(out)
	for _, e := range events {
		switch {
		case e.Kind == history.FaultChanged && e.Count == 1:
			fmt.Fprintf(out, "%7.1fs  begins: %s\n", e.At.Seconds(), e.Detail)
		case e.Kind == history.FaultChanged:
			fmt.Fprintf(out, "%7.1fs  ends:   %s\n", e.At.Seconds(), e.Detail)
		case e.Kind == history.ProcessChanged && e.Detail == "failed":
			fmt.Fprintf(out, "%7.1fs  %s ended by itself; its log says why\n", e.At.Seconds(), e.Server)
		}
	}
	views(out, events)
	fmt.Fprintln(out)
	if err := history.PrintSummary(out, events); err != nil {
		return err
	}
	broken := history.Check(events, rules)
	for _, b := range broken[:min(len(broken), 20)] {
		fmt.Fprintln(out, "broken:", b)
	}
	if len(broken) > 0 {
		return fmt.Errorf("%d rules broken", len(broken))
	}
	fmt.Fprintf(out, "\nno rule broken in %d events: one final answer each, in time; no order run twice; nobody called dead who lives\n", len(events))
	return nil
}

// views prints when members first and last said something new of another, by what they said.
func views(out io.Writer, events []history.Event) {
	type span struct {
		first, last time.Duration
		by          int
	}
	spans := map[string]*span{}
	var order []string
	for _, e := range events {
		if e.Kind != history.ViewChanged || e.Detail == "serving" || e.Detail == "starting" || e.Detail == "warming" {
			continue
		}
		key := e.Member + " is " + e.Detail
		s := spans[key]
		if s == nil || e.At-s.last > 10*time.Second {
			key = fmt.Sprintf("%s (%.0f)", key, e.At.Seconds())
			if spans[key] == nil {
				spans[key] = &span{first: e.At}
				order = append(order, key)
			}
			spans[e.Member+" is "+e.Detail] = spans[key]
			s = spans[key]
		}
		s.last = e.At
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

// control takes faults over HTTP while the fleet runs.
func control(ctx context.Context, l *fleetlab.Lab) (addr string, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{ReadTimeout: 5 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var f faults.Fault
		err := json.NewDecoder(io.LimitReader(r.Body, 4096)).Decode(&f)
		if err == nil {
			f.Start = l.Log.Now()
			if f.AffectsLink() && f.Peer == "" {
				f.Peer = "*"
			}
			err = l.AddFault(f)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	})}
	go func() { _ = srv.Serve(ln) }()
	context.AfterFunc(ctx, func() { srv.Close() })
	return ln.Addr().String(), nil
}

// send sends a fault to a fleet that runs.
func send(a *asked) error {
	if a.lab == "" {
		return errors.New("flag --lab: missing")
	}
	b, err := json.Marshal(a.fault)
	if err != nil {
		return err
	}
	res, err := http.Post("http://"+a.lab, "application/json", strings.NewReader(string(b)))
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
