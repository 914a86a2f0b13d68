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

// Times of the model.
const (
	networkDelay         = time.Millisecond       // one way between any two of front ends, servers and stores
	loadRampTime         = 5 * time.Second        // from time 0 until the load is at its full rate; lets the controllers adapt
	initialLoadRatio     = 0.2                    // load at time 0, as a ratio of the full rate
	startSpread          = 100 * time.Millisecond // within which the servers start
	firstArrivalsAt      = 500 * time.Millisecond // no request arrives earlier
	completionGrace      = 10 * time.Second       // simulated after Options.Duration, for requests to complete
	sheddingInterval     = 500 * time.Millisecond // of updates of the shedding threshold
	snapshotInterval     = sheddingInterval / 2   // of updates of Simulation.snapshot
	coordinationInterval = 250 * time.Millisecond // of updates of the probe coordinators
	publishInterval      = time.Second            // of a server's checks whether to publish its record
)

// Random streams, which give each user of randomness a sequence of its own for the same seed.
const (
	simulationRandStream = 11
	frontEndRandStream   = 100 // stream of the first front end; the following ones have the numbers after it
)

// Simulation is one run of the model. It must be used by one goroutine only.
type Simulation struct {
	opts      Options
	settings  admission.Settings // settings of every controller
	readWork  time.Duration      // work of reading one attempt, on a core of speed 1
	now       time.Duration      // time of the event that is being processed
	queue     eventQueue
	rand      *rand.Rand
	servers   []*server
	stores    []*store // by zone
	frontEnds []*frontEnd
	snapshot  *fleet.Snapshot // membership as all servers see it
	events    []history.Event // history so far
}

// Run simulates a fleet until opts.Duration and completionGrace have passed, and returns the history.
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

// schedule schedules a call of do at a time. A time in the past is replaced by the present time.
func (s *Simulation) schedule(at time.Duration, do func()) { s.queue.push(max(at, s.now), do) }

// randomDelay draws a duration that is at least 0 and less than limit.
func (s *Simulation) randomDelay(limit time.Duration) time.Duration {
	return time.Duration(s.rand.Int64N(int64(limit)))
}

// record appends an event to the history, with the present time.
func (s *Simulation) record(event history.Event) {
	event.At = s.now
	s.events = append(s.events, event)
}

// arrivalRate returns the present arrival rate of the fleet, in requests per second.
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
