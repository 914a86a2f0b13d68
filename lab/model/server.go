package model

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"falldeal/admission"
	"falldeal/internal/overload"
	"falldeal/lab/history"
)

// server is one image server with its agent.
type server struct {
	sim          *Simulation
	number, zone int
	name         string
	starts       uint64 // of its process so far
	up           bool
	upChangedAt  time.Duration
	publisher    publisher           // of its records, also of those of earlier processes
	lastAttempt  admission.RequestID // of all processes

	process // the one that runs now, or the last one
}

// process is one process of a server, with its agent.
type process struct {
	controller    *admission.Controller
	healthy       bool // as the controller reports it
	pendingEvents []admission.Event
	stepScheduled bool
	actions       []admission.Action // reused from step to step
	attempts      map[admission.RequestID]*attempt
	cores         *agentCores
	shedding      *shedding                  // nil where it is off
	probes        *overload.ProbeCoordinator // nil where they are not coordinated
	callAllowance overload.CallAllowance     // in force at the controller
}

func newServer(sim *Simulation, number int) *server {
	return &server{sim: sim, number: number, zone: number % sim.opts.Zones, name: fmt.Sprintf("n%05d", number)}
}

// start starts a process.
func (s *server) start(warmingUp bool) {
	s.starts++
	s.up = true
	s.upChangedAt = s.sim.now
	settings := s.sim.settings
	settings.WarmingUp = warmingUp
	controller, err := admission.New(settings, s.sim.opts.Seed+uint64(s.number), s.sim.now)
	if err != nil {
		panic(err) // the settings are this package's own
	}
	s.process = process{
		controller: controller,
		healthy:    true,
		attempts:   map[admission.RequestID]*attempt{},
		cores:      s.newCores(warmingUp),
	}
	s.startShedding()
	s.startProbes()
	s.every(publishInterval, s.publish)
	s.step()
}

// kill ends the process: calls are dropped and connections lost.
func (s *server) kill() {
	s.up = false
	s.upChangedAt = s.sim.now
	for _, attempt := range s.attempts {
		attempt.dropCall()
	}
	for _, id := range slices.Sorted(maps.Keys(s.attempts)) { // the order of a map would differ from run to run
		s.attempts[id].respond(response{outcome: history.OutcomeLost})
	}
	s.attempts = nil
}

// schedule calls do at a time if the present process still runs then.
func (s *server) schedule(at time.Duration, do func()) {
	starts := s.starts
	s.sim.schedule(at, func() {
		if s.up && s.starts == starts {
			do()
		}
	})
}

// every calls do at an interval while the process runs, first at a random time within one interval.
func (s *server) every(interval time.Duration, do func()) {
	var next func()
	next = func() {
		do()
		s.schedule(s.sim.now+interval, next)
	}
	s.schedule(s.sim.now+s.sim.randomDelay(interval), next)
}

// enqueue passes an event to the controller at the end of this instant.
func (s *server) enqueue(event admission.Event) {
	s.pendingEvents = append(s.pendingEvents, event)
	if !s.stepScheduled {
		s.stepScheduled = true
		s.schedule(s.sim.now, s.step)
	}
}

// step has the controller decide on the pending events.
func (s *server) step() {
	s.stepScheduled = false
	events := s.pendingEvents
	s.pendingEvents = nil
	s.actions = s.controller.Step(s.sim.now, events, s.actions[:0])
	s.collectCompleted()
	for i := range s.actions {
		s.perform(&s.actions[i])
	}
	s.cores.scheduleCompletion()
}
