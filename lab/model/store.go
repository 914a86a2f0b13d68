package model

import (
	"strconv"
	"time"

	"falldeal/admission"
	"falldeal/lab/history"
	"falldeal/lab/workerpool"
)

// A store crashes after it has had too many calls in flight for crashTolerance. It is down for crashDowntime and then warms up.
const (
	crashTolerance        = time.Second
	crashDowntime         = 3 * time.Second
	storeWarmupStartRatio = 0.1 // speed and crash limit right after a restart, as a ratio of those of a warm store
)

// store is the store of one zone.
type store struct {
	sim          *Simulation
	zone         int
	slotCount    int
	slots        *scheduledPool // process the calls
	crash        workerpool.CrashModel
	startedAt    time.Duration    // start of the last warm-up
	unresponsive bool             // accepts calls without answering them
	calls        map[string]*call // calls in slots, by ID
	unanswered   int              // calls in flight that began while the store was unresponsive
	lastCall     int              // number of the newest call; its decimal form is the ID
}

// call is one call of a server to a store.
type call struct {
	store     *store
	id        string
	server    *server
	attempt   *attempt
	ended     bool // its outcome was sent to the server
	abandoned bool // the server no longer waits for the outcome
}

// newStore returns the store of a zone, which is warm at the start of the simulation.
func newStore(sim *Simulation, zone int) *store {
	serversOfZone := (sim.opts.Servers + sim.opts.Zones - 1 - zone) / sim.opts.Zones
	slotCount := max(int(sim.opts.SlotsPerServer*float64(serversOfZone)), 1)
	startedAt := -sim.opts.WarmupTime // its warm-up ends at time 0
	curve := workerpool.StoreCurve(slotCount)
	curve.WarmupStartRatio = storeWarmupStartRatio
	curve.WarmupTime = sim.opts.WarmupTime
	store := &store{
		sim: sim, zone: zone, slotCount: slotCount, startedAt: startedAt, calls: map[string]*call{},
		crash: workerpool.CrashModel{Tolerance: crashTolerance, Downtime: crashDowntime},
	}
	store.slots = &scheduledPool{
		Pool: workerpool.NewPool(curve, startedAt), sim: sim, schedule: sim.schedule, collect: store.collectCompleted,
	}
	return store
}

// recordCalls records the start or the end of a call, with the number of calls in flight after it.
func (s *store) recordCalls(kind history.Kind) {
	s.sim.record(history.Event{Kind: kind, Server: zoneName(s.zone), Count: s.slots.InFlight() + s.unanswered})
}

// begin starts a call. It times out after timeout, fails at once if the store is down, and is not answered if the store is
// unresponsive.
func (s *store) begin(server *server, attempt *attempt, timeout time.Duration) *call {
	s.lastCall++
	call := &call{store: s, id: strconv.Itoa(s.lastCall), server: server, attempt: attempt}
	s.sim.schedule(s.sim.now+timeout, func() { call.end(admission.OutcomeTimedOut) })
	switch {
	case s.unresponsive:
		s.startUnanswered(timeout)
	case s.crash.IsDown(s.sim.now):
		s.sim.schedule(s.sim.now+2*networkDelay, func() { call.end(admission.OutcomeFailed) })
	default:
		s.startAnswered(call)
	}
	return call
}

// startUnanswered counts a call that stays in flight, without an answer, until its timeout.
func (s *store) startUnanswered(timeout time.Duration) {
	s.unanswered++
	s.recordCalls(history.CallStarted)
	s.sim.schedule(s.sim.now+timeout, func() {
		s.unanswered--
		s.recordCalls(history.CallEnded)
	})
}

// startAnswered adds a call to the slots. The store crashes if it has been overloaded for crashTolerance by then.
func (s *store) startAnswered(call *call) {
	s.collectCompleted()
	s.calls[call.id] = call
	s.slots.Add(call.id, s.sim.opts.CallTime)
	s.recordCalls(history.CallStarted)
	s.crash.MaxInFlight = s.maxInFlight()
	if s.crash.Observe(s.sim.now, s.slots.InFlight()) {
		s.crashNow()
	}
	s.slots.scheduleCompletion()
}

// maxInFlight returns how many calls in flight the store survives for any time. It is lower while the store warms up.
func (s *store) maxInFlight() int {
	warmupProgress := min(float64(s.sim.now-s.startedAt)/float64(max(s.sim.opts.WarmupTime, 1)), 1)
	speedRatio := storeWarmupStartRatio + (1-storeWarmupStartRatio)*warmupProgress
	return int(s.sim.opts.StoreCrashMultiple * float64(s.slotCount) * speedRatio)
}

// crashNow fails the calls in slots, in the order in which they began, and schedules the restart.
func (s *store) crashNow() {
	s.restart(s.sim.now + crashDowntime)
	for number := range s.lastCall + 1 {
		call := s.calls[strconv.Itoa(number)]
		if call == nil {
			continue
		}
		s.slots.Cancel(call.id)
		delete(s.calls, call.id)
		s.recordCalls(history.CallEnded)
		call.end(admission.OutcomeFailed)
	}
	s.sim.record(history.Event{
		Kind: history.FaultChanged, Detail: "crash of store " + zoneName(s.zone), Count: 1,
	})
}

// collectCompleted advances the slots to the present and ends the calls that have completed.
func (s *store) collectCompleted() {
	for _, id := range s.slots.Advance(s.sim.now) {
		call := s.calls[id]
		delete(s.calls, id)
		s.recordCalls(history.CallEnded)
		call.end(admission.OutcomeOK)
	}
}

// restart schedules a restart of the store at a time, at which its warm-up begins. Calls in slots continue.
func (s *store) restart(at time.Duration) {
	s.sim.schedule(at, func() {
		s.collectCompleted()
		s.slots.Restart(s.sim.now)
		s.startedAt = s.sim.now
		s.slots.scheduleCompletion()
	})
}

// setUnresponsive sets whether the store leaves new calls unanswered. Calls in slots are still answered. The store restarts
// when unresponsive is set to false.
func (s *store) setUnresponsive(unresponsive bool) {
	s.unresponsive = unresponsive
	if !unresponsive {
		s.restart(s.sim.now)
	}
}

// setSlow makes calls take factor times as long if slow, and restores their normal time otherwise.
func (s *store) setSlow(slow bool, factor float64) {
	if !slow {
		factor = 1
	}
	s.collectCompleted()
	s.slots.SetSlowdown(s.sim.now, factor)
	s.slots.scheduleCompletion()
}

// end reports the outcome to the server, unless an outcome was reported before or the server has abandoned the call. A call
// that times out stays in its slot until it completes.
func (c *call) end(outcome admission.Outcome) {
	if c.ended || c.abandoned {
		return
	}
	c.ended = true
	c.store.sim.schedule(c.store.sim.now+networkDelay, func() {
		if !c.abandoned {
			c.server.callEnded(c.attempt, outcome)
		}
	})
}
