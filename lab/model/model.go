// Package model plays fleets of up to thousands of servers in one goroutine, faster than real time: the shipped decision
// code (decide, internal/overload, the words of internal/fleet), and models of all that is round it. A seed gives the
// same day, event for event.
//
// What it leaves out: sockets, the processor time of the servers themselves, memory, and the ways of single words: a word
// reaches all of a zone at one time, which goes by the fleet's size, and zones that are cut from one another hear nothing.
package model

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"falldeal/admission"
	"falldeal/internal/fleet"
	"falldeal/lab/clients"
	"falldeal/lab/history"
)

// Options say what is played.
type Options struct {
	Servers, Zones, FrontEnds   int
	Seed                        uint64
	LoadRatio                   float64 // of what the cores can do
	Duration                    time.Duration
	Cores                       int // of each server; every other one's are slower
	SlotsPerServer              float64
	CallTime                    time.Duration
	WarmupTime                  time.Duration // of a server, and of a store that comes back
	StoreCrashMultiple          float64       // in hand, of its slots, under which a store falls; cold, it falls under less
	HonorRetryAfterRatio        float64       // share of the front ends that heed advice
	Classes                     []clients.Class
	Shedding, CoordinatedProbes bool
	Aggregates                  bool // sums by zone in a large fleet; off: by the words of all, however old
	Faults                      []Fault
}

// Classes are those of the model: as the laboratory's, with four times the work, so that a server with four cores has some
// twelve requests a second.
var Classes = []clients.Class{
	{Name: "preview", ArrivalRatio: 0.6, MeanWork: 160 * time.Millisecond, Timeout: 4 * time.Second, LatencyObjective: 1900 * time.Millisecond, Value: 1, DegradedValueRatio: 0.6},
	{Name: "hires-crop", ArrivalRatio: 0.3, MeanWork: 360 * time.Millisecond, Timeout: 4 * time.Second, LatencyObjective: 1900 * time.Millisecond, Value: 2},
	{Name: "licence-order", ArrivalRatio: 0.1, MeanWork: 240 * time.Millisecond, Timeout: 4 * time.Second, LatencyObjective: 1900 * time.Millisecond, Value: 3, IdempotentByKey: true}}

// Defaults are those of a small fleet; slots are for each server.
func Defaults() Options {
	return Options{Servers: 12, Zones: 3, FrontEnds: 24, Seed: 1, LoadRatio: 0.8, Duration: 40 * time.Second, Cores: 4, SlotsPerServer: 4,
		CallTime: 100 * time.Millisecond, WarmupTime: 4 * time.Second, StoreCrashMultiple: 5, HonorRetryAfterRatio: 1, Classes: Classes, Aggregates: true}
}

// Fault is one thing that goes wrong for a while.
type Fault struct {
	Kind            string // mute: stores answer nothing, and come back cold; lost: the servers of a zone; slow: stores; burst: of load
	Zone            int    // -1: all
	Start, Duration time.Duration
	Factor          float64 // slow, burst
}

// Times of the model, from what real processes and the membership's schedules have shown.
const (
	way        = time.Millisecond       // from a front end to a server, and back
	pauseFull  = 20 * time.Millisecond  // of a front end that found no server
	rampFor    = 5 * time.Second        // until the load is whole, for controllers to have seen some of it
	listLag    = time.Second            // of front ends' lists
	detectFor  = 4 * time.Second        // until others see that a server is gone
	lookEvery  = 500 * time.Millisecond // at the cutoff; views are made as often
	probeEvery = 250 * time.Millisecond
	hop        = 200 * time.Millisecond // between two packets of the gossip
	hopReach   = 4                      // members that know a word after a hop, for each that did before
)

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type agenda []event

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(a[i].at, a[j].at), a[i].seq-a[j].seq) < 0
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(event)) }
func (a *agenda) Pop() any {
	n := len(*a) - 1
	x := (*a)[n]
	(*a)[n] = event{}
	*a = (*a)[:n]
	return x
}

// Simulation is one day at play.
type Simulation struct {
	opt     Options
	now     time.Duration
	agenda  agenda
	seq     int
	rand    *rand.Rand
	servers []*server
	stores  []*store
	fronts  []*frontEnd
	view    *fleet.Snapshot // what has gone round
	events  []history.Event
	tries   uint64
	set     admission.Settings
	mean    time.Duration // work of a request
}

// Run plays a day and returns its history.
func Run(o Options) []history.Event {
	s := &Simulation{opt: o, rand: rand.New(rand.NewPCG(o.Seed, 11))}
	s.settings()
	for z := range o.Zones {
		s.stores = append(s.stores, newStore(s, z))
	}
	for i := range o.Servers {
		v := &server{sim: s, number: i, zone: i % o.Zones, name: fmt.Sprintf("n%05d", i)}
		s.servers = append(s.servers, v)
	}
	for i := range s.servers {
		s.at(time.Duration(s.rand.Int64N(int64(100*time.Millisecond))), func() { s.servers[i].start(false) })
	}
	s.look()
	for i := range o.FrontEnds {
		f := &frontEnd{sim: s, number: i, heed: s.rand.Float64() < o.HonorRetryAfterRatio, away: map[int]time.Duration{}, rand: rand.New(rand.NewPCG(o.Seed, uint64(i)+100)),
			order: s.rand.Perm(o.Servers)}
		s.fronts = append(s.fronts, f)
		f.next(500 * time.Millisecond)
	}
	for _, f := range o.Faults {
		s.at(f.Start, func() { s.fault(f, true) })
		s.at(f.Start+f.Duration, func() { s.fault(f, false) })
	}
	for len(s.agenda) > 0 && s.now <= o.Duration+10*time.Second {
		e := heap.Pop(&s.agenda).(event)
		s.now = e.at
		e.do()
	}
	return s.events
}

func (s *Simulation) at(at time.Duration, do func()) {
	s.seq++
	heap.Push(&s.agenda, event{max(at, s.now), s.seq, do})
}

func (s *Simulation) log(e history.Event) {
	e.At = s.now
	s.events = append(s.events, e)
}

func speedOf(i int) float64 { return []float64{1, 0.7}[i%2] }

// Capacity is how many requests a second all can read and do.
func Capacity(o Options) float64 {
	return TotalCores(o) / ((1 + history.ReadCostRatio) * meanWork(o.Classes).Seconds())
}

// TotalCores is the work that all do in a second, in seconds.
func TotalCores(o Options) (cores float64) {
	for i := range o.Servers {
		cores += float64(o.Cores) * speedOf(i)
	}
	return cores
}

func meanWork(classes []clients.Class) (work time.Duration) {
	for _, c := range classes {
		work += time.Duration(c.ArrivalRatio * float64(c.MeanWork))
	}
	return work
}

func (s *Simulation) settings() {
	o := &s.opt
	s.mean = meanWork(o.Classes)
	s.set = admission.Settings{Cores: o.Cores, FleetSize: o.Servers, Clients: o.FrontEnds, MemoryKB: 60000, RunningMemoryFactor: 8, KeyMemoryKB: 4,
		Dependency: admission.DependencyShared, MaxCallsInFlight: o.SlotsPerServer, CallsWindow: 5 * time.Second, AbandonedCallTime: 200 * time.Millisecond,
		SlowStartSpeedRatio: 0.25, SlowStartTime: o.WarmupTime, MaxConcurrencyPerCore: 5, ConcurrencyWindow: 3 * time.Second, AnswerGrace: 100 * time.Millisecond,
		DrainGrace: 2500 * time.Millisecond, IdleTimeout: 30 * time.Second, MaxRetryAfter: time.Second, SendsRetryAfter: true, SendsCancellations: true,
		SendsDeadlines: true, RegistryFollowsHealth: true, Tick: 5 * time.Millisecond, OverQuotaValueRatio: 0.1}
	for _, c := range o.Classes {
		k := admission.Class{LatencyObjective: c.LatencyObjective, Deadline: c.Timeout, PriorityWeight: c.Value, CallsDependency: c.Name != "hires-crop", IdempotencyWindow: 5 * time.Second}
		if c.IdempotentByKey {
			k.Idempotency, k.IdempotencyWindow = admission.IdempotentByKey, 17457*time.Millisecond
		}
		if c.DegradedValueRatio > 0 {
			k.DegradedValueRatio = c.DegradedValueRatio
		}
		s.set.Classes = append(s.set.Classes, k)
	}
}

// fault begins or ends a fault.
func (s *Simulation) fault(f Fault, on bool) {
	word := f.Kind + " zone " + strconv.Itoa(f.Zone)
	n := 0
	if on {
		n = 1
	}
	s.log(history.Event{Kind: history.FaultChanged, Detail: word, Count: n})
	for z, st := range s.stores {
		if f.Zone >= 0 && f.Zone != z {
			continue
		}
		switch f.Kind {
		case "mute":
			st.mute = on
			if !on {
				st.restart(s.now)
			}
		case "slow":
			times := 1.0
			if on {
				times = f.Factor
			}
			st.advance()
			st.slots.SetSlowdown(s.now, times)
			st.arm()
		case "lost":
			for _, v := range s.servers {
				if v.zone == z && on {
					v.kill()
				} else if v.zone == z {
					v.start(true)
				}
			}
		}
	}
}

// rate is how many requests a second arrive now.
func (s *Simulation) rate() float64 {
	r := s.opt.LoadRatio * Capacity(s.opt) * min(0.2+0.8*float64(s.now)/float64(rampFor), 1)
	for _, f := range s.opt.Faults {
		if f.Kind == "burst" && s.now >= f.Start && s.now < f.Start+f.Duration {
			r *= f.Factor
		}
	}
	return r
}

// look makes the view of all servers: what was told long enough ago to have gone round.
func (s *Simulation) look() {
	n := len(s.servers)
	late := hop * time.Duration(1+math.Ceil(math.Log(float64(n))/math.Log(hopReach)))
	snap := &fleet.Snapshot{At: s.now, LastReceived: s.now, Position: fleet.FullyConnected, Members: make([]fleet.Member, 0, n)}
	for _, v := range s.servers {
		for len(v.words) > 1 && v.words[1].at <= s.now-late {
			v.words = v.words[1:]
		}
		m := fleet.Member{Record: &fleet.Record{Name: v.name, Zone: strconv.Itoa(v.zone), Run: v.run + 1}, Liveness: fleet.Unmet}
		if len(v.words) > 0 && v.words[0].at <= s.now-late {
			m.Record, m.RecordedAt, m.Liveness = &v.words[0].rec, v.words[0].at, fleet.Alive
		}
		if !v.up && s.now-v.changed > detectFor {
			m.Liveness = fleet.Dead
		}
		snap.Members = append(snap.Members, m)
	}
	s.view = snap
	s.at(s.now+lookEvery/2, s.look)
}
