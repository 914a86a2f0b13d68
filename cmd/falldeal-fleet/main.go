// Command falldeal-fleet is the image server where instances know one another, and what asks them. falldeal becomes
// it for `serve --operators`, `check --operators` and `fleet`, so that a server without a fleet does not carry it.
package main

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"falldeal/internal/config"
	"falldeal/internal/console"
	"falldeal/internal/fleet"
	"falldeal/internal/gossip"
	"falldeal/internal/operators"
	"falldeal/internal/overload"
	"falldeal/internal/process"
	"falldeal/internal/server"
	"falldeal/internal/tracing"

	"github.com/sirupsen/logrus"
	"github.com/spf13/pflag"
)

// version is set by the linker where a release is built, and told to the others.
var version = "dev"

// bindAgain is how often the fleet's address is tried again while the process that is being replaced has it.
const bindAgain = 500 * time.Millisecond

// traceLimit is how long the end of a process waits for its last spans to be written.
const traceLimit = 200 * time.Millisecond

func main() {
	err := command(os.Args[1:], os.Stdout)
	if err != nil && !errors.Is(err, pflag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "falldeal:", err)
		os.Exit(1)
	}
}

func command(args []string, out io.Writer) error {
	if len(args) > 0 && args[0] == "fleet" {
		return ask(args[1:], out)
	}
	flags := pflag.NewFlagSet("falldeal", pflag.ContinueOnError)
	path := flags.String("config", "", "configuration file (default: the variable GW_CONFIG)")
	operated := flags.String("operators", "", "operators' file")
	level := flags.String("log-level", "info", "least level that is logged: debug, info, warning, error")
	if err := flags.Parse(args); err != nil {
		return err
	}
	lvl, err := logrus.ParseLevel(*level)
	if err != nil {
		return fmt.Errorf("flag --log-level: %w", err)
	}
	load := config.Load
	var caught *process.Signals
	if flags.Arg(0) == "serve" {
		caught = process.Catch()
		load = caught.Load
	}
	c, err := load(*path)
	if errors.Is(err, process.ErrStopped) {
		return nil
	}
	if err != nil {
		return err
	}
	o, err := operators.Load(*operated)
	if err != nil {
		return err
	}
	log := logrus.New()
	log.SetLevel(lvl)
	m := &membership{config: *path, operators: *operated, log: log, name: c.Name, bindAgain: c.Handover != ""}
	part, err := m.part(c, o)
	if err != nil {
		return fmt.Errorf("operators' file %s: %w", *operated, err)
	}
	switch name := flags.Arg(0); name {
	case "serve":
		if m.fleet != nil && !m.bindAgain {
			if err := m.fleet.Listen(); err != nil {
				return fmt.Errorf("operators' file %s: %w", *operated, err)
			}
		}
		err := process.Serve(caught, c, *path, log, part)
		if m.tracer != nil {
			ctx, cancel := context.WithTimeout(context.Background(), traceLimit)
			defer cancel()
			err = errors.Join(err, m.tracer.Close(ctx))
		}
		return err
	case "check":
		fmt.Fprintf(out, "configuration of %s is good: %d classes, listening on %s\n", c.Name, len(c.Classes), c.Listen)
		if f := o.Fleet; f != nil {
			fmt.Fprintf(out, "fleet: reached at %s in zone %s of %s, %d seeds, %d keys\n", f.Advertise, f.Zone, f.Region, len(f.Seeds), len(f.Keys))
		}
		return nil
	default:
		return fmt.Errorf("unknown command %q", name)
	}
}

// membership is this process's part in a fleet, and where it is configured.
type membership struct {
	config, operators, name string
	log                     *logrus.Logger
	fleet                   *gossip.Fleet
	tracer                  *tracing.Tracer // nil: none
	bindAgain               bool
}

// part returns what the process adds to the server; nothing where the file has no fleet.
func (m *membership) part(c *config.Config, o *operators.File) (process.Extension, error) {
	f := o.Fleet
	if f == nil {
		return process.Extension{}, nil
	}
	digest, err := config.Digest(m.config)
	if err != nil {
		return process.Extension{}, err
	}
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return process.Extension{}, err
	}
	var drill operators.FaultInjection
	if o.FaultInjection != nil {
		drill = *o.FaultInjection
		m.log.WithFields(logrus.Fields{"clock_ms": drill.Clock.Milliseconds(), "wedge_ms": drill.Wedge.Milliseconds()}).Warn("a drill is set up")
	}
	now := uint64(time.Now().Add(drill.Clock).UnixMilli())
	run := now<<20 | binary.BigEndian.Uint64(random[:])>>44
	m.fleet, err = gossip.New(gossip.Config{
		Place: fleet.Place{Name: c.Name, Addr: f.Advertise, Region: f.Region, Zone: f.Zone, Version: version,
			Run: run},
		Listen: f.Listen, Seeds: f.Seeds, Keys: f.Keys, Digest: digest, Size: f.Size, Limits: f.Limits, ProbeInterval: f.ProbeInterval,
		Seed: c.Seed, Incarnation: now}, m.log)
	if err != nil {
		return process.Extension{}, err
	}
	part := process.Extension{Fleet: m.fleet, Run: m.run, Reload: m.reload, AppendMetrics: m.fleet.AppendMetrics, Pages: []console.Page{m.fleet.Page()}}
	var served *server.Server
	if drill.Wedge > 0 {
		part.Pages = append(part.Pages, console.Page{Pattern: "POST /drill/wedge", Type: "text/plain; charset=utf-8", Do: func() []byte {
			if !served.StallLoop(drill.Wedge) {
				return []byte("the loop is behind already\n")
			}
			return []byte("the loop stands still for " + drill.Wedge.String() + "\n")
		}})
	}
	var tracer *tracing.Tracer
	if x := o.Trace; x != nil {
		if tracer, err = tracing.New(tracing.Config{File: x.File, Sample: x.Sample, Bytes: x.Bytes}, c.Name, version); err != nil {
			return process.Extension{}, fmt.Errorf("trace.file: %w", err)
		}
		m.tracer = tracer
	}
	part.Prepare = func(s *server.Server) {
		if tracer != nil {
			s.Trace(tracer.Change)
		}
		if served = s; drill.Clock != 0 {
			s.SkewClock(drill.Clock)
		}
		x, self := o.Overload, overload.ProcessID{Name: c.Name, Run: run}
		if x == nil {
			return
		}
		if x.Shedding {
			s.EnableShedding(self)
		}
		if x.CoordinatedProbes {
			s.EnableCoordinatedProbes(run, f.Zone)
		}
		if x.QuotaLeasing {
			s.EnableQuotaLeasing(self, x.Lease, x.ReservedRatio)
		}
	}
	return part, nil
}

// run takes part until ctx ends. A process that takes another's place waits until that one has let the address go.
func (m *membership) run(ctx context.Context) error {
	for m.bindAgain {
		err := m.fleet.Listen()
		if err == nil {
			break
		}
		m.log.WithError(err).Debug("fleet: waits for its address")
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(bindAgain):
		}
	}
	return m.fleet.Run(ctx)
}

// reload takes over seeds, keys and the digest of the configuration; what else the table holds counts from the next
// start. A file that makes no sense changes nothing.
func (m *membership) reload() {
	o, err := operators.Load(m.operators)
	if err == nil && (o.Fleet == nil) != (m.fleet == nil) {
		err = errors.New("fleet: it is joined or left by a start only")
	}
	if err != nil {
		m.log.WithError(err).Error("operators' file not taken over; what was in force stays")
		return
	}
	if m.fleet == nil {
		return
	}
	digest, err := config.Digest(m.config)
	if err != nil {
		return // the server says so
	}
	m.fleet.Reload(gossip.Change{Seeds: o.Fleet.Seeds, Keys: o.Fleet.Keys, Digest: digest})
	m.log.WithFields(logrus.Fields{"seeds": len(o.Fleet.Seeds), "keys": len(o.Fleet.Keys)}).
		Info("operators' file: seeds and keys taken over; other keys count from the next start")
}
