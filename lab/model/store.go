package model

import (
	"strconv"
	"time"

	"falldeal/admission"
	"falldeal/lab/history"
	"falldeal/lab/workerpool"
)

// A store falls when it has too many calls in hand for so long, is down for a while, and comes back cold.
const (
	fallAfter = time.Second
	fallDown  = 3 * time.Second
	coldShare = 0.1 // of its speed
)

// store is the store of one zone.
type store struct {
	sim     *Simulation
	zone    int
	slots   *workerpool.Pool
	places  int
	fall    workerpool.CrashModel
	born    time.Duration // when it came up last, cold
	mute    bool
	hand    map[string]*call
	hung    int
	last    int
	armedAt time.Duration
}

// call is one call in a store's hands.
type call struct {
	st      *store
	id      string
	by      *server
	j       *job
	over    bool // nobody waits for it
	dropped bool
}

func newStore(s *Simulation, zone int) *store {
	each := (s.opt.Servers + s.opt.Zones - 1 - zone) / s.opt.Zones
	places := max(int(s.opt.SlotsPerServer*float64(each)), 1)
	return &store{sim: s, zone: zone, places: places, hand: map[string]*call{}, born: -s.opt.WarmupTime, fall: workerpool.CrashModel{Tolerance: fallAfter, Downtime: fallDown},
		slots: workerpool.NewPool(workerpool.Curve{Workers: places, Speed: 1, Knee: 1, SlowdownPerExcess: 0.2, MinSpeedRatio: 0.3, ColdSpeedRatio: coldShare, WarmupTime: s.opt.WarmupTime}, -s.opt.WarmupTime)}
}

func (st *store) note(kind string) {
	st.sim.log(history.Event{Kind: kind, Server: strconv.Itoa(st.zone), Count: st.slots.InFlight() + st.hung})
}

// begin takes a call, for limit at most.
func (st *store) begin(by *server, j *job, limit time.Duration) *call {
	s := st.sim
	st.last++
	c := &call{st: st, id: strconv.Itoa(st.last), by: by, j: j}
	s.at(s.now+limit, func() { c.end(admission.OutcomeTimedOut) })
	if st.mute {
		st.hung++
		st.note(history.CallStarted)
		s.at(s.now+limit, func() { // it stays until its time is up
			st.hung--
			st.note(history.CallEnded)
		})
		return c
	}
	if st.fall.IsDown(s.now) {
		s.at(s.now+2*way, func() { c.end(admission.OutcomeFailed) })
		return c
	}
	st.advance()
	st.hand[c.id] = c
	st.slots.Add(c.id, s.opt.CallTime)
	st.note(history.CallStarted)
	warm := min(float64(s.now-st.born)/float64(max(s.opt.WarmupTime, 1)), 1)
	st.fall.MaxInFlight = int(s.opt.StoreCrashMultiple * float64(st.places) * (coldShare + (1-coldShare)*warm))
	if st.fall.Observe(s.now, st.slots.InFlight()) {
		st.restart(s.now + fallDown)
		for i := range st.last + 1 {
			if x := st.hand[strconv.Itoa(i)]; x != nil {
				st.slots.Cancel(x.id)
				delete(st.hand, x.id)
				st.note(history.CallEnded)
				x.end(admission.OutcomeFailed)
			}
		}
		s.log(history.Event{Kind: history.FaultChanged, Detail: "fall of store " + strconv.Itoa(st.zone), Count: 1})
	}
	st.arm()
	return c
}

func (st *store) advance() {
	for _, id := range st.slots.Advance(st.sim.now) {
		c := st.hand[id]
		delete(st.hand, id)
		st.note(history.CallEnded)
		c.end(admission.OutcomeOK)
	}
}

// restart has it be cold at that time.
func (st *store) restart(at time.Duration) {
	st.sim.at(at, func() {
		st.advance()
		st.slots.Restart(st.sim.now)
		st.born = st.sim.now
		st.arm()
	})
}

func (st *store) arm() {
	at, ok := st.slots.NextCompletion()
	if !ok || st.armedAt > st.sim.now && st.armedAt <= at {
		return
	}
	st.armedAt = at
	st.sim.at(at, func() {
		if st.armedAt == at {
			st.armedAt = 0
			st.advance()
			st.arm()
		}
	})
}

// end tells the server how its call ended, once; what is in a slot stays there until it is done.
func (c *call) end(o admission.Outcome) {
	if c.over || c.dropped {
		return
	}
	c.over = true
	c.st.sim.at(c.st.sim.now+way, func() {
		if !c.dropped {
			c.by.called(c.j, o)
		}
	})
}

func (c *call) drop() { c.dropped = true }
