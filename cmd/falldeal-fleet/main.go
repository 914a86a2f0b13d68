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

// bindRetryInterval is how often the fleet's address is tried again while the process that is being replaced has it.
const bindRetryInterval = 500 * time.Millisecond

// traceCloseTimeout is how long the end of a process waits for its last spans to be written.
const traceCloseTimeout = 200 * time.Millisecond

func main() {
	err := run(os.Args[1:], os.Stdout)
	if err != nil && !errors.Is(err, pflag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "falldeal:", err)
		os.Exit(1)
	}
}

func run(args []string, out io.Writer) error {
	if len(args) > 0 && args[0] == "fleet" {
		return query(args[1:], out)
	}
	flags := pflag.NewFlagSet("falldeal", pflag.ContinueOnError)
	configPath := flags.String("config", "", "configuration file (default: the variable GW_CONFIG)")
	operatorsPath := flags.String("operators", "", "operators' file")
	logLevel := flags.String("log-level", "info", "least level that is logged: debug, info, warning, error")
	if err := flags.Parse(args); err != nil {
		return err
	}
	level, err := logrus.ParseLevel(*logLevel)
	if err != nil {
		return fmt.Errorf("flag --log-level: %w", err)
	}
	load := config.Load
	var signals *process.Signals
	if flags.Arg(0) == "serve" {
		signals = process.Catch()
		load = signals.Load
	}
	conf, err := load(*configPath)
	if errors.Is(err, process.ErrStopped) {
		return nil
	}
	if err != nil {
		return err
	}
	file, err := operators.Load(*operatorsPath)
	if err != nil {
		return err
	}
	log := logrus.New()
	log.SetLevel(level)
	member := &membership{configPath: *configPath, operatorsPath: *operatorsPath, log: log, name: conf.Name, retryBind: conf.Handover != ""}
	extension, err := member.extension(conf, file)
	if err != nil {
		return fmt.Errorf("operators' file %s: %w", *operatorsPath, err)
	}
	switch name := flags.Arg(0); name {
	case "serve":
		if member.fleet != nil && !member.retryBind {
			if err := member.fleet.Listen(); err != nil {
				return fmt.Errorf("operators' file %s: %w", *operatorsPath, err)
			}
		}
		err := process.Serve(signals, conf, *configPath, log, extension)
		if member.tracer != nil {
			ctx, cancel := context.WithTimeout(context.Background(), traceCloseTimeout)
			defer cancel()
			err = errors.Join(err, member.tracer.Close(ctx))
		}
		return err
	case "check":
		fmt.Fprintf(out, "configuration of %s is good: %d classes, listening on %s\n", conf.Name, len(conf.Classes), conf.Listen)
		if table := file.Fleet; table != nil {
			fmt.Fprintf(out, "fleet: reached at %s in zone %s of %s, %d seeds, %d keys\n", table.Advertise, table.Zone, table.Region, len(table.Seeds), len(table.Keys))
		}
		return nil
	default:
		return fmt.Errorf("unknown command %q", name)
	}
}

// membership is this process's part in a fleet, and where it is configured.
type membership struct {
	configPath, operatorsPath, name string
	log                             *logrus.Logger
	fleet                           *gossip.Fleet
	tracer                          *tracing.Tracer // nil: none
	retryBind                       bool
}

// extension returns what the process adds to the server; nothing where the file has no fleet.
func (m *membership) extension(conf *config.Config, file *operators.File) (process.Extension, error) {
	table := file.Fleet
	if table == nil {
		return process.Extension{}, nil
	}
	digest, err := config.Digest(m.configPath)
	if err != nil {
		return process.Extension{}, err
	}
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return process.Extension{}, err
	}
	var faults operators.FaultInjection
	if file.FaultInjection != nil {
		faults = *file.FaultInjection
		m.log.WithFields(logrus.Fields{"clock_ms": faults.Clock.Milliseconds(), "wedge_ms": faults.Wedge.Milliseconds()}).Warn("a drill is set up")
	}
	now := uint64(time.Now().Add(faults.Clock).UnixMilli())
	run := now<<20 | binary.BigEndian.Uint64(random[:])>>44
	m.fleet, err = gossip.New(gossip.Config{
		Place: fleet.Place{Name: conf.Name, Addr: table.Advertise, Region: table.Region, Zone: table.Zone, Version: version,
			Run: run},
		Listen: table.Listen, Seeds: table.Seeds, Keys: table.Keys, Digest: digest, Size: table.Size, Limits: table.Limits, ProbeInterval: table.ProbeInterval,
		Seed: conf.Seed, Incarnation: now}, m.log)
	if err != nil {
		return process.Extension{}, err
	}
	extension := process.Extension{Fleet: m.fleet, Run: m.run, Reload: m.reload, AppendMetrics: m.fleet.AppendMetrics, Pages: []console.Page{m.fleet.Page()}}
	var instance *server.Server
	if faults.Wedge > 0 {
		extension.Pages = append(extension.Pages, console.Page{Pattern: "POST /drill/wedge", Type: "text/plain; charset=utf-8", Do: func() []byte {
			if !instance.StallLoop(faults.Wedge) {
				return []byte("the loop is behind already\n")
			}
			return []byte("the loop stands still for " + faults.Wedge.String() + "\n")
		}})
	}
	var tracer *tracing.Tracer
	if x := file.Trace; x != nil {
		if tracer, err = tracing.New(tracing.Config{File: x.File, Sample: x.Sample, Bytes: x.Bytes}, conf.Name, version); err != nil {
			return process.Extension{}, fmt.Errorf("trace.file: %w", err)
		}
		m.tracer = tracer
	}
	extension.Prepare = func(prepared *server.Server) {
		if tracer != nil {
			prepared.Trace(tracer.Change)
		}
		if instance = prepared; faults.Clock != 0 {
			prepared.SkewClock(faults.Clock)
		}
		x, self := file.Overload, overload.ProcessID{Name: conf.Name, Run: run}
		if x == nil {
			return
		}
		if x.Shedding {
			prepared.EnableShedding(self)
		}
		if x.CoordinatedProbes {
			prepared.EnableCoordinatedProbes(run, table.Zone)
		}
		if x.QuotaLeasing {
			prepared.EnableQuotaLeasing(self, x.Lease, x.ReservedRatio)
		}
	}
	return extension, nil
}

// run takes part until ctx ends. A process that takes another's place waits until that one has let the address go.
func (m *membership) run(ctx context.Context) error {
	for m.retryBind {
		err := m.fleet.Listen()
		if err == nil {
			break
		}
		m.log.WithError(err).Debug("fleet: waits for its address")
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(bindRetryInterval):
		}
	}
	return m.fleet.Run(ctx)
}

// reload takes over seeds, keys and the digest of the configuration; what else the table holds counts from the next
// start. A file that makes no sense changes nothing.
func (m *membership) reload() {
	file, err := operators.Load(m.operatorsPath)
	if err == nil && (file.Fleet == nil) != (m.fleet == nil) {
		err = errors.New("fleet: it is joined or left by a start only")
	}
	if err != nil {
		m.log.WithError(err).Error("operators' file not taken over; what was in force stays")
		return
	}
	if m.fleet == nil {
		return
	}
	digest, err := config.Digest(m.configPath)
	if err != nil {
		return // the server says so
	}
	m.fleet.Reload(gossip.Change{Seeds: file.Fleet.Seeds, Keys: file.Fleet.Keys, Digest: digest})
	m.log.WithFields(logrus.Fields{"seeds": len(file.Fleet.Seeds), "keys": len(file.Fleet.Keys)}).
		Info("operators' file: seeds and keys taken over; other keys count from the next start")
}
