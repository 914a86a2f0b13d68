package main

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
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
)

// bindRetryInterval is the time between attempts to bind the fleet's address while the process that this one replaces
// still has it.
const bindRetryInterval = 500 * time.Millisecond

// member is this process as a member of a fleet, or as a single server where the operators' file has no fleet.
type member struct {
	opts      *options
	config    *config.Config
	operators *operators.File
	log       *logrus.Logger
	extension process.Extension // empty without a fleet

	fleet     *gossip.Fleet   // nil: no fleet
	tracer    *tracing.Tracer // nil: no tracing
	run       uint64          // tells processes of one name apart; later ones have larger numbers
	retryBind bool            // another process may have the fleet's address at first
}

// newMember reads the configuration, by load, and the operators' file, and prepares the member that they describe. It
// opens the file of traces but no socket.
func newMember(opts *options, load func(path string) (*config.Config, error)) (*member, error) {
	conf, err := load(opts.configPath)
	if err != nil {
		return nil, err
	}
	file, err := operators.Load(opts.operatorsPath)
	if err != nil {
		return nil, err //nolint:wrapcheck // it names the file
	}
	log := logrus.New()
	log.SetLevel(opts.logLevel)
	created := &member{opts: opts, config: conf, operators: file, log: log, retryBind: conf.HandoverPath != ""}
	if file.Fleet == nil {
		return created, nil
	}
	if err := created.joinFleet(); err != nil {
		return nil, created.fileError(err)
	}
	return created, nil
}

// fileError adds the operators' file to an error about its contents.
func (m *member) fileError(err error) error {
	return fmt.Errorf("operators' file %s: %w", m.opts.operatorsPath, err)
}

// joinFleet sets fleet, tracer and extension.
func (m *member) joinFleet() error {
	var faults operators.FaultInjection
	if m.operators.FaultInjection != nil {
		faults = *m.operators.FaultInjection
	}
	if err := m.createFleet(faults); err != nil {
		return err
	}
	if err := m.openTrace(); err != nil {
		return err
	}
	var instance *server.Server // set before a page is asked for
	m.extension = process.Extension{
		Fleet: m.fleet,
		Prepare: func(prepared *server.Server) {
			instance = prepared
			m.prepare(prepared, faults)
		},
		Run:           m.runFleet,
		Reload:        m.reload,
		AppendMetrics: m.fleet.AppendMetrics,
		Pages:         []console.Page{m.fleet.Page()},
	}
	if faults.StallDuration > 0 {
		stall := func() bool { return instance.StallLoop(faults.StallDuration) }
		m.extension.Pages = append(m.extension.Pages, stallPage(faults.StallDuration, stall))
	}
	return nil
}

// createFleet sets run and fleet. It does not listen.
func (m *member) createFleet(faults operators.FaultInjection) error {
	digest, err := config.Digest(m.opts.configPath)
	if err != nil {
		return fmt.Errorf("digest of the configuration: %w", err)
	}
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return fmt.Errorf("drawing the number of the process: %w", err)
	}
	if m.operators.FaultInjection != nil {
		m.log.WithFields(logrus.Fields{
			"clock_skew_ms": faults.ClockOffset.Milliseconds(), "stall_ms": faults.StallDuration.Milliseconds(),
		}).Warn("fault injection enabled")
	}
	now := uint64(time.Now().Add(faults.ClockOffset).UnixMilli())
	m.run = runNumber(now, binary.BigEndian.Uint64(random[:]))
	table := m.operators.Fleet
	m.fleet, err = gossip.New(gossip.Config{
		Process: fleet.ProcessInfo{
			Name: m.config.Name, Addr: table.Advertise, Region: table.Region, Zone: table.Zone,
			Version: version, Run: m.run,
		},
		Listen: table.Listen, Seeds: table.Seeds, Keys: table.Keys, Digest: digest, Size: table.Size,
		Limits: table.Limits, ProbeInterval: table.ProbeInterval, Seed: m.config.Seed, Incarnation: now,
	}, m.log)
	return err //nolint:wrapcheck // it names the key of the operators' file
}

// runNumber returns a number that grows with the time of a start, in milliseconds, and tells starts at the same time
// apart by 20 random bits.
func runNumber(nowMs, random uint64) uint64 {
	const randomBits = 20
	return nowMs<<randomBits | random>>(64-randomBits)
}

// openTrace sets tracer where the operators' file asks for one.
func (m *member) openTrace() error {
	table := m.operators.Trace
	if table == nil {
		return nil
	}
	settings := tracing.Config{File: table.File, Sample: table.Sample, MaxBytes: table.MaxBytes}
	tracer, err := tracing.New(settings, m.config.Name, version)
	if err != nil {
		return fmt.Errorf("trace.file: %w", err)
	}
	m.tracer = tracer
	return nil
}

// prepare sets up a server that does not run yet.
func (m *member) prepare(instance *server.Server, faults operators.FaultInjection) {
	if m.tracer != nil {
		instance.OnStateChange(func(change server.StateChange) {
			m.tracer.Change(change.Name, change.From, change.To, change.Fields)
		})
	}
	if faults.ClockOffset != 0 {
		instance.SkewClock(faults.ClockOffset)
	}
	table := m.operators.Overload
	if table == nil {
		return
	}
	self := overload.ProcessID{Name: m.config.Name, Run: m.run}
	if table.Shedding {
		instance.EnableShedding(self)
	}
	if table.CoordinatedProbes {
		instance.EnableCoordinatedProbes(m.run, m.operators.Fleet.Zone)
	}
	if table.QuotaLeasing {
		instance.EnableQuotaLeasing(self, table.Lease, table.ReservedRatio)
	}
}

// runFleet takes part in the fleet until ctx ends, after a replaced process has released the address.
func (m *member) runFleet(ctx context.Context) error {
	for m.retryBind {
		err := m.fleet.Listen()
		if err == nil {
			break
		}
		m.log.WithError(err).Debug("fleet address still in use, retrying")
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(bindRetryInterval):
		}
	}
	return m.fleet.Run(ctx) //nolint:wrapcheck // it says that it is the fleet's
}
