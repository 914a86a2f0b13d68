package admission

import (
	"math"
	"testing"
	"time"
)

// One test for each failure that was found on the bench or on an incident; none needs the bench.

func TestFurtherTriesHaveLessOfTheirAimLeft(t *testing.T) {
	c := start(t, settings())
	again := req(1, 0)
	again.Retry = true
	c.Step(0, []Event{again}, nil)
	if got := c.jobs[1].aim; got >= 2*time.Second {
		t.Errorf("a further try has its whole aim of %v left", got)
	}
}

func TestRefusalsSayWhetherToTryElsewhere(t *testing.T) {
	refusal := func(prepare func(*Controller, *Event)) *Action {
		c := start(t, settings())
		c.s.MarksRetries = true
		c.speed.a = 1e-6 // so slow that nothing is in time
		for id := RequestID(100); id < 110; id++ {
			c.Step(0, []Event{req(id, 0)}, nil)
		}
		e := req(1, 0)
		prepare(c, &e)
		return want(t, c.Step(0, []Event{e}, nil), ActionReject, 1)
	}
	if a := refusal(func(*Controller, *Event) {}); a.NoRetryElsewhere || a.RetryAfter <= 0 {
		t.Errorf("trouble of this server alone: %+v", *a)
	}
	for _, marks := range []bool{true, false} {
		storm := func(c *Controller, _ *Event) { c.s.MarksRetries, c.arrivals.a, c.arrivals.b = marks, 10, 9 }
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
	for _, x := range []struct {
		standing   FleetRank
		storm, end bool
		why        Reason
	}{{RankUnknown, false, false, ReasonCPU}, {RankUnknown, true, true, ReasonCPU}, {RankElsewhere, true, false, ReasonCPU},
		{RankFull, false, true, ReasonCPU}, {RankBelowThreshold, false, true, ReasonBelowThreshold}} {
		c := start(t, settings())
		e := req(1, 0)
		e.FleetRank = x.standing
		want(t, c.Step(0, []Event{e}, nil), ActionRun, 1)
		for id := RequestID(100); id < 110; id++ {
			c.Step(0, []Event{req(id, 0)}, nil)
		}
		c.speed.a = 1e-6 // so slow that nothing is in time
		if x.storm {
			c.arrivals.a, c.arrivals.b = 10, 9
		}
		e.ID = 2
		if a := want(t, c.Step(0, []Event{e}, nil), ActionReject, 2); a.NoRetryElsewhere != x.end || a.Reason != x.why || x.end == (a.RetryAfter > 0) {
			t.Errorf("%+v: %+v", x, *a)
		}
	}
}

// What a fleet tries in common must be what the breaker lets through: none of the calls for those whose turn it is not,
// and for who tries the first ones, whatever calls took before the store went away.
func TestTheFleetSaysHowManyCallsAreProtected(t *testing.T) {
	calls := func(protect float64) (n int) {
		c := start(t, settings())
		c.callTime, c.callBest = mean{0.03, true}, 0.03
		if protect > 0 {
			c.callTime.v = 1.9
		}
		for range 4 {
			c.feed(OutcomeTimedOut)
		}
		c.SetProtectedCalls(protect)
		for id := RequestID(1); id < 4; id++ {
			c.Step(c.now+1, []Event{req(id, 3)}, nil)
			as := c.Step(c.now+1, []Event{{Kind: EventCallNeeded, ID: id}}, nil)
			if find(as, ActionCall, id) != nil {
				n++
			} else if find(as, ActionSkipCall, id) == nil {
				t.Errorf("request %d neither calls nor goes on", id)
			}
		}
		return n
	}
	c := start(t, settings())
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
	var f fit
	for i := range 400 { // true time 0.3, hints between 0.1 and 0.9
		f.add([]float64{0.1, 0.3, 0.9}[i%3], 0.3, 0.1)
	}
	if got := f.at(0.9); math.Abs(got-0.3) > 0.01 {
		t.Errorf("a hint of 0.9 is taken for %v", got)
	}
	f = fit{}
	for i := range 400 { // good hints
		x := []float64{0.1, 0.3, 0.9}[i%3]
		f.add(x, 2*x, 0.1)
	}
	if got := f.at(0.9); math.Abs(got-1.8) > 0.01 {
		t.Errorf("a good hint of 0.9 is taken for %v", got)
	}
}

func TestCallsShrinkWhileSlowAndGrowBack(t *testing.T) {
	c := start(t, settings())
	c.callTime = mean{0.05, true}
	for range 100 {
		c.adjustCalls()
	}
	high := c.callLimit()
	c.callTime.v = 0.5
	for range 40 {
		c.adjustCalls()
	}
	low := c.callLimit()
	c.callTime.v = 0.05
	for range 100 {
		c.adjustCalls()
	}
	if low >= high/1.5 || c.callLimit() < high*0.99 || low < callsLeast*c.s.MaxCallsInFlight*0.99 {
		t.Errorf("bound %v, then %v while slow, then %v", high, low, c.callLimit())
	}
}

func TestASmallShareOfCallsIsKeptInTheMean(t *testing.T) {
	s := settings()
	s.MaxCallsInFlight, s.Dependency = 1.95, DependencyShared
	c := start(t, s)
	c.callTime, c.callShare = mean{0.05, true}, 0.7
	c.inHand = 1
	if c.mayCall(time.Second) <= 0 {
		t.Error("no second call though the mean is far under the bound")
	}
	c.inCalls.add(c.now, c.callLimit()*s.CallsWindow.Seconds()+0.1, 0)
	c.callCredit = -0.1
	if c.mayCall(time.Second) > 0 {
		t.Error("a second call though the mean is over the bound")
	}
	c.inHand = 0
	if c.mayCall(time.Second) <= 0 {
		t.Error("no call at all")
	}
	c.s.MaxCallsInFlight = 0.3
	if got := c.mayCall(3 * time.Second); got > 0 {
		t.Errorf("a call of %v though the share is used up", got)
	}
}

// In a fleet of 300 each server's share of the store is a tenth of a call. While the store is slow, one call takes
// far longer than its server may spend on calls in that time, and what is overdrawn has to be paid back: it used to
// be forgotten after 1.5 s, and the fleet had three times as many calls in hand as it had agreed on.
func TestATenthOfACallIsKeptThoughCallsAreLong(t *testing.T) {
	s := settings()
	s.MaxCallsInFlight = 0.2
	c := start(t, s)
	c.callShare = callsLeast
	const step = 10 * ms
	var inHand, total time.Duration
	var ends time.Duration
	for now := step; now <= 60*time.Second; now += step {
		c.pass(now)
		total += step
		if c.inHand == 1 {
			inHand += step
			if now >= ends {
				c.inHand = 0
			}
		} else if c.mayCall(time.Second) > 0 {
			c.inHand, ends = 1, now+300*ms
		}
	}
	if mean, limit := inHand.Seconds()/total.Seconds(), c.callLimit(); mean > 1.2*limit || mean < 0.8*limit {
		t.Errorf("%.3f calls in hand in the mean, with a bound of %.3f", mean, limit)
	}
}

// A request that would have to wait until the overdrawn share is paid back must hear so before it runs: a licence
// order that fails at its call has run, and no other try of it may.
func TestWhatIsOverdrawnCountsAsWaiting(t *testing.T) {
	s := settings()
	s.MaxCallsInFlight = 0.2
	c := start(t, s)
	c.callShare, c.callTime = callsLeast, mean{0.3, true}
	c.callCredit = 0.01
	if w := c.callWait(); w != 0 {
		t.Errorf("a wait of %v with nothing overdrawn", w)
	}
	c.callCredit = -0.2
	if w, want := c.callWait().Seconds(), 0.2/c.callLimit(); math.Abs(w-want) > 1e-6 {
		t.Errorf("a wait of %v s, want %v", w, want)
	}
	// One runs all the same, so that a recovery is noticed. It waits for its call, and no further one runs in vain.
	want(t, c.Step(c.now+1, []Event{req(1, 1)}, nil), ActionRun, 1)
	c.Step(c.now+1, []Event{{Kind: EventCallNeeded, ID: 1}}, nil)
	as := c.Step(c.now+1, []Event{req(2, 1)}, nil)
	if a := want(t, as, ActionReject, 2); a.Reason != ReasonDependency {
		t.Errorf("refused since %v", a.Reason)
	}
	s.MaxCallsInFlight = 20 // with whole calls the bound itself admits the next one
	c = start(t, s)
	c.callTime, c.callCredit = mean{0.3, true}, -1
	if w := c.callWait(); w != 0 {
		t.Errorf("a wait of %v though calls are free", w)
	}
}

func TestAHungServerRefusesAndProbes(t *testing.T) {
	c := start(t, settings())
	var as []Action
	for i := range 400 { // 4 s of arrivals, no run ends
		as = c.Step(time.Duration(i)*10*ms, []Event{req(RequestID(i+1), 0)}, nil)
	}
	want(t, as, ActionReject, 400)
	c.Step(4100*ms, nil, nil)
	if c.heldN > 2*c.s.Cores {
		t.Errorf("%d requests held by a hung server", c.heldN)
	}
}

func TestWorthyArrivalsPushOutTheLeast(t *testing.T) {
	s := settings()
	s.MaxCallsInFlight, s.Dependency = 0, DependencyNone
	for i := range s.Classes {
		s.Classes[i].CallsDependency = false
	}
	c := start(t, s)
	id := RequestID(0)
	for range 200 {
		id++
		c.Step(0, []Event{req(id, 0)}, nil)
	}
	c.s.Classes[0].PriorityWeight, c.s.Classes[1].PriorityWeight = 1, 3
	id++
	as := c.Step(0, []Event{req(id, 1)}, nil)
	wantNone(t, as, ActionReject, id)
	if c.jobs[id] == nil {
		t.Error("a keyed request worth more was turned away for held ones worth less")
	}
}

func TestAServerThatIsLateForAllStillProbes(t *testing.T) {
	for _, cores := range []int{1, 2, 6} {
		s := settings()
		s.Cores = cores
		c := start(t, s)
		c.speed.a, c.callTime = 1e-6, mean{9, true}
		want(t, c.Step(0, []Event{req(1, 0)}, nil), ActionRun, 1)
	}
}

func TestRunsAtCallsCountForTheCrowd(t *testing.T) {
	s := settings()
	s.WarmingUp, s.MemoryKB, s.MaxCallsInFlight, s.Dependency = true, 1e6, 0, DependencyTier
	c := start(t, s)
	for id := RequestID(1); id <= 60; id++ {
		as := c.Step(0, []Event{req(id, 0)}, nil)
		if find(as, ActionRun, id) != nil {
			c.Step(0, []Event{{Kind: EventCallNeeded, ID: id}}, nil)
		}
	}
	if limit := float64(s.Cores) * (1 + (s.MaxConcurrencyPerCore-1)*s.SlowStartSpeedRatio); c.runs == 0 || float64(c.runs) > limit {
		t.Errorf("%d runs might come back to the cores at once, a cold server survives %v", c.runs, limit)
	}
}

func TestNoBoundPassesTheShareThatIsSurvived(t *testing.T) {
	c := start(t, settings())
	c.callShare, c.callTime = 5, mean{0.5, true}
	for c.inHand = 0; c.mayCall(10*time.Second) == 10*time.Second; c.inHand++ {
		if float64(c.inHand) > c.s.MaxCallsInFlight {
			t.Fatalf("an uncut call beside %d of a share of %v", c.inHand, c.s.MaxCallsInFlight)
		}
	}
}

func TestADrainTellsCallersToSendNothing(t *testing.T) {
	for advert, value := range map[Advert]float64{AdvertLevel: 1, AdvertCredit: 0, AdvertWeight: 0} {
		s := settings()
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
	c := start(t, settings())
	c.share = 0 // all that comes while the cores are busy is refused on reading
	for id := RequestID(1); id <= 40; id++ {
		c.Step(0, []Event{req(id, 0)}, nil)
	}
	if c.heldN != 0 || c.heldWork != 0 || c.classes[0].heldN != 0 {
		t.Errorf("%d held, %v s of work, %d of the class", c.heldN, c.heldWork, c.classes[0].heldN)
	}
}

func TestWhatIsTooLateGoesThoughNoCoreIsFree(t *testing.T) {
	c := start(t, settings())
	var as []Action
	for id := RequestID(1); id <= 12; id++ {
		as = c.Step(0, []Event{req(id, 0)}, as)
	}
	if c.heldN == 0 {
		t.Fatal("nothing held")
	}
	for now := time.Duration(0); now <= 2100*ms; now += 10 * ms { // no run ends
		c.Step(now, nil, nil)
	}
	if c.heldN != 0 {
		t.Errorf("%d held after their aim", c.heldN)
	}
}

func TestIdleConnectionsAreClosedSoonWhereCallersSeldomComeBack(t *testing.T) {
	for callers, closed := range map[int]bool{5: false, 1000: true} {
		s := settings()
		s.Clients = callers
		c := start(t, s)
		for i := range 1000 { // 10 requests a second
			c.Step(time.Duration(i)*100*ms, []Event{req(RequestID(i+1), 0)}, nil)
			c.Step(time.Duration(i)*100*ms+50*ms, []Event{{Kind: EventDone, ID: RequestID(i + 1)}}, nil)
		}
		if got := c.idleSaid < s.IdleTimeout; got != closed {
			t.Errorf("%d callers: idle limit %v", callers, c.idleSaid)
		}
	}
}

func TestAServerThatReadsForNobodyIsOffTheListHalfOfTheTimeAtMost(t *testing.T) {
	c := start(t, settings())
	off, answers := time.Duration(0), 0
	for now := time.Duration(0); now < 10*time.Second; now += 50 * ms {
		e := req(RequestID(now+1), 0)
		e.Waited = 900 * ms
		for _, a := range c.Step(now, []Event{e}, nil) {
			if a.Kind == ActionHealth {
				answers++
			}
		}
		if c.unwell {
			off += 50 * ms
		}
	}
	if off < 4*time.Second || off > 5*time.Second+healthLeast || answers > 20 {
		t.Errorf("off for %v of 10 s, %d answers", off, answers)
	}
	for now := 10 * time.Second; now < 20*time.Second; now += 50 * ms {
		c.Step(now, nil, nil)
	}
	if c.unwell || c.readWait.v > 0.2 {
		t.Errorf("unwell %v, wait %v s, though nothing comes any more", c.unwell, c.readWait.v)
	}
	c.Step(20*time.Second, []Event{{Kind: EventDrain, StopAt: 25 * time.Second}}, nil)
	e := req(1, 0)
	e.Waited = 5 * time.Second
	as := c.Step(21*time.Second, []Event{e}, nil)
	as = c.Step(23*time.Second, nil, as)
	wantNone(t, as, ActionHealth, 0)
}

func TestCreditIsSharedByAllCallers(t *testing.T) {
	s := settings()
	s.Advert, s.Clients = AdvertCredit, 1000
	c, _ := New(s, 1, 0)
	if a := want(t, c.Step(0, nil, nil), ActionAdvertise, 0); a.Value <= 0 || a.Value*1000 > runsMost*2*float64(s.Cores) {
		t.Errorf("credit %v", a.Value)
	}
}

func TestAShareOfCallsBelowOneIsNotSpentInOneBurst(t *testing.T) {
	s := settings()
	s.MaxCallsInFlight, s.AbandonedCallTime = 0.5, 0
	c := start(t, s)
	c.pass(20 * time.Second) // a long time without a call saves nothing up
	c.inHand = 1
	c.pass(21 * time.Second)
	c.inHand = 0
	if got := c.mayCall(time.Second); got > 0 {
		t.Errorf("a call of %v right after one of 1 s on a share of %v", got, s.MaxCallsInFlight)
	}
	c.pass(23 * time.Second)
	if got := c.mayCall(time.Second); got > 0 {
		t.Errorf("a call of %v after 2 s, though one of 1 s takes 4 s of a bound of %v", got, c.callLimit())
	}
	c.pass(24*time.Second + 100*ms)
	if c.mayCall(time.Second) <= 0 {
		t.Error("no call though the last one is paid back")
	}
}

func TestAStormIsKnownByMarksOrByRefusals(t *testing.T) {
	for _, marks := range []bool{true, false} {
		s := settings()
		s.MarksRetries = marks
		c := start(t, s)
		c.speed.a = 1e-6
		var last *Action
		for id := RequestID(1); id <= 60; id++ {
			e := req(id, 0)
			e.Retry = marks
			if a := find(c.Step(0, []Event{e}, nil), ActionReject, id); a != nil {
				last = a
			}
		}
		if last == nil || !last.NoRetryElsewhere {
			t.Errorf("marks %v: %+v after 60 arrivals that are nearly all refused", marks, last)
		}
	}
}

func TestChangesOfStateAreLoggedOnceAndSeldom(t *testing.T) {
	c := start(t, settings())
	lines := map[string]int{}
	for i := range 200 { // 20 s, the state flips at each sweep
		now := time.Duration(i+1) * sweepEvery
		c.callShare = []float64{callsLeast, callsRaise}[i%2]
		for _, a := range c.Step(now, nil, nil) {
			if a.Kind == ActionLog {
				lines[a.Text]++
			}
		}
	}
	if n := lines["bound on calls at its least: begins"]; n == 0 || n > 4 {
		t.Errorf("log lines %v", lines)
	}
	as := c.Step(21*time.Second, []Event{{Kind: EventDrain, StopAt: 25 * time.Second}}, nil)
	if a := want(t, as, ActionLog, 0); a.Text != "drain begins" {
		t.Errorf("log line %q", a.Text)
	}
}

// While what lies below is slow, calls are short: those who may go on without theirs do so at once and leave
// them to those who may not, instead of being refused, or of holding up the others until both are late.
func TestCallsThatWouldWaitTooLongAreSkipped(t *testing.T) {
	s := settings()
	s.MemoryKB, s.Cores = 1e6, 12
	for _, c := range []struct {
		took  float64 // seconds that a call takes of late
		skips bool
	}{{0.01, false}, {1, true}} {
		ctl := start(t, s)
		for id := RequestID(1); id <= 5; id++ { // more than may call at once
			atCall(t, ctl, 0, id, 1)
		}
		if ctl.waitN == 0 {
			t.Fatal("no call waits")
		}
		ctl.callTime = mean{c.took, true}
		as := atCall(t, ctl, 0, 7, 3)
		if got := find(as, ActionSkipCall, 7) != nil; got != c.skips {
			t.Errorf("calls take %v s: skipped is %v", c.took, got)
		}
		for id := RequestID(1); id <= 5; id++ {
			wantNone(t, as, ActionSkipCall, id)
			wantNone(t, as, ActionFail, id)
		}
	}
}
