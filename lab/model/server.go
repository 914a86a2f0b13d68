package model

import (
	"math/rand/v2"
	"strconv"
	"time"

	"falldeal/admission"
	"falldeal/internal/fleet"
	"falldeal/internal/overload"
	"falldeal/lab/clients"
	"falldeal/lab/history"
	"falldeal/lab/workerpool"
)

// word is what a server told, and when.
type word struct {
	at  time.Duration
	rec fleet.Record
}

// server is one image server with its agent.
type server struct {
	sim          *Simulation
	number, zone int
	name         string
	run          uint64 // of its process; it counts starts
	up           bool
	changed      time.Duration // when it came up or went down

	ctl     *admission.Controller
	jobs    map[admission.RequestID]*job
	lastID  admission.RequestID
	events  []admission.Event
	actions []admission.Action
	pending bool
	good    bool

	cores   *workerpool.Pool
	unread  []*job
	reads   int
	pooled  map[string]*job
	armedAt time.Duration

	words     []word
	toldAt    time.Duration
	seq       uint64
	cutoff    *overload.Shedder
	patience  *overload.AgeEstimator
	repeats   *overload.RetryCounter
	collector *overload.Collector
	probes    *overload.ProbeCoordinator
	leak      overload.ProbeAllowance
}

// job is one try at a server.
type job struct {
	id      admission.RequestID
	pool    string // its name in the pool
	r       *request
	class   int
	came    time.Duration
	due     time.Duration
	fp      uint64
	read    bool
	running bool
	waiting bool // for its call
	over    bool // it has its answer
	poorer  bool
	began   time.Duration
	asked   time.Duration
	call    *call
	answer  func(answer)
}

type answer struct {
	word   string
	after  time.Duration
	last   bool
	poorer bool
}

func (v *server) start(cold bool) {
	s := v.sim
	v.run++
	v.up, v.changed, v.good = true, s.now, true
	curve := workerpool.Curve{Workers: s.opt.Cores, Speed: speedOf(v.number), Knee: 2, SlowdownPerExcess: 0.1, MinSpeedRatio: 0.4, ColdSpeedRatio: 0.25}
	set := s.set
	if set.WarmingUp = cold; cold {
		curve.WarmupTime = s.opt.WarmupTime
	}
	ctl, err := admission.New(set, s.opt.Seed+uint64(v.number), s.now)
	if err != nil {
		panic(err) // the settings are this package's own
	}
	v.ctl, v.cores, v.jobs, v.pooled = ctl, workerpool.NewPool(curve, s.now), map[admission.RequestID]*job{}, map[string]*job{}
	v.unread, v.reads, v.events, v.pending, v.armedAt = nil, 0, nil, false, 0
	v.cutoff, v.probes, v.collector, v.leak = nil, nil, nil, overload.ProbeUnlimited
	self := overload.ProcessID{Name: v.name, Run: v.id()}
	if s.opt.Shedding {
		v.patience = overload.NewAgeEstimator()
		v.cutoff, v.repeats, v.collector = &overload.Shedder{}, overload.NewRetryCounter(), overload.NewCollector(self)
		v.cycle(lookEvery, v.keepCutoff)
	}
	if s.opt.CoordinatedProbes {
		v.probes = overload.NewProbeCoordinator(v.id(), strconv.Itoa(v.zone))
		v.cycle(probeEvery, v.keepProbing)
	}
	v.cycle(time.Second, v.tell)
	v.turn()
}

// id is the process as the fleet knows it.
func (v *server) id() uint64 { return v.run<<32 | uint64(v.number+1) }

// cycle has something done again and again while this process lives.
func (v *server) cycle(every time.Duration, do func()) {
	run := v.run
	var again func()
	again = func() {
		if v.up && v.run == run {
			do()
			v.sim.at(v.sim.now+every, again)
		}
	}
	v.sim.at(v.sim.now+time.Duration(v.sim.rand.Int64N(int64(every))), again)
}

func (v *server) kill() {
	v.up, v.changed = false, v.sim.now
	for _, j := range v.jobs {
		if j.call != nil {
			j.call.drop()
		}
	}
	// In the order of their numbers: that of a map would be another each time.
	for id := admission.RequestID(1); id <= v.lastID; id++ {
		if j := v.jobs[id]; j != nil && !j.over {
			j.say(answer{word: "lost"})
		}
	}
	for _, j := range v.unread {
		j.say(answer{word: "lost"})
	}
	v.jobs, v.unread = nil, nil
}

func (j *job) say(a answer) {
	if !j.over {
		j.over = true
		j.answer(a)
	}
}

// arrive takes in a try; it is read first, which takes of the cores.
func (v *server) arrive(r *request, class int, due time.Duration, answer func(answer)) {
	v.lastID++
	j := &job{id: v.lastID, r: r, class: class, came: v.sim.now, due: due, answer: answer}
	v.jobs[j.id] = j
	v.unread = append(v.unread, j)
	v.advance()
	v.readNext()
	v.arm()
}

func (v *server) readNext() {
	for len(v.unread) > 0 && v.reads < v.sim.opt.Cores {
		j := v.unread[0]
		v.unread = v.unread[1:]
		v.reads++
		j.pool = "r" + strconv.FormatUint(uint64(j.id), 10)
		v.pooled[j.pool] = j
		v.cores.Add(j.pool, time.Duration(history.ReadCostRatio*float64(v.sim.mean)))
	}
}

func (v *server) advance() {
	for _, id := range v.cores.Advance(v.sim.now) {
		j := v.pooled[id]
		delete(v.pooled, id)
		if !j.read {
			v.reads--
			v.readNext()
			v.wasRead(j)
			continue
		}
		v.ended(j, admission.OutcomeOK)
	}
}

func (v *server) arm() {
	at, ok := v.cores.NextCompletion()
	if !ok || v.armedAt > v.sim.now && v.armedAt <= at {
		return
	}
	v.armedAt = at
	run := v.run
	v.sim.at(at, func() {
		if v.up && v.run == run && v.armedAt == at {
			v.armedAt = 0
			v.advance()
			v.arm()
		}
	})
}

// wasRead puts a try before the controller.
func (v *server) wasRead(j *job) {
	j.read = true
	s, c := v.sim, &v.sim.opt.Classes[j.class]
	if s.now >= j.due {
		delete(v.jobs, j.id)
		j.say(answer{word: "failed"})
		return
	}
	e := admission.Event{Kind: admission.EventRequest, ID: j.id, Class: j.class, Client: j.r.front, MemoryKB: 24, CostHint: j.r.work, HasSubject: !c.IdempotentByKey,
		Rank: j.r.rank, Deadline: j.due, Waited: s.now - j.came}
	if v.cutoff != nil {
		j.fp = overload.Fingerprint(c.Name, "", "", j.r.front, j.r.rank, j.r.work.Seconds())
		e.SinceFirstAttempt = v.patience.Age(s.now, c.Name, j.due-j.came)
		again := v.repeats.Arrived(s.now, j.fp) || e.SinceFirstAttempt > 0
		e.FleetRank = [...]admission.FleetRank{admission.RankUnknown, admission.RankElsewhere, admission.RankFull, admission.RankBelowThreshold}[v.cutoff.Classify(c.Value, j.r.work.Seconds(), j.r.rank, again)]
		e.RetryJitter = v.cutoff.RetryJitter(j.fp)
	}
	v.happened(e)
}

// happened has the controller take a step, at the end of this instant.
func (v *server) happened(e admission.Event) {
	v.events = append(v.events, e)
	if !v.pending {
		v.pending = true
		run := v.run
		v.sim.at(v.sim.now, func() {
			if v.up && v.run == run {
				v.turn()
			}
		})
	}
}

func (v *server) turn() {
	v.pending = false
	events := v.events
	v.events = nil
	v.actions = v.ctl.Step(v.sim.now, events, v.actions[:0])
	v.advance()
	for _, a := range v.actions {
		v.carryOut(a)
	}
	v.arm()
}

func (v *server) carryOut(a admission.Action) {
	s := v.sim
	switch a.Kind {
	case admission.ActionHealth:
		v.good = a.Healthy
		return
	case admission.ActionWake:
		run := v.run
		s.at(a.At, func() {
			if v.up && v.run == run {
				v.advance()
				v.happened(admission.Event{Kind: admission.EventTimer, Gauges: admission.Gauges{CPUUtilization: v.cores.Utilization(), CPUDemand: float64(v.cores.InFlight()), MemoryUtilization: 0.1, Connections: 10}})
				v.arm()
			}
		})
		return
	}
	j := v.jobs[a.ID]
	if j == nil {
		return
	}
	switch a.Kind {
	case admission.ActionRun:
		j.running, j.began = true, s.now
		if v.sim.set.Classes[j.class].CallsDependency {
			j.waiting = true
			v.happened(admission.Event{Kind: admission.EventCallNeeded, ID: j.id})
			return
		}
		v.work(j)
	case admission.ActionCall:
		j.asked = s.now
		j.call = s.stores[v.zone].begin(v, j, a.Timeout)
	case admission.ActionSkipCall:
		j.poorer = true
		v.work(j)
	case admission.ActionReject:
		if v.cutoff != nil && !a.NoRetryElsewhere {
			v.repeats.Rejected(s.now, j.fp)
		}
		delete(v.jobs, j.id)
		j.say(answer{word: "refused", after: a.RetryAfter, last: a.NoRetryElsewhere})
	case admission.ActionFail:
		j.say(answer{word: "failed"})
		if j.call != nil {
			j.call.drop()
			j.call = nil
		}
		if !j.running {
			delete(v.jobs, j.id)
		} else if j.waiting {
			v.ended(j, admission.OutcomeCancelled) // the agent ends what waits for a call that nobody wants
		}
	}
}

func (v *server) work(j *job) {
	j.waiting = false
	j.pool = strconv.FormatUint(uint64(j.id), 10)
	v.pooled[j.pool] = j
	v.cores.Add(j.pool, j.r.work)
}

func (v *server) ended(j *job, o admission.Outcome) {
	delete(v.jobs, j.id)
	if j.call != nil {
		j.call.drop()
		j.call = nil
	}
	v.happened(admission.Event{Kind: admission.EventDone, ID: j.id, Outcome: o, Took: v.sim.now - j.began})
	if o == admission.OutcomeOK {
		j.say(answer{word: "served", poorer: j.poorer})
	} else {
		j.say(answer{word: "failed"})
	}
}

// called takes in the end of a call.
func (v *server) called(j *job, o admission.Outcome) {
	if !v.up || v.jobs[j.id] != j {
		return
	}
	j.call = nil
	if v.probes != nil {
		v.probes.CallEnded(o == admission.OutcomeOK)
	}
	if o == admission.OutcomeOK {
		v.advance()
		v.work(j)
		v.arm()
	}
	v.happened(admission.Event{Kind: admission.EventCallDone, ID: j.id, Outcome: o, Took: v.sim.now - j.asked})
}

// view is what this server knows of the others; it is marked in it as itself while do looks at it.
func (v *server) view(do func(view *fleet.Snapshot)) {
	view := v.sim.view
	m := &view.Members[v.number]
	was := *m
	m.Self = true
	if m.Record.Run != v.id() || m.Liveness != fleet.Alive {
		m.Record, m.Liveness, m.RecordedAt = v.record(), fleet.Alive, v.sim.now
	}
	do(view)
	*m = was
}

func (v *server) record() *fleet.Record {
	r := &fleet.Record{Name: v.name, Run: v.id(), Zone: strconv.Itoa(v.zone), State: fleet.Serving}
	v.load(&r.Load)
	return r
}

func (v *server) load(l *fleet.Load) {
	l.Capacity, l.Busy, l.InFlight, l.CallQuota = float64(v.sim.opt.Cores), v.cores.Utilization(), len(v.jobs), v.sim.set.MaxCallsInFlight
	if v.cutoff != nil {
		offers := v.cutoff.Demand()
		l.ServiceRate, l.Demand, l.Attempts, l.RetryRatio, l.Threshold = v.ctl.ServiceRate(), string(offers.Append(nil)), v.repeats.AttemptRate(), v.repeats.RetryRatio(), v.cutoff.Threshold().Priority
		l.Aggregate = v.collector.Published()
	}
	if v.probes != nil {
		v.probes.AddToLoad(l)
	}
}

// tell tells the others, as often as the size of the fleet allows: at once what has changed.
func (v *server) tell() {
	rec := v.record()
	period := fleet.Period(len(v.sim.servers))
	if rec.Load.Aggregate != "" {
		period = time.Second
	}
	if n := len(v.words); n > 0 && v.sim.now-v.toldAt < period-time.Millisecond {
		if last := &v.words[n-1].rec; last.Run == rec.Run && !rec.Urgent(last) {
			return
		}
	}
	v.seq++
	rec.Seq, v.toldAt = v.seq, v.sim.now
	v.words = append(v.words, word{v.sim.now, *rec})
}

func (v *server) keepCutoff() {
	s := v.sim
	v.advance()
	own := overload.LocalLoad{ServiceRate: v.ctl.ServiceRate(), Cores: float64(s.opt.Cores), Busy: v.cores.Utilization(), Attempts: v.repeats.AttemptRate(), Retries: v.repeats.RetryRatio()}
	v.view(func(view *fleet.Snapshot) {
		v.cutoff.Tick(s.now, own, view, s.now)
		for _, rep := range v.repeats.Tick(s.now, view) {
			to := s.servers[int(rep.To.Run&0xffffffff)-1]
			s.at(s.now+way, func() {
				if to.up && to.id() == rep.To.Run {
					to.repeats.HandleReport(s.now, rep.Attempts)
				}
			})
		}
		if !s.opt.Aggregates {
			return
		}
		var l fleet.Load
		v.load(&l)
		part := overload.PartialAggregate{From: overload.ProcessID{Name: v.name, Run: v.id()}, Aggregate: overload.AggregateOf(&l)}
		for _, p := range v.collector.Tick(s.now, part.Aggregate, view) {
			to := s.servers[int(p.Run&0xffffffff)-1]
			s.at(s.now+way, func() {
				if to.up && to.id() == p.Run {
					to.collector.Receive(s.now, part)
				}
			})
		}
	})
	v.arm()
}

var protects = [...]float64{overload.ProbeUnlimited: admission.BreakerProtectedCalls, overload.ProbeCautious: 0, overload.ProbeSingle: 1, overload.ProbeNone: -1}

func (v *server) keepProbing() {
	was := v.probes.State()
	leak := overload.ProbeUnlimited
	v.view(func(view *fleet.Snapshot) { leak = v.probes.Tick(v.sim.now, 7, view, v.sim.now) })
	if leak != v.leak {
		v.leak = leak
		v.ctl.SetProtectedCalls(protects[leak])
		set := v.sim.set
		if leak == overload.ProbeSingle {
			set.MaxCallsInFlight = min(set.MaxCallsInFlight, 1)
		}
		if err := v.ctl.Reconfigure(set); err != nil {
			panic(err) // as above
		}
	}
	if v.probes.State() != was {
		v.tell()
	}
}

// request is what a caller wants.
type request struct {
	class *clients.Class
	kind  int
	work  time.Duration
	rank  float64
	at    time.Duration
	front int
	tries int
}

// frontEnd sends requests to servers in turn, and tries again for as long as somebody waits.
type frontEnd struct {
	sim    *Simulation
	number int
	heed   bool
	rand   *rand.Rand
	order  []int // of its list
	turn   int
	away   map[int]time.Duration // servers that asked to be left alone, until then
}

func (f *frontEnd) next(from time.Duration) {
	s := f.sim
	if at := from + time.Duration(f.rand.ExpFloat64()*float64(s.opt.FrontEnds)/s.rate()*float64(time.Second)); at < s.opt.Duration {
		s.at(at, func() {
			f.next(at)
			x, k := f.rand.Float64(), 0
			for k < len(s.opt.Classes)-1 && x >= s.opt.Classes[k].ArrivalRatio {
				x -= s.opt.Classes[k].ArrivalRatio
				k++
			}
			c := &s.opt.Classes[k]
			r := &request{class: c, kind: k, work: time.Duration(float64(c.MeanWork) * (0.5 + f.rand.ExpFloat64()/2)), rank: f.rand.Float64(), at: s.now, front: f.number}
			f.try(r)
		})
	}
}

// listed: front ends' lists know of a server's health and end a while later.
func (f *frontEnd) listed(v *server) bool {
	if f.sim.now-v.changed < listLag {
		return !v.up // as it was before
	}
	return v.up && v.good
}

func (f *frontEnd) try(r *request) {
	s := f.sim
	due := r.at + r.class.Timeout
	var to *server
	for range s.servers {
		v := s.servers[f.order[f.turn%len(s.servers)]]
		f.turn++
		if f.listed(v) && (!f.heed || f.away[v.number] <= s.now) {
			to = v
			break
		}
	}
	again := func(after time.Duration) {
		s.at(s.now+after, func() {
			if s.now < due {
				f.try(r)
			} else {
				f.end(r, "refused", 0)
			}
		})
	}
	if to == nil {
		again(pauseFull)
		return
	}
	r.tries++
	s.at(s.now+way, func() {
		if !to.up {
			again(pauseFull)
			return
		}
		done := false
		s.at(due+100*time.Millisecond, func() {
			if !done {
				done = true
				f.end(r, "gave up", 0)
			}
		})
		to.arrive(r, r.kind, due, func(a answer) {
			s.at(s.now+way, func() {
				if done {
					return
				}
				done = true
				switch {
				case a.word == "served" && s.now-r.at <= r.class.LatencyObjective:
					got := r.class.Value
					if a.poorer {
						got *= r.class.DegradedValueRatio
					}
					f.end(r, "served", got)
				case a.word == "served":
					f.end(r, "late", 0)
				case a.last && f.heed || r.class.IdempotentByKey && a.word != "refused" || s.now >= due:
					f.end(r, a.word, 0)
				default:
					if a.after > 0 && f.heed {
						f.away[to.number] = s.now + a.after
					}
					again(0)
				}
			})
		})
	})
}

func (f *frontEnd) end(r *request, word string, got float64) {
	f.sim.log(history.Event{Kind: history.RequestCompleted, Class: r.class.Name, Detail: word, Count: r.tries, Latency: f.sim.now - r.at, Value: r.class.Value, ValueServed: got,
		Work: r.work, Client: f.number})
}
