package model

import (
	"math/rand/v2"
	"strconv"
	"time"

	"falldeal/admission"
	"falldeal/internal/fleet"
	"falldeal/lab/clients"
	"falldeal/lab/history"
)

// Times and random streams of the model.
const (
	networkDelay         = time.Millisecond // from a front end to a server, between servers, and back
	loadRampTime         = 5 * time.Second  // until the load is at its full rate, so that the controllers can learn before
	initialLoadRatio     = 0.2
	startSpread          = 100 * time.Millisecond // within which the servers start
	firstArrivalsAt      = 500 * time.Millisecond
	completionGrace      = 10 * time.Second // after the last arrival
	sheddingInterval     = 500 * time.Millisecond
	snapshotInterval     = sheddingInterval / 2
	coordinationInterval = 250 * time.Millisecond
	publishInterval      = time.Second
	simulationRandStream = 11
	frontEndRandStream   = 100 // of the first front end
)

// Simulation is one run of the model. It belongs to one goroutine.
type Simulation struct {
	opts      Options
	settings  admission.Settings // of every controller
	readWork  time.Duration      // of one attempt
	now       time.Duration
	queue     eventQueue
	rand      *rand.Rand
	servers   []*server
	stores    []*store // by zone
	frontEnds []*frontEnd
	snapshot  *fleet.Snapshot // the records that have reached all servers
	events    []history.Event
}

// Run simulates a fleet and returns the history.
func Run(opts Options) []history.Event {
	sim := &Simulation{
		opts: opts, settings: admissionSettings(&opts),
		readWork: clients.ReadWork(opts.Classes),
		rand:     rand.New(rand.NewPCG(opts.Seed, simulationRandStream)),
	}
	sim.addStores()
	sim.addServers()
	sim.refreshSnapshot()
	sim.addFrontEnds()
	sim.scheduleFaults()
	for !sim.queue.empty() && sim.now <= opts.Duration+completionGrace {
		event := sim.queue.pop()
		sim.now = event.at
		event.do()
	}
	return sim.events
}

func (s *Simulation) addStores() {
	for zone := range s.opts.Zones {
		s.stores = append(s.stores, newStore(s, zone))
	}
}

func (s *Simulation) addServers() {
	for i := range s.opts.Servers {
		s.servers = append(s.servers, newServer(s, i))
	}
	for _, server := range s.servers {
		s.schedule(s.randomDelay(startSpread), func() { server.start(false) })
	}
}

func (s *Simulation) addFrontEnds() {
	for i := range s.opts.FrontEnds {
		frontEnd := newFrontEnd(s, i)
		s.frontEnds = append(s.frontEnds, frontEnd)
		frontEnd.scheduleArrival(firstArrivalsAt)
	}
}

// schedule calls do at a time, or at once if that has passed.
func (s *Simulation) schedule(at time.Duration, do func()) { s.queue.push(max(at, s.now), do) }

// randomDelay draws a time below limit.
func (s *Simulation) randomDelay(limit time.Duration) time.Duration {
	return time.Duration(s.rand.Int64N(int64(limit)))
}

// record appends an event to the history.
func (s *Simulation) record(event history.Event) {
	event.At = s.now
	s.events = append(s.events, event)
}

// arrivalRate returns how many requests a second arrive now.
func (s *Simulation) arrivalRate() float64 {
	ramp := min(initialLoadRatio+(1-initialLoadRatio)*float64(s.now)/float64(loadRampTime), 1)
	rate := s.opts.LoadRatio * Capacity(s.opts) * ramp
	for i := range s.opts.Faults {
		if fault := &s.opts.Faults[i]; fault.Kind == FaultBurst && fault.active(s.now) {
			rate *= fault.Factor
		}
	}
	return rate
}

func zoneName(zone int) string { return strconv.Itoa(zone) }
