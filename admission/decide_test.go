package admission

import (
	"bufio"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

func settings() Settings {
	return Settings{Cores: 4, FleetSize: 10, Clients: 3, MemoryKB: 4000, RunningMemoryFactor: 4, KeyMemoryKB: 10,
		Classes: []Class{
			{LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, PriorityWeight: 1, CallsDependency: true},
			{LatencyObjective: time.Second, Deadline: 4 * time.Second, PriorityWeight: 3, Idempotency: IdempotentByKey, IdempotencyWindow: 8 * time.Second, CallsDependency: true},
			{LatencyObjective: time.Second, Deadline: 3 * time.Second, PriorityWeight: 2, Idempotency: Unsafe, LateValueRatio: 0.2, CallsDependency: true},
			{LatencyObjective: time.Second, Deadline: 3 * time.Second, PriorityWeight: 2, DegradedValueRatio: 0.5, CallsDependency: true},
		},
		Tenants: []Tenant{{ServiceRatio: 0.6, QuotaPerSecond: 300}, {ServiceRatio: 0.4, QuotaPerSecond: 200}},
		Halt:    HaltDrop, Dependency: DependencyShared, MaxCallsInFlight: 6, CallsWindow: 5 * time.Second, AbandonedCallTime: 200 * ms,
		SlowStartSpeedRatio: 0.2, SlowStartTime: 10 * time.Second, MaxConcurrencyPerCore: 5, ConcurrencyWindow: 1500 * ms, AnswerGrace: 60 * ms,
		DrainGrace: time.Second, MaxRetryAfter: time.Second, SendsRetryAfter: true, SendsCancellations: true,
		IdleTimeout: 30 * time.Second, Tick: 5 * ms,
		Weights: Weights{WholeRun: 0.4, WorstWindow: 0.3, WorstClass: 0.2, WorstTenant: 0.1}, OverQuotaValueRatio: 0.05}
}

func start(t testing.TB, s Settings) *Controller {
	t.Helper()
	c, err := New(s, 7, 0)
	if err != nil {
		t.Fatal(err)
	}
	c.Step(0, nil, nil)
	return c
}

func req(id RequestID, class int) Event {
	return Event{Kind: EventRequest, ID: id, Class: class, MemoryKB: 10, CostHint: 100 * ms}
}

func find(as []Action, kind ActionKind, id RequestID) *Action {
	for i := range as {
		if as[i].Kind == kind && as[i].ID == id {
			return &as[i]
		}
	}
	return nil
}

func want(t *testing.T, as []Action, kind ActionKind, id RequestID) *Action {
	t.Helper()
	a := find(as, kind, id)
	if a == nil {
		t.Fatalf("no action of kind %d for %d in %+v", kind, id, as)
	}
	return a
}

func wantNone(t *testing.T, as []Action, kind ActionKind, id RequestID) {
	t.Helper()
	if a := find(as, kind, id); a != nil {
		t.Fatalf("unwanted action %+v", *a)
	}
}

func TestDropRatioByHand(t *testing.T) {
	for _, x := range []struct{ total, accepts, want float64 }{
		{0, 0, 0}, {5, 0, 0}, {6, 0, 1.0 / 7}, {100, 100, 0}, {100, 60, 5.0 / 101}, {100, 0, 95.0 / 101}, {35, 10, 15.0 / 36},
	} {
		if got := dropRatio(x.total, x.accepts, BreakerProtectedCalls); math.Abs(got-x.want) > 1e-12 {
			t.Errorf("dropRatio(%v, %v) = %v, want %v", x.total, x.accepts, got, x.want)
		}
	}
}

func TestBreakerRecoversAndIdleWindowForgets(t *testing.T) {
	c := start(t, settings())
	for range 100 {
		c.feed(OutcomeFailed)
	}
	if d := c.dropChance(); math.Abs(d-95.0/101) > 1e-9 {
		t.Fatalf("drop chance %v after 100 failures", d)
	}
	for range 200 {
		c.feed(OutcomeOK)
	}
	if d := c.dropChance(); d != 0 {
		t.Fatalf("drop chance %v after recovery", d)
	}
	for range 500 {
		c.feed(OutcomeFailed)
	}
	c.pass(breakerWindow + time.Second)
	if d := c.dropChance(); d != 0 {
		t.Fatalf("drop chance %v after an idle window", d)
	}
}

// atCall brings request id of class to its call at time now.
func atCall(t *testing.T, c *Controller, now time.Duration, id RequestID, class int) []Action {
	t.Helper()
	want(t, c.Step(now, []Event{req(id, class)}, nil), ActionRun, id)
	return c.Step(now+ms, []Event{{Kind: EventCallNeeded, ID: id}}, nil)
}

func TestDroppedCallIsSkippedOrFails(t *testing.T) {
	for class, kind := range map[int]ActionKind{1: ActionFail, 3: ActionSkipCall} {
		s := settings()
		c := start(t, s)
		want(t, c.Step(0, []Event{req(1, class)}, nil), ActionRun, 1)
		for range 100000 {
			c.feed(OutcomeFailed)
		}
		as := c.Step(ms, []Event{{Kind: EventCallNeeded, ID: 1}}, nil)
		want(t, as, kind, 1)
		wantNone(t, as, ActionReject, 1)
	}
}

func TestCallRepeatedOnlyWhenItNeverRan(t *testing.T) {
	for _, x := range []struct {
		class   int
		outcome Outcome
		again   bool
	}{{0, OutcomeFailed, true}, {1, OutcomeFailed, false}, {1, OutcomeAborted, false}, {1, OutcomeTimedOut, false}, {1, OutcomeUnreachable, true},
		{2, OutcomeRejected, true}, {2, OutcomeFailed, false}} {
		c := start(t, settings())
		want(t, atCall(t, c, 0, 1, x.class), ActionCall, 1)
		as := c.Step(10*ms, []Event{{Kind: EventCallDone, ID: 1, Outcome: x.outcome, Took: 9 * ms}}, nil)
		as = c.Step(300*ms, nil, as)
		if got := find(as, ActionCall, 1) != nil; got != x.again {
			t.Errorf("class %d, outcome %d: repeated %v, want %v", x.class, x.outcome, got, x.again)
		}
		if !x.again {
			want(t, as, ActionFail, 1)
		}
	}
}

func TestCallsInHandStayBelowTheShare(t *testing.T) {
	s := settings()
	s.MaxCallsInFlight = 3
	c := start(t, s)
	out := 0
	for id := RequestID(1); id <= 6; id++ {
		c.Step(0, []Event{req(id, 0)}, nil)
		as := c.Step(0, []Event{{Kind: EventCallNeeded, ID: id}}, nil)
		for _, a := range as {
			if a.Kind == ActionCall {
				out++
			}
		}
	}
	if out == 0 || float64(out) > callsSafe*s.MaxCallsInFlight {
		t.Fatalf("%d calls in hand of a share of %v", out, s.MaxCallsInFlight)
	}
}

func TestShareFallsOnlyWhenPressedAndLate(t *testing.T) {
	c := start(t, settings())
	step := func(use, lat float64) float64 {
		c.gauges.CPUUtilization = use
		c.classes[0].latency = mean{lat, true}
		c.adjustShare()
		return c.share
	}
	if step(0.99, 0.5) != 1 || step(0.5, 9) != 1 {
		t.Fatal("the share fell though only one condition held")
	}
	if s := step(0.99, 9); s >= 1 {
		t.Fatal("the share did not fall")
	}
	if low := c.share; step(0.5, 9) <= low {
		t.Fatal("the share did not rise when the pressure eased")
	}
}

func TestAnswersByDueTimeWithoutAnyOutcome(t *testing.T) {
	c := start(t, settings())
	var as []Action
	for id := RequestID(1); id <= 40; id++ {
		as = c.Step(0, []Event{req(id, int(id)%4)}, as)
	}
	for now := time.Duration(0); now <= 6*time.Second; now += 5 * ms {
		as = c.Step(now, nil, as)
	}
	for id := RequestID(1); id <= 40; id++ {
		if find(as, ActionReject, id) == nil && find(as, ActionFail, id) == nil {
			t.Errorf("request %d has no answer though the work hangs", id)
		}
	}
}

func TestDrainRunsNothingLateAndAnswersAll(t *testing.T) {
	c := start(t, settings())
	as := c.Step(0, []Event{req(1, 0), {Kind: EventDrain, StopAt: 3 * time.Second}}, nil)
	want(t, as, ActionRun, 1)
	as = c.Step(1200*ms, []Event{req(2, 0)}, nil)
	want(t, as, ActionReject, 2)
	wantNone(t, as, ActionRun, 2)
	as = nil
	for now := 1200 * ms; now < 3*time.Second; now += 5 * ms {
		as = c.Step(now, nil, as)
	}
	want(t, as, ActionFail, 1)
}

func TestKeyedRunsOnce(t *testing.T) {
	c := start(t, settings())
	as := c.Step(0, []Event{req(1, 1)}, nil)
	want(t, as, ActionRemember, 1)
	want(t, as, ActionRun, 1)
	again := req(2, 1)
	again.RetryOf = 1
	as = c.Step(ms, []Event{again}, nil)
	want(t, as, ActionReuse, 2)
	wantNone(t, as, ActionRun, 2)
	c.Step(200*ms, []Event{{Kind: EventDone, ID: 1, Took: 200 * ms}, {Kind: EventDone, ID: 2, Took: 200 * ms}}, nil)
	again.ID = 3
	want(t, c.Step(time.Second, []Event{again}, nil), ActionReuse, 3)
}

func TestFollowerTakesOverWhenTheFirstTryGoes(t *testing.T) {
	s := settings()
	s.Cores = 1
	c := start(t, s)
	want(t, c.Step(0, []Event{req(9, 0)}, nil), ActionRun, 9)
	c.Step(0, []Event{req(1, 1)}, nil)
	if c.jobs[1] == nil || c.jobs[1].state != held {
		t.Skip("request 1 is not held under these settings")
	}
	again := req(2, 1)
	again.RetryOf = 1
	wantNone(t, c.Step(ms, []Event{again}, nil), ActionReuse, 2)
	as := c.Step(2*ms, []Event{{Kind: EventCancelled, ID: 1}}, nil)
	as = c.Step(100*ms, []Event{{Kind: EventDone, ID: 9, Took: 100 * ms}}, as)
	want(t, as, ActionRemember, 2)
	want(t, as, ActionRun, 2)
}

func TestNoRoomForAKeyMeansNoRun(t *testing.T) {
	s := settings()
	s.KeyMemoryKB = s.MemoryKB
	c := start(t, s)
	as := c.Step(0, []Event{req(1, 1)}, nil)
	want(t, as, ActionReject, 1)
	wantNone(t, as, ActionRun, 1)
}

func TestMemoryAndCrowdAreNeverPassed(t *testing.T) {
	s := settings()
	s.WarmingUp, s.MemoryKB = true, 300
	c := start(t, s)
	for id := RequestID(1); id <= 300; id++ {
		c.Step(0, []Event{req(id, 0)}, nil)
		if c.memory > s.MemoryKB {
			t.Fatalf("%v kB in use of %v", c.memory, s.MemoryKB)
		}
	}
	if limit := float64(s.Cores) * (1 + (s.MaxConcurrencyPerCore-1)*s.SlowStartSpeedRatio); float64(c.runs) > limit {
		t.Fatalf("%d runs, a cold server survives %v", c.runs, limit)
	}
}

func TestStrangeEventsChangeNothing(t *testing.T) {
	c := start(t, settings())
	for _, k := range []EventKind{EventDone, EventCancelled, EventCallNeeded, EventCallDone} {
		c.Step(0, []Event{{Kind: k, ID: 99}}, nil)
	}
	want(t, atCall(t, c, 0, 1, 0), ActionCall, 1)
	ev := Event{Kind: EventCallDone, ID: 1, Took: ms}
	c.Step(2*ms, []Event{ev, ev, {Kind: EventCallNeeded, ID: 5}}, nil)
	c.Step(3*ms, []Event{{Kind: EventDone, ID: 1}, {Kind: EventDone, ID: 1}, req(2, 77)}, nil)
	if len(c.jobs) != 0 || c.runs != 0 || c.onCores != 0 || c.memory != 0 || c.inHand != 0 {
		t.Fatalf("left over: %d jobs, %d runs, %d on cores, %v kB", len(c.jobs), c.runs, c.onCores, c.memory)
	}
}

func TestSettingsThatCannotBeServed(t *testing.T) {
	for field, change := range map[string]func(*Settings){
		"Cores": func(s *Settings) { s.Cores = 0 }, "Classes": func(s *Settings) { s.Classes = nil },
		"MemoryKB": func(s *Settings) { s.MemoryKB = 0 }, "ColdFor": func(s *Settings) { s.SlowStartTime = -1 },
		"Classes[1]": func(s *Settings) { s.Classes[1].LatencyObjective = 0 }, "Tick": func(s *Settings) { s.Tick = -1 },
	} {
		s := settings()
		change(&s)
		if _, err := New(s, 1, 0); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: error %v", field, err)
		}
	}
}

func TestSizeAndWidthOfTheModule(t *testing.T) {
	f, err := os.Open("decide.go")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	lines := 0
	for sc := bufio.NewScanner(f); sc.Scan(); {
		text := strings.ReplaceAll(sc.Text(), "\t", "    ")
		if strings.TrimSpace(text) != "" {
			lines++
		}
		if len([]rune(text)) > 110 {
			t.Errorf("over 110 columns: %s", sc.Text())
		}
	}
	if lines > 920 {
		t.Errorf("%d lines that are not blank, 920 at most", lines)
	}
}

// TestNamesDecideNothing holds because nothing that bears a name reaches the module: its settings and
// events have no text at all. (The codec's tests rename what the wire carries.)
func TestNamesDecideNothing(t *testing.T) {
	for _, v := range []any{Settings{}, Event{}, Class{}, Tenant{}} {
		ty := reflect.TypeOf(v)
		for i := range ty.NumField() {
			if ty.Field(i).Type.Kind() == reflect.String {
				t.Errorf("%s.%s carries text", ty.Name(), ty.Field(i).Name)
			}
		}
	}
}

// ---- Random sequences -------------------------------------------------------------------------

type tryState struct {
	class            int
	arrived, due     time.Duration
	ran, running     bool
	answered, gone   bool
	atCall, calling  bool
	joined, over     bool
	origin, callsRan int
	kb               float64
}

// world answers a controller's actions in odd but legal ways and checks the four rules.
type world struct {
	t       *testing.T
	s       Settings
	c       *Controller
	rng     *rand.Rand
	now     time.Duration
	tries   map[RequestID]*tryState
	live    []RequestID
	keys    map[RequestID]time.Duration
	effects map[int]int // runs of each keyed or unsafe request
	noticed time.Duration
	log     []Action
	next    RequestID
	lastKey map[int]RequestID
}

func (w *world) order() Event {
	w.next++
	class := w.rng.IntN(len(w.s.Classes))
	e := Event{Kind: EventRequest, ID: w.next, Class: class, Tenant: w.rng.IntN(2), MemoryKB: 5 + 20*w.rng.Float64(),
		CostHint: time.Duration(w.rng.IntN(300)) * ms, Retry: w.rng.IntN(4) == 0, Waited: time.Duration(w.rng.IntN(50)) * ms}
	origin := int(w.next)
	if w.s.Classes[class].Idempotency == IdempotentByKey && w.rng.IntN(2) == 0 {
		if lead, ok := w.lastKey[class]; ok && w.keys[lead] > w.now {
			e.RetryOf, origin = lead, w.tries[lead].origin
		}
	}
	if w.s.Classes[class].Idempotency == IdempotentByKey && e.RetryOf == 0 {
		w.lastKey[class] = e.ID
	}
	due := w.now - e.Waited + w.s.Classes[class].Deadline
	if w.s.SendsDeadlines {
		due = w.now + time.Duration(w.rng.IntN(3000))*ms
		e.Deadline = due
	}
	w.tries[e.ID] = &tryState{class: class, arrived: w.now - e.Waited, due: max(due, w.now), origin: origin, kb: e.MemoryKB}
	w.live = append(w.live, e.ID)
	return e
}

func (w *world) events() []Event {
	var es []Event
	live := w.live[:0]
	for _, id := range w.live {
		x := w.tries[id]
		if x.over {
			continue
		}
		live = append(live, id)
		switch roll := w.rng.IntN(40); {
		case x.joined && roll < 4:
			es = append(es, Event{Kind: EventDone, ID: id, Outcome: Outcome(w.rng.IntN(2)), Took: 5 * ms})
			x.over, x.answered = true, true
		case x.calling && roll < 6:
			o := []Outcome{OutcomeOK, OutcomeOK, OutcomeOK, OutcomeFailed, OutcomeRejected, OutcomeTimedOut, OutcomeUnreachable, OutcomeAborted}[w.rng.IntN(8)]
			es = append(es, Event{Kind: EventCallDone, ID: id, Outcome: o, Took: 20 * ms})
			x.calling, x.atCall = false, o != OutcomeOK
			if !o.NeverRan() {
				x.callsRan++
			}
			x.running = o == OutcomeOK
		case x.running && roll < 2 && !x.answered:
			es = append(es, Event{Kind: EventCallNeeded, ID: id})
			x.running, x.atCall, x.callsRan = false, true, 0
		case x.running && roll < 6:
			es = append(es, Event{Kind: EventDone, ID: id, Outcome: Outcome(w.rng.IntN(2)), Took: 100 * ms})
			x.running, x.over, x.answered = false, true, true
		case roll == 39 && !x.answered:
			es = append(es, Event{Kind: EventCancelled, ID: id})
			x.gone, x.answered = true, true
			if !x.running && !x.atCall && !x.calling {
				x.over = true
			} else if !x.running {
				es = append(es, Event{Kind: EventDone, ID: id, Outcome: OutcomeCancelled})
				x.over = true
			}
		case (x.atCall || x.calling) && x.answered:
			es = append(es, Event{Kind: EventDone, ID: id, Outcome: OutcomeCancelled})
			x.over = true
		}
		if w.rng.IntN(50) == 0 && len(es) > 0 {
			es = append(es, es[len(es)-1]) // the same outcome twice
		}
	}
	w.live = live
	for range w.rng.IntN(4) {
		es = append(es, w.order())
	}
	return es
}

func (w *world) act(as []Action) {
	t := w.t
	for _, a := range as {
		x := w.tries[a.ID]
		k := Class{}
		if x != nil {
			k = w.s.Classes[x.class]
		}
		switch a.Kind {
		case ActionRun:
			if x.answered || x.ran {
				t.Fatalf("%d run again or after its answer", a.ID)
			}
			if w.noticed > 0 && x.arrived > w.noticed+w.s.DrainGrace {
				t.Fatalf("%d run though it came too late in a drain", a.ID)
			}
			if w.effects[x.origin]++; k.Idempotency == IdempotentByKey && (w.effects[x.origin] > 1 || w.keys[a.ID] <= w.now && w.keys[a.ID] == 0) {
				t.Fatalf("keyed %d: run %d, entry until %v at %v", a.ID, w.effects[x.origin], w.keys[a.ID], w.now)
			}
			x.ran, x.running = true, true
		case ActionReject, ActionFail:
			if x.gone { // told later in the batch that this answers
				continue
			}
			if x.answered {
				t.Fatalf("%d answered twice", a.ID)
			}
			if a.Kind == ActionReject && k.Idempotency != Safe && w.effects[x.origin] > 0 {
				t.Fatalf("%d turned away after a run", a.ID)
			}
			if w.now > x.due+w.s.AnswerGrace {
				t.Fatalf("%d answered %v late", a.ID, w.now-x.due)
			}
			x.answered = true
			if !x.running && !x.atCall && !x.calling {
				x.over = true
			}
		case ActionCall:
			if !x.atCall || k.Idempotency != Safe && x.callsRan > 0 {
				t.Fatalf("call of %d out of place or repeated", a.ID)
			}
			x.atCall, x.calling = false, true
		case ActionSkipCall:
			if k.DegradedValueRatio == 0 || !x.atCall {
				t.Fatalf("skip of %d out of place", a.ID)
			}
			x.atCall, x.running = false, true
		case ActionRemember:
			w.keys[a.ID] = w.now + a.Duration
			if k.Idempotency == IdempotentByKey && w.keys[a.ID] < x.arrived+k.IdempotencyWindow {
				t.Fatalf("entry of %d too short", a.ID)
			}
		case ActionForget:
			if x.ran && k.Idempotency == IdempotentByKey {
				t.Fatalf("entry of %d forgotten after its run", a.ID)
			}
			delete(w.keys, a.ID)
		case ActionReuse:
			if x.answered || x.ran {
				t.Fatalf("reuse for %d out of place", a.ID)
			}
			x.joined = true
		case ActionStop:
			if w.s.Halt == HaltOff {
				t.Fatal("stop where nothing can be stopped")
			}
		case ActionAdvertise:
			if w.s.Advert == AdvertOff {
				t.Fatal("free value where there is none")
			}
		}
	}
}

func (w *world) check() {
	memory, out := 0.0, 0
	for _, x := range w.tries {
		if x.over {
			continue
		}
		if !x.answered && w.now > x.due+w.s.AnswerGrace {
			w.t.Fatalf("a request is lost: due %v, now %v", x.due, w.now)
		}
		if memory += x.kb; x.running || x.atCall || x.calling {
			memory += x.kb * (w.s.RunningMemoryFactor - 1)
		}
		if x.calling && !x.answered {
			out++
		}
	}
	for _, until := range w.keys {
		if until > w.now {
			memory += w.s.KeyMemoryKB
		}
	}
	if memory > w.s.MemoryKB {
		w.t.Fatalf("%v kB of %v in use", memory, w.s.MemoryKB)
	}
	if w.s.MaxCallsInFlight >= 1 && float64(out) > w.s.MaxCallsInFlight {
		w.t.Fatalf("%d calls in hand of a share of %v", out, w.s.MaxCallsInFlight)
	}
}

func play(t *testing.T, s Settings, seed uint64) []Action {
	c, err := New(s, seed, 0)
	if err != nil {
		t.Fatal(err)
	}
	w := &world{t: t, s: s, c: c, rng: rand.New(rand.NewPCG(seed, 1)), tries: map[RequestID]*tryState{},
		keys: map[RequestID]time.Duration{}, effects: map[int]int{}, lastKey: map[int]RequestID{}}
	stop := time.Duration(0)
	for i := 0; i < 1500 && (stop == 0 || w.now < stop); i++ {
		w.now += time.Duration(1+w.rng.IntN(15)) * ms // late timers, uneven batches
		es := w.events()
		if i == 1200 {
			w.noticed, stop = w.now, w.now+2500*ms
			es = append(es, Event{Kind: EventDrain, StopAt: stop})
		}
		if i%12 == 0 {
			es = append(es, Event{Kind: EventTimer, Gauges: Gauges{CPUUtilization: w.rng.Float64(), CPUDemand: 12 * w.rng.Float64()}})
		}
		as := c.Step(w.now, es, nil)
		w.act(as)
		w.log = append(w.log, as...)
		w.check()
	}
	for _, x := range w.tries {
		if stop > 0 && w.now >= stop && !x.answered {
			t.Fatal("a request read is unanswered at the end of a drain")
		}
	}
	return w.log
}

func variants() []Settings {
	var list []Settings
	for i := range 12 {
		s := settings()
		s.Halt, s.Advert, s.Dependency = Halt(i%3), Advert(i%4), Dependency(i%3)
		s.WarmingUp, s.SendsDeadlines = i%2 == 0, i%5 < 2
		if s.Dependency != DependencyShared {
			s.MaxCallsInFlight = 0
		}
		if i%4 == 1 {
			s.CacheTTL = time.Second
		}
		if i%6 == 2 {
			s.Tenants, s.MemoryKB = nil, 600
		}
		if i == 7 {
			s.MaxCallsInFlight = 0.4
		}
		list = append(list, s)
	}
	for i, share := range []float64{0.05, 0.4, 0.9} { // small servers of large fleets
		s := settings()
		s.Cores, s.MaxCallsInFlight, s.Clients, s.FleetSize = 1+i%2, share, 1000, 300
		s.MarksRetries, s.Advert, s.MemoryKB = i == 1, Advert(i+1), 1500
		list = append(list, s)
	}
	return list
}

func TestRulesOverRandomSequences(t *testing.T) {
	for i, s := range variants() {
		for seed := range uint64(4) {
			t.Run(fmt.Sprint(i, "-", seed), func(t *testing.T) { play(t, s, seed) })
		}
	}
}

func TestEqualEventsGiveEqualActions(t *testing.T) {
	for i, s := range variants() {
		if !reflect.DeepEqual(play(t, s, 5), play(t, s, 5)) {
			t.Fatalf("variant %d acts differently on the same events", i)
		}
	}
}

// Operators' word on health stands until they take it back, whatever the load; requests are run meanwhile.
func TestWithdraw(t *testing.T) {
	c := start(t, settings())
	if want(t, c.Step(time.Second, []Event{{Kind: EventDeregister}}, nil), ActionHealth, 0).Healthy {
		t.Error("health is not bad after Withdraw")
	}
	for now := 1100 * ms; now < 5*time.Second; now += 100 * ms {
		if find(c.Step(now, []Event{{Kind: EventTimer}}, nil), ActionHealth, 0) != nil {
			t.Error("health changed by itself")
		}
	}
	want(t, c.Step(5*time.Second, []Event{req(1, 0)}, nil), ActionRun, 1)
	if !want(t, c.Step(6*time.Second, []Event{{Kind: EventReregister}}, nil), ActionHealth, 0).Healthy {
		t.Error("health is not good after Restore")
	}
	c.Step(7*time.Second, []Event{{Kind: EventDrain, StopAt: 9 * time.Second}}, nil)
	if find(c.Step(7*time.Second, []Event{{Kind: EventReregister}}, nil), ActionHealth, 0) != nil {
		t.Error("a server that leaves came back")
	}
}

// A process that another one replaces ends what it has, but the server stays: nobody is to be sent elsewhere.
func TestReplaced(t *testing.T) {
	c := start(t, settings())
	as := c.Step(0, []Event{req(1, 0), {Kind: EventDrain, StopAt: 3 * time.Second, Replaced: true}}, nil)
	want(t, as, ActionRun, 1)
	if find(as, ActionHealth, 0) != nil {
		t.Error("health changed though the server stays")
	}
	as = nil
	for now := time.Duration(0); now < 3*time.Second; now += 5 * ms {
		as = c.Step(now, nil, as)
	}
	want(t, as, ActionFail, 1)
}

// New settings must not touch what runs, and the sums that they enter must fit again.
func TestRetune(t *testing.T) {
	c := start(t, settings())
	want(t, c.Step(0, []Event{req(1, 1)}, nil), ActionRun, 1)
	s := settings()
	s.Classes[1].Removed = true
	s.Classes = append(s.Classes, Class{LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1})
	s.RunningMemoryFactor, s.KeyMemoryKB, s.CallsWindow = 8, 20, time.Second
	if err := c.Reconfigure(s); err != nil {
		t.Fatal(err)
	}
	if c.memory != 8*10+20 {
		t.Errorf("memory %v after new settings", c.memory)
	}
	want(t, c.Step(100*ms, []Event{req(2, 4)}, nil), ActionRun, 2)
	c.Step(200*ms, []Event{{Kind: EventDone, ID: 1, Took: 200 * ms}, {Kind: EventDone, ID: 2, Took: 100 * ms}}, nil)
	if c.runs != 0 || c.memory != 20 {
		t.Errorf("%d runs and memory %v after all ended", c.runs, c.memory)
	}
	if c.Reconfigure(settings()) == nil {
		t.Error("a class of requests that may be in hand was left out")
	}
	s.Cores = 0
	if c.Reconfigure(s) == nil || c.s.Cores == 0 {
		t.Error("settings that make no sense were taken over")
	}
}
