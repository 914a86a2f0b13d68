package admission

import (
	"math"
	"testing"
	"time"
)

// One test for each failure that was found on the bench or on an incident; none needs the bench.

func TestFurtherTriesHaveLessOfTheirAimLeft(t *testing.T) {
	c := start(t, testSettings())
	again := req(1, 0)
	again.Retry = true
	c.Step(0, []Event{again}, nil)
	if got := c.requests[1].objective; got >= 2*time.Second {
		t.Errorf("a further try has its whole aim of %v left", got)
	}
}

func TestRefusalsSayWhetherToTryElsewhere(t *testing.T) {
	refusal := func(prepare func(*Controller, *Event)) *Action {
		controller := start(t, testSettings())
		controller.settings.MarksRetries = true
		controller.speed.primary = 1e-6 // so slow that nothing is in time
		for id := RequestID(100); id < 110; id++ {
			controller.Step(0, []Event{req(id, 0)}, nil)
		}
		e := req(1, 0)
		prepare(controller, &e)
		return want(t, controller.Step(0, []Event{e}, nil), ActionReject, 1)
	}
	if a := refusal(func(*Controller, *Event) {}); a.NoRetryElsewhere || a.RetryAfter <= 0 {
		t.Errorf("trouble of this server alone: %+v", *a)
	}
	for _, marks := range []bool{true, false} {
		storm := func(c *Controller, _ *Event) {
			c.settings.MarksRetries, c.arrivals.primary, c.arrivals.secondary = marks, 10, 9
		}
		if a := refusal(storm); !a.NoRetryElsewhere {
			t.Errorf("in a storm the caller is sent on (tries marked: %v)", marks)
		}
	}
	if a := refusal(func(_ *Controller, e *Event) { e.Waited = 1500 * ms }); !a.NoRetryElsewhere {
		t.Error("a request whose aim is nearly over is sent on")
	}
}

// What the fleet makes of a request must count where cores are short, and only there: a server with a free core runs
// whatever comes, and one that can hand its caller on does not end the request.
func TestWhatTheFleetMakesOfARequest(t *testing.T) {
	for _, test := range []struct {
		standing   FleetRank
		storm, end bool
		why        Reason
	}{{RankUnknown, false, false, ReasonCPU}, {RankUnknown, true, true, ReasonCPU}, {RankElsewhere, true, false, ReasonCPU},
		{RankFull, false, true, ReasonCPU}, {RankBelowThreshold, false, true, ReasonBelowThreshold}} {
		controller := start(t, testSettings())
		event := req(1, 0)
		event.FleetRank = test.standing
		want(t, controller.Step(0, []Event{event}, nil), ActionRun, 1)
		for id := RequestID(100); id < 110; id++ {
			controller.Step(0, []Event{req(id, 0)}, nil)
		}
		controller.speed.primary = 1e-6 // so slow that nothing is in time
		if test.storm {
			controller.arrivals.primary, controller.arrivals.secondary = 10, 9
		}
		event.ID = 2
		if a := want(t, controller.Step(0, []Event{event}, nil), ActionReject, 2); a.NoRetryElsewhere != test.end || a.Reason != test.why || test.end == (a.RetryAfter > 0) {
			t.Errorf("%+v: %+v", test, *a)
		}
	}
}

// What a fleet tries in common must be what the breaker lets through: none of the calls for those whose turn it is not,
// and for who tries the first ones, whatever calls took before the store went away.
func TestTheFleetSaysHowManyCallsAreProtected(t *testing.T) {
	calls := func(protect float64) (n int) {
		controller := start(t, testSettings())
		controller.callTime, controller.bestCallTime = movingAverage{0.03, true}, 0.03
		if protect > 0 {
			controller.callTime.value = 1.9
		}
		for range 4 {
			controller.recordOutcome(OutcomeTimedOut)
		}
		controller.SetProtectedCalls(protect)
		for id := RequestID(1); id < 4; id++ {
			controller.Step(controller.now+1, []Event{req(id, 3)}, nil)
			as := controller.Step(controller.now+1, []Event{{Kind: EventCallNeeded, ID: id}}, nil)
			if find(as, ActionCall, id) != nil {
				n++
			} else if find(as, ActionSkipCall, id) == nil {
				t.Errorf("request %d neither calls nor goes on", id)
			}
		}
		return n
	}
	c := start(t, testSettings())
	c.SetProtectedCalls(-1)
	if a := want(t, c.Step(0, []Event{req(1, 1)}, nil), ActionReject, 1); a.Reason != ReasonDependency {
		t.Errorf("a request that would fail at its call: %+v", *a)
	}
	if n := calls(-1); n != 0 {
		t.Errorf("%d calls by one whose turn it is not", n)
	}
	if n := calls(BreakerProtectedCalls); n != 3 {
		t.Errorf("%d calls of 3 within what is protected", n)
	}
}

func TestRoughHintsDoNotStretchEstimates(t *testing.T) {
	var field linearFit
	for i := range 400 { // true time 0.3, hints between 0.1 and 0.9
		field.add([]float64{0.1, 0.3, 0.9}[i%3], 0.3, 0.1)
	}
	if got := field.valueAt(0.9); math.Abs(got-0.3) > 0.01 {
		t.Errorf("a hint of 0.9 is taken for %v", got)
	}
	field = linearFit{}
	for i := range 400 { // good hints
		x := []float64{0.1, 0.3, 0.9}[i%3]
		field.add(x, 2*x, 0.1)
	}
	if got := field.valueAt(0.9); math.Abs(got-1.8) > 0.01 {
		t.Errorf("a good hint of 0.9 is taken for %v", got)
	}
}

func TestCallsShrinkWhileSlowAndGrowBack(t *testing.T) {
	controller := start(t, testSettings())
	controller.callTime = movingAverage{0.05, true}
	for range 100 {
		controller.adjustCallLimit()
	}
	high := controller.callLimit()
	controller.callTime.value = 0.5
	for range 40 {
		controller.adjustCallLimit()
	}
	low := controller.callLimit()
	controller.callTime.value = 0.05
	for range 100 {
		controller.adjustCallLimit()
	}
	if low >= high/1.5 || controller.callLimit() < high*0.99 || low < minCallLimitRatio*controller.settings.MaxCallsInFlight*0.99 {
		t.Errorf("bound %v, then %v while slow, then %v", high, low, controller.callLimit())
	}
}

func TestASmallShareOfCallsIsKeptInTheMean(t *testing.T) {
	settings := testSettings()
	settings.MaxCallsInFlight, settings.Dependency = 1.95, DependencyShared
	controller := start(t, settings)
	controller.callTime, controller.callLimitRatio = movingAverage{0.05, true}, 0.7
	controller.callsInFlight = 1
	if controller.callTimeout(time.Second) <= 0 {
		t.Error("no second call though the mean is far under the bound")
	}
	controller.callSeconds.add(controller.now, controller.callLimit()*settings.CallsWindow.Seconds()+0.1, 0)
	controller.callCredit = -0.1
	if controller.callTimeout(time.Second) > 0 {
		t.Error("a second call though the mean is over the bound")
	}
	controller.callsInFlight = 0
	if controller.callTimeout(time.Second) <= 0 {
		t.Error("no call at all")
	}
	controller.settings.MaxCallsInFlight = 0.3
	if got := controller.callTimeout(3 * time.Second); got > 0 {
		t.Errorf("a call of %v though the share is used up", got)
	}
}

// In a fleet of 300 each server's share of the store is a tenth of a call. While the store is slow, one call takes
// far longer than its server may spend on calls in that time, and what is overdrawn has to be paid back: it used to
// be forgotten after 1.5 s, and the fleet had three times as many calls in hand as it had agreed on.
func TestATenthOfACallIsKeptThoughCallsAreLong(t *testing.T) {
	s := testSettings()
	s.MaxCallsInFlight = 0.2
	controller := start(t, s)
	controller.callLimitRatio = minCallLimitRatio
	const step = 10 * ms
	var inHand, total time.Duration
	var ends time.Duration
	for now := step; now <= 60*time.Second; now += step {
		controller.advanceTime(now)
		total += step
		if controller.callsInFlight == 1 {
			inHand += step
			if now >= ends {
				controller.callsInFlight = 0
			}
		} else if controller.callTimeout(time.Second) > 0 {
			controller.callsInFlight, ends = 1, now+300*ms
		}
	}
	if mean, limit := inHand.Seconds()/total.Seconds(), controller.callLimit(); mean > 1.2*limit || mean < 0.8*limit {
		t.Errorf("%.3f calls in hand in the mean, with a bound of %.3f", mean, limit)
	}
}

// A request that would have to wait until the overdrawn share is paid back must hear so before it runs: a licence
// order that fails at its call has run, and no other try of it may.
func TestWhatIsOverdrawnCountsAsWaiting(t *testing.T) {
	settings := testSettings()
	settings.MaxCallsInFlight = 0.2
	controller := start(t, settings)
	controller.callLimitRatio, controller.callTime = minCallLimitRatio, movingAverage{0.3, true}
	controller.callCredit = 0.01
	if w := controller.callWait(); w != 0 {
		t.Errorf("a wait of %v with nothing overdrawn", w)
	}
	controller.callCredit = -0.2
	if w, want := controller.callWait().Seconds(), 0.2/controller.callLimit(); math.Abs(w-want) > 1e-6 {
		t.Errorf("a wait of %v s, want %v", w, want)
	}
	// One runs all the same, so that a recovery is noticed. It waits for its call, and no further one runs in vain.
	want(t, controller.Step(controller.now+1, []Event{req(1, 1)}, nil), ActionRun, 1)
	controller.Step(controller.now+1, []Event{{Kind: EventCallNeeded, ID: 1}}, nil)
	as := controller.Step(controller.now+1, []Event{req(2, 1)}, nil)
	if a := want(t, as, ActionReject, 2); a.Reason != ReasonDependency {
		t.Errorf("refused since %v", a.Reason)
	}
	settings.MaxCallsInFlight = 20 // with whole calls the bound itself admits the next one
	controller = start(t, settings)
	controller.callTime, controller.callCredit = movingAverage{0.3, true}, -1
	if w := controller.callWait(); w != 0 {
		t.Errorf("a wait of %v though calls are free", w)
	}
}

func TestAHungServerRefusesAndProbes(t *testing.T) {
	controller := start(t, testSettings())
	var as []Action
	for i := range 400 { // 4 s of arrivals, no run ends
		as = controller.Step(time.Duration(i)*10*ms, []Event{req(RequestID(i+1), 0)}, nil)
	}
	want(t, as, ActionReject, 400)
	controller.Step(4100*ms, nil, nil)
	if controller.queuedCount > 2*controller.settings.Cores {
		t.Errorf("%d requests held by a hung server", controller.queuedCount)
	}
}

func TestWorthyArrivalsPushOutTheLeast(t *testing.T) {
	s := testSettings()
	s.MaxCallsInFlight, s.Dependency = 0, DependencyNone
	for i := range s.Classes {
		s.Classes[i].CallsDependency = false
	}
	controller := start(t, s)
	id := RequestID(0)
	for range 200 {
		id++
		controller.Step(0, []Event{req(id, 0)}, nil)
	}
	controller.settings.Classes[0].PriorityWeight, controller.settings.Classes[1].PriorityWeight = 1, 3
	id++
	as := controller.Step(0, []Event{req(id, 1)}, nil)
	wantNone(t, as, ActionReject, id)
	if controller.requests[id] == nil {
		t.Error("a keyed request worth more was turned away for held ones worth less")
	}
}

func TestAServerThatIsLateForAllStillProbes(t *testing.T) {
	for _, cores := range []int{1, 2, 6} {
		s := testSettings()
		s.Cores = cores
		c := start(t, s)
		c.speed.primary, c.callTime = 1e-6, movingAverage{9, true}
		want(t, c.Step(0, []Event{req(1, 0)}, nil), ActionRun, 1)
	}
}

func TestRunsAtCallsCountForTheCrowd(t *testing.T) {
	settings := testSettings()
	settings.WarmingUp, settings.MemoryKB, settings.MaxCallsInFlight, settings.Dependency = true, 1e6, 0, DependencyTier
	controller := start(t, settings)
	for id := RequestID(1); id <= 60; id++ {
		as := controller.Step(0, []Event{req(id, 0)}, nil)
		if find(as, ActionRun, id) != nil {
			controller.Step(0, []Event{{Kind: EventCallNeeded, ID: id}}, nil)
		}
	}
	if limit := float64(settings.Cores) * (1 + (settings.MaxConcurrencyPerCore-1)*settings.SlowStartSpeedRatio); controller.running == 0 || float64(controller.running) > limit {
		t.Errorf("%d runs might come back to the cores at once, a cold server survives %v", controller.running, limit)
	}
}

func TestNoBoundPassesTheShareThatIsSurvived(t *testing.T) {
	c := start(t, testSettings())
	c.callLimitRatio, c.callTime = 5, movingAverage{0.5, true}
	for c.callsInFlight = 0; c.callTimeout(10*time.Second) == 10*time.Second; c.callsInFlight++ {
		if float64(c.callsInFlight) > c.settings.MaxCallsInFlight {
			t.Fatalf("an uncut call beside %d of a share of %v", c.callsInFlight, c.settings.MaxCallsInFlight)
		}
	}
}

func TestADrainTellsCallersToSendNothing(t *testing.T) {
	for advert, value := range map[Advert]float64{AdvertLevel: 1, AdvertCredit: 0, AdvertWeight: 0} {
		s := testSettings()
		s.Advert = advert
		c := start(t, s)
		as := c.Step(200*ms, []Event{{Kind: EventDrain, StopAt: 5 * time.Second}}, nil)
		if a := want(t, as, ActionAdvertise, 0); a.Value != value {
			t.Errorf("advert %d: value %v, want %v", advert, a.Value, value)
		}
		if a := want(t, as, ActionHealth, 0); a.Healthy || !a.Cached {
			t.Errorf("health %+v", *a)
		}
	}
}

func TestARefusalOnReadingLeavesTheSumsOfTheHold(t *testing.T) {
	controller := start(t, testSettings())
	controller.admitProbability = 0 // all that comes while the cores are busy is refused on reading
	for id := RequestID(1); id <= 40; id++ {
		controller.Step(0, []Event{req(id, 0)}, nil)
	}
	if controller.queuedCount != 0 || controller.queuedWork != 0 || controller.classes[0].queuedCount != 0 {
		t.Errorf("%d held, %v s of work, %d of the class", controller.queuedCount, controller.queuedWork, controller.classes[0].queuedCount)
	}
}

func TestWhatIsTooLateGoesThoughNoCoreIsFree(t *testing.T) {
	controller := start(t, testSettings())
	var as []Action
	for id := RequestID(1); id <= 12; id++ {
		as = controller.Step(0, []Event{req(id, 0)}, as)
	}
	if controller.queuedCount == 0 {
		t.Fatal("nothing held")
	}
	for now := time.Duration(0); now <= 2100*ms; now += 10 * ms { // no run ends
		controller.Step(now, nil, nil)
	}
	if controller.queuedCount != 0 {
		t.Errorf("%d held after their aim", controller.queuedCount)
	}
}

func TestIdleConnectionsAreClosedSoonWhereCallersSeldomComeBack(t *testing.T) {
	for callers, closed := range map[int]bool{5: false, 1000: true} {
		settings := testSettings()
		settings.Clients = callers
		controller := start(t, settings)
		for i := range 1000 { // 10 requests a second
			controller.Step(time.Duration(i)*100*ms, []Event{req(RequestID(i+1), 0)}, nil)
			controller.Step(time.Duration(i)*100*ms+50*ms, []Event{{Kind: EventDone, ID: RequestID(i + 1)}}, nil)
		}
		if got := controller.idleTimeout < settings.IdleTimeout; got != closed {
			t.Errorf("%d callers: idle limit %v", callers, controller.idleTimeout)
		}
	}
}

func TestAServerThatReadsForNobodyIsOffTheListHalfOfTheTimeAtMost(t *testing.T) {
	controller := start(t, testSettings())
	off, answers := time.Duration(0), 0
	for now := time.Duration(0); now < 10*time.Second; now += 50 * ms {
		e := req(RequestID(now+1), 0)
		e.Waited = 900 * ms
		for _, a := range controller.Step(now, []Event{e}, nil) {
			if a.Kind == ActionHealth {
				answers++
			}
		}
		if controller.unhealthy {
			off += 50 * ms
		}
	}
	if off < 4*time.Second || off > 5*time.Second+minHealthDuration || answers > 20 {
		t.Errorf("off for %v of 10 s, %d answers", off, answers)
	}
	for now := 10 * time.Second; now < 20*time.Second; now += 50 * ms {
		controller.Step(now, nil, nil)
	}
	if controller.unhealthy || controller.readWait.value > 0.2 {
		t.Errorf("unwell %v, wait %v s, though nothing comes any more", controller.unhealthy, controller.readWait.value)
	}
	controller.Step(20*time.Second, []Event{{Kind: EventDrain, StopAt: 25 * time.Second}}, nil)
	e := req(1, 0)
	e.Waited = 5 * time.Second
	as := controller.Step(21*time.Second, []Event{e}, nil)
	as = controller.Step(23*time.Second, nil, as)
	wantNone(t, as, ActionHealth, 0)
}

func TestCreditIsSharedByAllCallers(t *testing.T) {
	s := testSettings()
	s.Advert, s.Clients = AdvertCredit, 1000
	c, _ := New(s, 1, 0)
	if a := want(t, c.Step(0, nil, nil), ActionAdvertise, 0); a.Value <= 0 || a.Value*1000 > maxRunsPerCore*2*float64(s.Cores) {
		t.Errorf("credit %v", a.Value)
	}
}

func TestAShareOfCallsBelowOneIsNotSpentInOneBurst(t *testing.T) {
	settings := testSettings()
	settings.MaxCallsInFlight, settings.AbandonedCallTime = 0.5, 0
	controller := start(t, settings)
	controller.advanceTime(20 * time.Second) // a long time without a call saves nothing up
	controller.callsInFlight = 1
	controller.advanceTime(21 * time.Second)
	controller.callsInFlight = 0
	if got := controller.callTimeout(time.Second); got > 0 {
		t.Errorf("a call of %v right after one of 1 s on a share of %v", got, settings.MaxCallsInFlight)
	}
	controller.advanceTime(23 * time.Second)
	if got := controller.callTimeout(time.Second); got > 0 {
		t.Errorf("a call of %v after 2 s, though one of 1 s takes 4 s of a bound of %v", got, controller.callLimit())
	}
	controller.advanceTime(24*time.Second + 100*ms)
	if controller.callTimeout(time.Second) <= 0 {
		t.Error("no call though the last one is paid back")
	}
}

func TestAStormIsKnownByMarksOrByRefusals(t *testing.T) {
	for _, marks := range []bool{true, false} {
		s := testSettings()
		s.MarksRetries = marks
		controller := start(t, s)
		controller.speed.primary = 1e-6
		var last *Action
		for id := RequestID(1); id <= 60; id++ {
			e := req(id, 0)
			e.Retry = marks
			if a := find(controller.Step(0, []Event{e}, nil), ActionReject, id); a != nil {
				last = a
			}
		}
		if last == nil || !last.NoRetryElsewhere {
			t.Errorf("marks %v: %+v after 60 arrivals that are nearly all refused", marks, last)
		}
	}
}

func TestChangesOfStateAreLoggedOnceAndSeldom(t *testing.T) {
	controller := start(t, testSettings())
	lines := map[string]int{}
	for i := range 200 { // 20 s, the state flips at each sweep
		now := time.Duration(i+1) * sweepInterval
		controller.callLimitRatio = []float64{minCallLimitRatio, maxCallLimitRatio}[i%2]
		for _, a := range controller.Step(now, nil, nil) {
			if a.Kind == ActionLog {
				lines[a.Text]++
			}
		}
	}
	if n := lines["bound on calls at its least: begins"]; n == 0 || n > 4 {
		t.Errorf("log lines %v", lines)
	}
	as := controller.Step(21*time.Second, []Event{{Kind: EventDrain, StopAt: 25 * time.Second}}, nil)
	if a := want(t, as, ActionLog, 0); a.Text != "drain begins" {
		t.Errorf("log line %q", a.Text)
	}
}

// While what lies below is slow, calls are short: those who may go on without theirs do so at once and leave
// them to those who may not, instead of being refused, or of holding up the others until both are late.
func TestCallsThatWouldWaitTooLongAreSkipped(t *testing.T) {
	settings := testSettings()
	settings.MemoryKB, settings.Cores = 1e6, 12
	for _, controller := range []struct {
		took  float64 // seconds that a call takes of late
		skips bool
	}{{0.01, false}, {1, true}} {
		ctl := start(t, settings)
		for id := RequestID(1); id <= 5; id++ { // more than may call at once
			startToCall(t, ctl, id, 1)
		}
		if ctl.awaitingCallCount == 0 {
			t.Fatal("no call waits")
		}
		ctl.callTime = movingAverage{controller.took, true}
		actions := startToCall(t, ctl, 7, 3)
		if got := find(actions, ActionSkipCall, 7) != nil; got != controller.skips {
			t.Errorf("calls take %v s: skipped is %v", controller.took, got)
		}
		for id := RequestID(1); id <= 5; id++ {
			wantNone(t, actions, ActionSkipCall, id)
			wantNone(t, actions, ActionFail, id)
		}
	}
}
