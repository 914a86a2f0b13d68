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
	starts       uint64              // number of processes started so far
	up           bool                // whether a process runs
	upChangedAt  time.Duration       // time of the last start or kill
	publisher    publisher           // records that its processes have published
	lastAttempt  admission.RequestID // ID of the newest attempt, over all processes

	process // the process that runs, or else the last one
}

// process is the state of one process of a server, and of its agent.
type process struct {
	controller    *admission.Controller
	healthy       bool                             // answer to health checks, as the controller decides it
	pendingEvents []admission.Event                // events for the next step of the controller
	stepScheduled bool                             // a step is scheduled for the present time
	actions       []admission.Action               // buffer reused by all steps
	attempts      map[admission.RequestID]*attempt // received attempts that are not finished
	cores         *agentCores
	shedding      *shedding                  // nil if load is not shed by the fleet
	probes        *overload.ProbeCoordinator // nil if probes are not coordinated
	callAllowance overload.CallAllowance     // allowance that the controller is configured for
}

func newServer(sim *Simulation, number int) *server {
	return &server{sim: sim, number: number, zone: number % sim.opts.Zones, name: fmt.Sprintf("n%05d", number)}
}

// start starts a new process. With warmingUp its agent starts slow.
func (s *server) start(warmingUp bool) {
	s.starts++
	s.up = true
	s.upChangedAt = s.sim.now
	settings := s.sim.settings
	settings.WarmingUp = warmingUp
	controller, err := admission.New(settings, s.sim.opts.Seed+uint64(s.number), s.sim.now)
	if err != nil {
		panic(err) // unreachable: admissionSettings returns valid settings
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

// kill ends the process without notice: its calls are abandoned, and its attempts are lost with their connections.
func (s *server) kill() {
	s.up = false
	s.upChangedAt = s.sim.now
	for _, attempt := range s.attempts {
		attempt.abandonCall()
	}
	for _, id := range slices.Sorted(maps.Keys(s.attempts)) { // sorted: the order of a map is not reproducible
		s.attempts[id].respond(response{outcome: history.OutcomeLost})
	}
	s.attempts = nil
}

// schedule calls do at a time, if the present process still runs then.
func (s *server) schedule(at time.Duration, do func()) {
	starts := s.starts
	s.sim.schedule(at, func() {
		if s.up && s.starts == starts {
			do()
		}
	})
}

// every calls do periodically while the present process runs, first at a random time within one interval.
func (s *server) every(interval time.Duration, do func()) {
	var next func()
	next = func() {
		do()
		s.schedule(s.sim.now+interval, next)
	}
	s.schedule(s.sim.now+s.sim.randomDelay(interval), next)
}

// enqueue queues an event for the controller. The next step passes it on, together with all other events queued until then. The
// step runs at the present time, after the simulation events that were already scheduled for that time.
func (s *server) enqueue(event admission.Event) {
	s.pendingEvents = append(s.pendingEvents, event)
	if !s.stepScheduled {
		s.stepScheduled = true
		s.schedule(s.sim.now, s.step)
	}
}

// step passes the pending events to the controller and performs the actions that it returns.
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
