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

// bindRetryInterval is the time between two attempts to bind the gossip address while the predecessor process still
// uses it.
const bindRetryInterval = 500 * time.Millisecond

// member is this process as a member of a fleet. If the operators' file has no fleet table, it is a single server.
type member struct {
	opts      *options
	config    *config.Config
	operators *operators.File
	log       *logrus.Logger
	extension process.Extension // empty without a fleet

	fleet     *gossip.Fleet   // nil without a fleet
	tracer    *tracing.Tracer // nil without tracing
	run       uint64          // identifies this process among those with the same name; grows with each start
	retryBind bool            // the predecessor process may still use the gossip address at first
}

// newMember reads the configuration with load, reads the operators' file, and prepares the member that they describe.
// It opens the trace file but no socket.
func newMember(opts *options, load func(path string) (*config.Config, error)) (*member, error) {
	conf, err := load(opts.configPath)
	if err != nil {
		return nil, err
	}
	file, err := operators.Load(opts.operatorsPath)
	if err != nil {
		return nil, err //nolint:wrapcheck // the error names the file
	}
	log := logrus.New()
	log.SetLevel(opts.logLevel)
	created := &member{opts: opts, config: conf, operators: file, log: log, retryBind: conf.HandoverPath != ""}
	if file.Fleet == nil {
		return created, nil
	}
	if err := created.setUpFleet(); err != nil {
		return nil, created.fileError(err)
	}
	return created, nil
}

// fileError adds the path of the operators' file to an error about its contents.
func (m *member) fileError(err error) error {
	return fmt.Errorf("operators' file %s: %w", m.opts.operatorsPath, err)
}

// setUpFleet sets fleet, tracer and extension. It does not contact other members.
func (m *member) setUpFleet() error {
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
	var instance *server.Server // set by Prepare, before the console serves a page
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

// createFleet sets run and fleet. It opens no socket.
func (m *member) createFleet(faults operators.FaultInjection) error {
	digest, err := config.Digest(m.opts.configPath)
	if err != nil {
		return fmt.Errorf("compute digest of the configuration: %w", err)
	}
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return fmt.Errorf("draw run number: %w", err)
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
	return err //nolint:wrapcheck // the error names the key of the operators' file
}

// runNumber returns the start time in milliseconds, followed by 20 random bits that distinguish starts at the same
// time. Numbers of later starts are larger.
func runNumber(nowMs, random uint64) uint64 {
	const randomBits = 20
	return nowMs<<randomBits | random>>(64-randomBits)
}

// openTrace sets tracer if the operators' file has a trace table.
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

// prepare configures a server that has not been started: tracing, clock skew and overload handling.
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

// runFleet takes part in the fleet until ctx ends. If retryBind is set, it first waits until the predecessor process has
// released the gossip address.
func (m *member) runFleet(ctx context.Context) error {
	for m.retryBind {
		err := m.fleet.Listen()
		if err == nil {
			break
		}
		m.log.WithError(err).Debug("cannot bind gossip address, retrying")
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(bindRetryInterval):
		}
	}
	return m.fleet.Run(ctx) //nolint:wrapcheck // the error names the fleet
}
