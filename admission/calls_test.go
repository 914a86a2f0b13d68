package admission

import (
	"math"
	"testing"
	"time"

	"falldeal/admission/internal/rolling"
)

func TestDroppedCallIsSkippedOrFails(t *testing.T) {
	for class, kind := range map[int]ActionKind{1: ActionFail, 3: ActionSkipCall} {
		s := testSettings()
		c := start(t, s)
		want(t, c.Step(0, []Event{req(1, class)}, nil), ActionRun, 1)
		for range 100000 {
			c.calls.breaker.record(c.now, OutcomeFailed)
		}
		as := c.Step(ms, []Event{CallNeeded(1)}, nil)
		want(t, as, kind, 1)
		wantNone(t, as, ActionReject, 1)
	}
}

func TestCallRetriedOnlyIfItNeverRan(t *testing.T) {
	for _, test := range []struct {
		class     int
		outcome   Outcome
		wantRetry bool
	}{{0, OutcomeFailed, true}, {1, OutcomeFailed, false}, {1, OutcomeAborted, false}, {1, OutcomeTimedOut, false}, {1, OutcomeUnreachable, true},
		{2, OutcomeRejected, true}, {2, OutcomeFailed, false}} {
		c := start(t, testSettings())
		want(t, startToCall(t, c, 1, test.class), ActionCall, 1)
		actions := c.Step(10*ms, []Event{CallCompleted(1, Completion{Outcome: test.outcome, Took: 9 * ms})}, nil)
		actions = c.Step(300*ms, nil, actions)
		if got := find(actions, ActionCall, 1) != nil; got != test.wantRetry {
			t.Errorf("class %d, outcome %d: repeated %v, want %v", test.class, test.outcome, got, test.wantRetry)
		}
		if !test.wantRetry {
			want(t, actions, ActionFail, 1)
		}
	}
}

func TestCallsInFlightStayBelowLimit(t *testing.T) {
	settings := testSettings()
	settings.MaxCallsInFlight = 3
	c := start(t, settings)
	out := 0
	for id := RequestID(1); id <= 6; id++ {
		c.Step(0, []Event{req(id, 0)}, nil)
		as := c.Step(0, []Event{CallNeeded(id)}, nil)
		for _, a := range as {
			if a.Kind == ActionCall {
				out++
			}
		}
	}
	if out == 0 || float64(out) > safeCallRatio*settings.MaxCallsInFlight {
		t.Fatalf("%d calls in flight of %v allowed", out, settings.MaxCallsInFlight)
	}
}

func TestCallsShrinkWhileSlowAndGrowBack(t *testing.T) {
	controller := start(t, testSettings())
	controller.calls.limiter.callTime = rolling.AverageOf(0.05)
	for range 100 {
		controller.calls.limiter.adjust()
	}
	high := controller.calls.limiter.limit()
	controller.calls.limiter.callTime = rolling.AverageOf(0.5)
	for range 40 {
		controller.calls.limiter.adjust()
	}
	low := controller.calls.limiter.limit()
	controller.calls.limiter.callTime = rolling.AverageOf(0.05)
	for range 100 {
		controller.calls.limiter.adjust()
	}
	if low >= high/1.5 || controller.calls.limiter.limit() < high*0.99 || low < minCallLimitRatio*controller.calls.limiter.maxInFlight*0.99 {
		t.Errorf("limit %v, then %v while slow, then %v", high, low, controller.calls.limiter.limit())
	}
}

func TestFractionalCallLimitHoldsInTheMean(t *testing.T) {
	settings := testSettings()
	settings.MaxCallsInFlight, settings.Dependency = 1.95, DependencyShared
	controller := start(t, settings)
	controller.calls.limiter.callTime, controller.calls.limiter.limitRatio = rolling.AverageOf(0.05), 0.7
	controller.calls.limiter.inFlight = 1
	if controller.calls.limiter.timeout(controller.now, time.Second) <= 0 {
		t.Error("no second call though the mean is far below the limit")
	}
	controller.calls.limiter.callSeconds.Add(controller.now, controller.calls.limiter.limit()*settings.CallsWindow.Seconds()+0.1)
	controller.calls.limiter.credit = -0.1
	if controller.calls.limiter.timeout(controller.now, time.Second) > 0 {
		t.Error("a second call though the mean is above the limit")
	}
	controller.calls.limiter.inFlight = 0
	if controller.calls.limiter.timeout(controller.now, time.Second) <= 0 {
		t.Error("no call at all")
	}
	controller.calls.limiter.maxInFlight = 0.3
	if got := controller.calls.limiter.timeout(controller.now, 3*time.Second); got > 0 {
		t.Errorf("a call of %v though the limit is used up", got)
	}
}

// In a fleet of 300 each server may have a tenth of a call in flight. While the store is slow, one call takes far more than
// that, and what is overdrawn has to be paid back: it used to be forgotten after 1.5 s, and the fleet had three times the
// calls in flight that it may have.
func TestFractionalCallLimitHoldsForLongCalls(t *testing.T) {
	s := testSettings()
	s.MaxCallsInFlight = 0.2
	controller := start(t, s)
	controller.calls.limiter.limitRatio = minCallLimitRatio
	const step = 10 * ms
	var inHand, total time.Duration
	var ends time.Duration
	for now := step; now <= 60*time.Second; now += step {
		controller.advanceTime(now)
		total += step
		if controller.calls.limiter.inFlight == 1 {
			inHand += step
			if now >= ends {
				controller.calls.limiter.inFlight = 0
			}
		} else if controller.calls.limiter.timeout(controller.now, time.Second) > 0 {
			controller.calls.limiter.inFlight, ends = 1, now+300*ms
		}
	}
	if mean, limit := inHand.Seconds()/total.Seconds(), controller.calls.limiter.limit(); mean > 1.2*limit || mean < 0.8*limit {
		t.Errorf("%.3f calls in flight in the mean, with a limit of %.3f", mean, limit)
	}
}

// A request that would have to wait until overdrawn calls are paid back is rejected before it runs: an idempotent request
// that fails at its call has run, and no retry of it may.
func TestOverdrawnCallsCountAsWaiting(t *testing.T) {
	settings := testSettings()
	settings.MaxCallsInFlight = 0.2
	controller := start(t, settings)
	controller.calls.limiter.limitRatio, controller.calls.limiter.callTime = minCallLimitRatio, rolling.AverageOf(0.3)
	controller.calls.limiter.credit = 0.01
	if w := controller.estimator.callWait(); w != 0 {
		t.Errorf("a wait of %v with nothing overdrawn", w)
	}
	controller.calls.limiter.credit = -0.2
	if w, want := controller.estimator.callWait().Seconds(), 0.2/controller.calls.limiter.limit(); math.Abs(w-want) > 1e-6 {
		t.Errorf("a wait of %v s, want %v", w, want)
	}
	// One runs all the same, so that a recovery is noticed. It waits for its call, and no further one runs in vain.
	want(t, controller.Step(controller.now+1, []Event{req(1, 1)}, nil), ActionRun, 1)
	controller.Step(controller.now+1, []Event{CallNeeded(1)}, nil)
	as := controller.Step(controller.now+1, []Event{req(2, 1)}, nil)
	if a := want(t, as, ActionReject, 2); a.Rejection.Reason != ReasonDependency {
		t.Errorf("rejected since %v", a.Rejection.Reason)
	}
	settings.MaxCallsInFlight = 20 // with whole calls the limit itself admits the next one
	controller = start(t, settings)
	controller.calls.limiter.callTime, controller.calls.limiter.credit = rolling.AverageOf(0.3), -1
	if w := controller.estimator.callWait(); w != 0 {
		t.Errorf("a wait of %v though calls are free", w)
	}
}

func TestCallLimitStaysBelowWhatIsSurvived(t *testing.T) {
	c := start(t, testSettings())
	c.calls.limiter.limitRatio, c.calls.limiter.callTime = 5, rolling.AverageOf(0.5)
	for c.calls.limiter.inFlight = 0; c.calls.limiter.timeout(c.now, 10*time.Second) == 10*time.Second; c.calls.limiter.inFlight++ {
		if float64(c.calls.limiter.inFlight) > c.calls.limiter.maxInFlight {
			t.Fatalf("an uncut call beside %d of %v allowed", c.calls.limiter.inFlight, c.calls.limiter.maxInFlight)
		}
	}
}

func TestFractionalCallLimitIsNotUsedInOneBurst(t *testing.T) {
	settings := testSettings()
	settings.MaxCallsInFlight, settings.AbandonedCallTime = 0.5, 0
	controller := start(t, settings)
	controller.advanceTime(20 * time.Second) // a long time without a call saves nothing up
	controller.calls.limiter.inFlight = 1
	controller.advanceTime(21 * time.Second)
	controller.calls.limiter.inFlight = 0
	if got := controller.calls.limiter.timeout(controller.now, time.Second); got > 0 {
		t.Errorf("a call of %v right after one of 1 s with %v allowed", got, settings.MaxCallsInFlight)
	}
	controller.advanceTime(23 * time.Second)
	if got := controller.calls.limiter.timeout(controller.now, time.Second); got > 0 {
		t.Errorf("a call of %v after 2 s, though one of 1 s takes 4 s of a limit of %v", got, controller.calls.limiter.limit())
	}
	controller.advanceTime(24*time.Second + 100*ms)
	if controller.calls.limiter.timeout(controller.now, time.Second) <= 0 {
		t.Error("no call though the last one is paid back")
	}
}

// While the dependency is slow, calls are scarce: requests that may go on without theirs do so at once and leave them to
// requests that may not, instead of being rejected, or of delaying the others until both are late.
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
		if ctl.calls.limiter.waiting == 0 {
			t.Fatal("no call waits")
		}
		ctl.calls.limiter.callTime = rolling.AverageOf(controller.took)
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

// startToCall brings request id of class to its call within the first millisecond.
func startToCall(t *testing.T, c *Controller, id RequestID, class int) []Action {
	t.Helper()
	want(t, c.Step(0, []Event{req(id, class)}, nil), ActionRun, id)
	return c.Step(ms, []Event{CallNeeded(id)}, nil)
}
