package admission

import (
	"math"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

func testSettings() Settings {
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
	controller := start(t, testSettings())
	for range 100 {
		controller.recordOutcome(OutcomeFailed)
	}
	if d := controller.dropProbability(); math.Abs(d-95.0/101) > 1e-9 {
		t.Fatalf("drop chance %v after 100 failures", d)
	}
	for range 200 {
		controller.recordOutcome(OutcomeOK)
	}
	if d := controller.dropProbability(); d != 0 {
		t.Fatalf("drop chance %v after recovery", d)
	}
	for range 500 {
		controller.recordOutcome(OutcomeFailed)
	}
	controller.advanceTime(breakerWindow + time.Second)
	if d := controller.dropProbability(); d != 0 {
		t.Fatalf("drop chance %v after an idle window", d)
	}
}

// startToCall brings request id of class to its call within the first millisecond.
func startToCall(t *testing.T, c *Controller, id RequestID, class int) []Action {
	t.Helper()
	want(t, c.Step(0, []Event{req(id, class)}, nil), ActionRun, id)
	return c.Step(ms, []Event{{Kind: EventCallNeeded, ID: id}}, nil)
}

func TestDroppedCallIsSkippedOrFails(t *testing.T) {
	for class, kind := range map[int]ActionKind{1: ActionFail, 3: ActionSkipCall} {
		s := testSettings()
		c := start(t, s)
		want(t, c.Step(0, []Event{req(1, class)}, nil), ActionRun, 1)
		for range 100000 {
			c.recordOutcome(OutcomeFailed)
		}
		as := c.Step(ms, []Event{{Kind: EventCallNeeded, ID: 1}}, nil)
		want(t, as, kind, 1)
		wantNone(t, as, ActionReject, 1)
	}
}

func TestCallRepeatedOnlyWhenItNeverRan(t *testing.T) {
	for _, test := range []struct {
		class   int
		outcome Outcome
		again   bool
	}{{0, OutcomeFailed, true}, {1, OutcomeFailed, false}, {1, OutcomeAborted, false}, {1, OutcomeTimedOut, false}, {1, OutcomeUnreachable, true},
		{2, OutcomeRejected, true}, {2, OutcomeFailed, false}} {
		c := start(t, testSettings())
		want(t, startToCall(t, c, 1, test.class), ActionCall, 1)
		actions := c.Step(10*ms, []Event{{Kind: EventCallDone, ID: 1, Outcome: test.outcome, Took: 9 * ms}}, nil)
		actions = c.Step(300*ms, nil, actions)
		if got := find(actions, ActionCall, 1) != nil; got != test.again {
			t.Errorf("class %d, outcome %d: repeated %v, want %v", test.class, test.outcome, got, test.again)
		}
		if !test.again {
			want(t, actions, ActionFail, 1)
		}
	}
}

func TestCallsInHandStayBelowTheShare(t *testing.T) {
	settings := testSettings()
	settings.MaxCallsInFlight = 3
	c := start(t, settings)
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
	if out == 0 || float64(out) > safeCallRatio*settings.MaxCallsInFlight {
		t.Fatalf("%d calls in hand of a share of %v", out, settings.MaxCallsInFlight)
	}
}

func TestShareFallsOnlyWhenPressedAndLate(t *testing.T) {
	controller := start(t, testSettings())
	step := func(use, lat float64) float64 {
		controller.gauges.CPUUtilization = use
		controller.classes[0].meanLatency = movingAverage{lat, true}
		controller.adjustAdmitProbability()
		return controller.admitProbability
	}
	if step(0.99, 0.5) != 1 || step(0.5, 9) != 1 {
		t.Fatal("the share fell though only one condition held")
	}
	if s := step(0.99, 9); s >= 1 {
		t.Fatal("the share did not fall")
	}
	if low := controller.admitProbability; step(0.5, 9) <= low {
		t.Fatal("the share did not rise when the pressure eased")
	}
}

func TestAnswersByDueTimeWithoutAnyOutcome(t *testing.T) {
	controller := start(t, testSettings())
	var actions []Action
	for id := RequestID(1); id <= 40; id++ {
		actions = controller.Step(0, []Event{req(id, int(id)%4)}, actions)
	}
	for now := time.Duration(0); now <= 6*time.Second; now += 5 * ms {
		actions = controller.Step(now, nil, actions)
	}
	for id := RequestID(1); id <= 40; id++ {
		if find(actions, ActionReject, id) == nil && find(actions, ActionFail, id) == nil {
			t.Errorf("request %d has no answer though the work hangs", id)
		}
	}
}

func TestDrainRunsNothingLateAndAnswersAll(t *testing.T) {
	controller := start(t, testSettings())
	actions := controller.Step(0, []Event{req(1, 0), {Kind: EventDrain, StopAt: 3 * time.Second}}, nil)
	want(t, actions, ActionRun, 1)
	actions = controller.Step(1200*ms, []Event{req(2, 0)}, nil)
	want(t, actions, ActionReject, 2)
	wantNone(t, actions, ActionRun, 2)
	actions = nil
	for now := 1200 * ms; now < 3*time.Second; now += 5 * ms {
		actions = controller.Step(now, nil, actions)
	}
	want(t, actions, ActionFail, 1)
}

func TestKeyedRunsOnce(t *testing.T) {
	controller := start(t, testSettings())
	actions := controller.Step(0, []Event{req(1, 1)}, nil)
	want(t, actions, ActionRemember, 1)
	want(t, actions, ActionRun, 1)
	again := req(2, 1)
	again.RetryOf = 1
	actions = controller.Step(ms, []Event{again}, nil)
	want(t, actions, ActionReuse, 2)
	wantNone(t, actions, ActionRun, 2)
	controller.Step(200*ms, []Event{{Kind: EventDone, ID: 1, Took: 200 * ms}, {Kind: EventDone, ID: 2, Took: 200 * ms}}, nil)
	again.ID = 3
	want(t, controller.Step(time.Second, []Event{again}, nil), ActionReuse, 3)
}

func TestFollowerTakesOverWhenTheFirstTryGoes(t *testing.T) {
	s := testSettings()
	s.Cores = 1
	controller := start(t, s)
	want(t, controller.Step(0, []Event{req(9, 0)}, nil), ActionRun, 9)
	controller.Step(0, []Event{req(1, 1)}, nil)
	if controller.requests[1] == nil || controller.requests[1].state != queued {
		t.Skip("request 1 is not held under these settings")
	}
	again := req(2, 1)
	again.RetryOf = 1
	wantNone(t, controller.Step(ms, []Event{again}, nil), ActionReuse, 2)
	as := controller.Step(2*ms, []Event{{Kind: EventCancelled, ID: 1}}, nil)
	as = controller.Step(100*ms, []Event{{Kind: EventDone, ID: 9, Took: 100 * ms}}, as)
	want(t, as, ActionRemember, 2)
	want(t, as, ActionRun, 2)
}

func TestNoRoomForAKeyMeansNoRun(t *testing.T) {
	s := testSettings()
	s.KeyMemoryKB = s.MemoryKB
	c := start(t, s)
	as := c.Step(0, []Event{req(1, 1)}, nil)
	want(t, as, ActionReject, 1)
	wantNone(t, as, ActionRun, 1)
}

func TestMemoryAndCrowdAreNeverPassed(t *testing.T) {
	settings := testSettings()
	settings.WarmingUp, settings.MemoryKB = true, 300
	controller := start(t, settings)
	for id := RequestID(1); id <= 300; id++ {
		controller.Step(0, []Event{req(id, 0)}, nil)
		if controller.memoryKB > settings.MemoryKB {
			t.Fatalf("%v kB in use of %v", controller.memoryKB, settings.MemoryKB)
		}
	}
	if limit := float64(settings.Cores) * (1 + (settings.MaxConcurrencyPerCore-1)*settings.SlowStartSpeedRatio); float64(controller.running) > limit {
		t.Fatalf("%d runs, a cold server survives %v", controller.running, limit)
	}
}

func TestStrangeEventsChangeNothing(t *testing.T) {
	controller := start(t, testSettings())
	for _, k := range []EventKind{EventDone, EventCancelled, EventCallNeeded, EventCallDone} {
		controller.Step(0, []Event{{Kind: k, ID: 99}}, nil)
	}
	want(t, startToCall(t, controller, 1, 0), ActionCall, 1)
	ev := Event{Kind: EventCallDone, ID: 1, Took: ms}
	controller.Step(2*ms, []Event{ev, ev, {Kind: EventCallNeeded, ID: 5}}, nil)
	controller.Step(3*ms, []Event{{Kind: EventDone, ID: 1}, {Kind: EventDone, ID: 1}, req(2, 77)}, nil)
	if len(controller.requests) != 0 || controller.running != 0 || controller.onCPU != 0 || controller.memoryKB != 0 || controller.callsInFlight != 0 {
		t.Fatalf("left over: %d jobs, %d runs, %d on cores, %v kB", len(controller.requests), controller.running, controller.onCPU, controller.memoryKB)
	}
}

func TestSettingsThatCannotBeServed(t *testing.T) {
	for field, change := range map[string]func(*Settings){
		"Cores": func(s *Settings) { s.Cores = 0 }, "Classes": func(s *Settings) { s.Classes = nil },
		"MemoryKB": func(s *Settings) { s.MemoryKB = 0 }, "ColdFor": func(s *Settings) { s.SlowStartTime = -1 },
		"Classes[1]": func(s *Settings) { s.Classes[1].LatencyObjective = 0 }, "Tick": func(s *Settings) { s.Tick = -1 },
	} {
		s := testSettings()
		change(&s)
		if _, err := New(s, 1, 0); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: error %v", field, err)
		}
	}
}

// policyFiles returns the files that deploy/balancer.toml names under policy.
func policyFiles(t *testing.T) []string {
	t.Helper()
	text, err := os.ReadFile("../deploy/balancer.toml")
	require.NoError(t, err)
	var deploy struct{ Policy []string }
	require.NoError(t, toml.Unmarshal(text, &deploy))
	require.NotEmpty(t, deploy.Policy)
	return deploy.Policy
}

// All files that decide are named in the deploy file, and are together no longer than agreed on.
func TestSizeAndWidthOfThePolicyFiles(t *testing.T) {
	const maxLines, maxColumns = 920, 110
	lines := 0
	for _, path := range policyFiles(t) {
		text, err := os.ReadFile("../" + path)
		require.NoError(t, err)
		for line := range strings.Lines(string(text)) {
			line = strings.ReplaceAll(strings.TrimSuffix(line, "\n"), "\t", "    ")
			if strings.TrimSpace(line) != "" {
				lines++
			}
			assert.LessOrEqualf(t, len([]rune(line)), maxColumns, "%s: %s", path, line)
		}
	}
	assert.LessOrEqual(t, lines, maxLines, "lines that are not blank")
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

// A server that operators have deregistered stays so until they take it back, whatever the load; requests are run meanwhile.
func TestDeregisteredUntilReregistered(t *testing.T) {
	controller := start(t, testSettings())
	if want(t, controller.Step(time.Second, []Event{{Kind: EventDeregister}}, nil), ActionHealth, 0).Healthy {
		t.Error("health is not bad after EventDeregister")
	}
	for now := 1100 * ms; now < 5*time.Second; now += 100 * ms {
		if find(controller.Step(now, []Event{{Kind: EventTimer}}, nil), ActionHealth, 0) != nil {
			t.Error("health changed by itself")
		}
	}
	want(t, controller.Step(5*time.Second, []Event{req(1, 0)}, nil), ActionRun, 1)
	if !want(t, controller.Step(6*time.Second, []Event{{Kind: EventReregister}}, nil), ActionHealth, 0).Healthy {
		t.Error("health is not good after Restore")
	}
	controller.Step(7*time.Second, []Event{{Kind: EventDrain, StopAt: 9 * time.Second}}, nil)
	if find(controller.Step(7*time.Second, []Event{{Kind: EventReregister}}, nil), ActionHealth, 0) != nil {
		t.Error("a server that leaves came back")
	}
}

// A process that another one replaces ends what it has, but the server stays: nobody is to be sent elsewhere.
func TestReplaced(t *testing.T) {
	controller := start(t, testSettings())
	actions := controller.Step(0, []Event{req(1, 0), {Kind: EventDrain, StopAt: 3 * time.Second, Replaced: true}}, nil)
	want(t, actions, ActionRun, 1)
	if find(actions, ActionHealth, 0) != nil {
		t.Error("health changed though the server stays")
	}
	actions = nil
	for now := time.Duration(0); now < 3*time.Second; now += 5 * ms {
		actions = controller.Step(now, nil, actions)
	}
	want(t, actions, ActionFail, 1)
}

// New settings must not touch what runs, and the sums that they enter must fit again.
func TestRetune(t *testing.T) {
	controller := start(t, testSettings())
	want(t, controller.Step(0, []Event{req(1, 1)}, nil), ActionRun, 1)
	settings := testSettings()
	settings.Classes[1].Removed = true
	settings.Classes = append(settings.Classes, Class{LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1})
	settings.RunningMemoryFactor, settings.KeyMemoryKB, settings.CallsWindow = 8, 20, time.Second
	if err := controller.Reconfigure(settings); err != nil {
		t.Fatal(err)
	}
	if controller.memoryKB != 8*10+20 {
		t.Errorf("memory %v after new settings", controller.memoryKB)
	}
	want(t, controller.Step(100*ms, []Event{req(2, 4)}, nil), ActionRun, 2)
	controller.Step(200*ms, []Event{{Kind: EventDone, ID: 1, Took: 200 * ms}, {Kind: EventDone, ID: 2, Took: 100 * ms}}, nil)
	if controller.running != 0 || controller.memoryKB != 20 {
		t.Errorf("%d runs and memory %v after all ended", controller.running, controller.memoryKB)
	}
	if controller.Reconfigure(testSettings()) == nil {
		t.Error("a class of requests that may be in hand was left out")
	}
	settings.Cores = 0
	if controller.Reconfigure(settings) == nil || controller.settings.Cores == 0 {
		t.Error("settings that make no sense were taken over")
	}
}
