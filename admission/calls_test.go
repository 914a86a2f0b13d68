package admission

import (
	"math"
	"testing"
	"time"

	"falldeal/admission/internal/rolling"
)

func TestDroppedCallIsSkippedOrFails(t *testing.T) {
	for class, kind := range map[int]ActionKind{1: ActionFail, 3: ActionSkipCall} {
		settings := testSettings()
		controller := startController(t, settings)
		requireAction(t, controller.Step(0, []Event{arrived(1, class)}, nil), ActionRun, 1)
		for range 100000 {
			controller.calls.breaker.record(controller.now, OutcomeFailed)
		}
		actions := controller.Step(ms, []Event{CallNeeded(1)}, nil)
		requireAction(t, actions, kind, 1)
		requireNoAction(t, actions, ActionReject, 1)
	}
}

func TestCallIsRetriedOnlyIfItHadNoEffect(t *testing.T) {
	for _, test := range []struct {
		class     int
		outcome   Outcome
		wantRetry bool
	}{{0, OutcomeFailed, true}, {1, OutcomeFailed, false}, {1, OutcomeAborted, false}, {1, OutcomeTimedOut, false}, {1, OutcomeUnreachable, true},
		{2, OutcomeRejected, true}, {2, OutcomeFailed, false}} {
		controller := startController(t, testSettings())
		requireAction(t, startAndNeedCall(t, controller, 1, test.class), ActionCall, 1)
		actions := controller.Step(10*ms, []Event{CallCompleted(1, Completion{Outcome: test.outcome, Took: 9 * ms})}, nil)
		actions = controller.Step(300*ms, nil, actions)
		if got := findAction(actions, ActionCall, 1) != nil; got != test.wantRetry {
			t.Errorf("class %d, outcome %d: repeated %v, want %v", test.class, test.outcome, got, test.wantRetry)
		}
		if !test.wantRetry {
			requireAction(t, actions, ActionFail, 1)
		}
	}
}

func TestCallsInFlightStayBelowLimit(t *testing.T) {
	settings := testSettings()
	settings.MaxCallsInFlight = 3
	controller := startController(t, settings)
	out := 0
	for id := RequestID(1); id <= 6; id++ {
		controller.Step(0, []Event{arrived(id, 0)}, nil)
		actions := controller.Step(0, []Event{CallNeeded(id)}, nil)
		for _, action := range actions {
			if action.Kind == ActionCall {
				out++
			}
		}
	}
	if out == 0 || float64(out) > safeCallRatio*settings.MaxCallsInFlight {
		t.Fatalf("%d calls in flight of %v allowed", out, settings.MaxCallsInFlight)
	}
}

func TestCallLimitFallsWhileCallsAreSlowAndRecovers(t *testing.T) {
	controller := startController(t, testSettings())
	limiter := controller.calls.limiter
	limiter.callTime = rolling.AverageOf(0.05)
	for range 100 {
		limiter.adjust()
	}
	high := limiter.limit()
	limiter.callTime = rolling.AverageOf(0.5)
	for range 40 {
		limiter.adjust()
	}
	low := limiter.limit()
	limiter.callTime = rolling.AverageOf(0.05)
	for range 100 {
		limiter.adjust()
	}
	if low >= high/1.5 || limiter.limit() < high*0.99 || low < minCallLimitRatio*limiter.maxInFlight*0.99 {
		t.Errorf("limit %v, then %v while slow, then %v", high, low, limiter.limit())
	}
}

func TestFractionalCallLimitHoldsOnAverage(t *testing.T) {
	settings := testSettings()
	settings.MaxCallsInFlight = 1.95
	settings.Dependency = DependencyShared
	controller := startController(t, settings)
	limiter := controller.calls.limiter
	limiter.callTime = rolling.AverageOf(0.05)
	limiter.limitRatio = 0.7
	limiter.inFlight = 1
	if limiter.timeout(controller.now, time.Second) <= 0 {
		t.Error("no second call though the mean is far below the limit")
	}
	limiter.callSeconds.Add(controller.now, limiter.limit()*settings.CallsWindow.Seconds()+0.1)
	limiter.credit = -0.1
	if limiter.timeout(controller.now, time.Second) > 0 {
		t.Error("a second call though the mean is above the limit")
	}
	limiter.inFlight = 0
	if limiter.timeout(controller.now, time.Second) <= 0 {
		t.Error("no call at all")
	}
	limiter.maxInFlight = 0.3
	if got := limiter.timeout(controller.now, 3*time.Second); got > 0 {
		t.Errorf("a call of %v though the limit is used up", got)
	}
}

// In a fleet of 300 each server may have a tenth of a call in flight. While the store is slow, one call takes far more than
// that, and what is overdrawn has to be paid back: it used to be forgotten after 1.5 s, and the fleet had three times the
// calls in flight that it may have.
func TestFractionalCallLimitHoldsForLongCalls(t *testing.T) {
	settings := testSettings()
	settings.MaxCallsInFlight = 0.2
	controller := startController(t, settings)
	limiter := controller.calls.limiter
	limiter.limitRatio = minCallLimitRatio
	const step = 10 * ms
	var inHand, total time.Duration
	var ends time.Duration
	for now := step; now <= 60*time.Second; now += step {
		controller.advanceTime(now)
		total += step
		if limiter.inFlight == 1 {
			inHand += step
			if now >= ends {
				limiter.inFlight = 0
			}
		} else if limiter.timeout(controller.now, time.Second) > 0 {
			limiter.inFlight = 1
			ends = now + 300*ms
		}
	}
	if mean, limit := inHand.Seconds()/total.Seconds(), limiter.limit(); mean > 1.2*limit || mean < 0.8*limit {
		t.Errorf("%.3f calls in flight in the mean, with a limit of %.3f", mean, limit)
	}
}

// A request that would have to wait until overdrawn calls are paid back is rejected before it runs: an idempotent request
// that fails at its call has run, and no retry of it may.
func TestOverdrawnCreditCountsAsCallWait(t *testing.T) {
	settings := testSettings()
	settings.MaxCallsInFlight = 0.2
	controller := startController(t, settings)
	controller.calls.limiter.limitRatio = minCallLimitRatio
	controller.calls.limiter.callTime = rolling.AverageOf(0.3)
	controller.calls.limiter.credit = 0.01
	if w := controller.estimator.callWait(); w != 0 {
		t.Errorf("a wait of %v with nothing overdrawn", w)
	}
	controller.calls.limiter.credit = -0.2
	if w, want := controller.estimator.callWait().Seconds(), 0.2/controller.calls.limiter.limit(); math.Abs(w-want) > 1e-6 {
		t.Errorf("a wait of %v s, want %v", w, want)
	}
	// One runs all the same, so that a recovery is noticed. It waits for its call, and no further one runs in vain.
	requireAction(t, controller.Step(controller.now+1, []Event{arrived(1, 1)}, nil), ActionRun, 1)
	controller.Step(controller.now+1, []Event{CallNeeded(1)}, nil)
	actions := controller.Step(controller.now+1, []Event{arrived(2, 1)}, nil)
	if action := requireAction(t, actions, ActionReject, 2); action.Rejection.Reason != ReasonDependency {
		t.Errorf("rejected since %v", action.Rejection.Reason)
	}
	settings.MaxCallsInFlight = 20 // with whole calls the limit itself admits the next one
	controller = startController(t, settings)
	controller.calls.limiter.callTime = rolling.AverageOf(0.3)
	controller.calls.limiter.credit = -1
	if w := controller.estimator.callWait(); w != 0 {
		t.Errorf("a wait of %v though calls are free", w)
	}
}

func TestCallsBeyondSafeRatioHaveCappedTimeouts(t *testing.T) {
	controller := startController(t, testSettings())
	controller.calls.limiter.limitRatio = 5
	controller.calls.limiter.callTime = rolling.AverageOf(0.5)
	limiter := controller.calls.limiter
	for limiter.inFlight = 0; limiter.timeout(controller.now, 10*time.Second) == 10*time.Second; limiter.inFlight++ {
		if float64(limiter.inFlight) > limiter.maxInFlight {
			t.Fatalf("an uncut call beside %d of %v allowed", limiter.inFlight, limiter.maxInFlight)
		}
	}
}

func TestFractionalCallLimitIsNotUsedInOneBurst(t *testing.T) {
	settings := testSettings()
	settings.MaxCallsInFlight = 0.5
	settings.AbandonedCallTime = 0
	controller := startController(t, settings)
	limiter := controller.calls.limiter
	controller.advanceTime(20 * time.Second) // a long time without a call saves nothing up
	limiter.inFlight = 1
	controller.advanceTime(21 * time.Second)
	limiter.inFlight = 0
	if got := limiter.timeout(controller.now, time.Second); got > 0 {
		t.Errorf("a call of %v right after one of 1 s with %v allowed", got, settings.MaxCallsInFlight)
	}
	controller.advanceTime(23 * time.Second)
	if got := limiter.timeout(controller.now, time.Second); got > 0 {
		t.Errorf("a call of %v after 2 s, though one of 1 s takes 4 s of a limit of %v", got, limiter.limit())
	}
	controller.advanceTime(24*time.Second + 100*ms)
	if limiter.timeout(controller.now, time.Second) <= 0 {
		t.Error("no call though the last one is paid back")
	}
}

// While the dependency is slow, calls are scarce: requests that may go on without theirs do so at once and leave them to
// requests that may not, instead of being rejected, or of delaying the others until both are late.
func TestCallsThatWouldWaitTooLongAreSkipped(t *testing.T) {
	settings := testSettings()
	settings.MemoryKB = 1e6
	settings.Cores = 12
	for _, controller := range []struct {
		took  float64 // seconds that a call takes of late
		skips bool
	}{{0.01, false}, {1, true}} {
		ctl := startController(t, settings)
		for id := RequestID(1); id <= 5; id++ { // more than may call at once
			startAndNeedCall(t, ctl, id, 1)
		}
		if ctl.calls.limiter.waitingCount == 0 {
			t.Fatal("no call waits")
		}
		ctl.calls.limiter.callTime = rolling.AverageOf(controller.took)
		actions := startAndNeedCall(t, ctl, 7, 3)
		if got := findAction(actions, ActionSkipCall, 7) != nil; got != controller.skips {
			t.Errorf("calls take %v s: skipped is %v", controller.took, got)
		}
		for id := RequestID(1); id <= 5; id++ {
			requireNoAction(t, actions, ActionSkipCall, id)
			requireNoAction(t, actions, ActionFail, id)
		}
	}
}

// startAndNeedCall brings request id of class to its call within the first millisecond.
func startAndNeedCall(t *testing.T, controller *Controller, id RequestID, class int) []Action {
	t.Helper()
	requireAction(t, controller.Step(0, []Event{arrived(id, class)}, nil), ActionRun, id)
	return controller.Step(ms, []Event{CallNeeded(id)}, nil)
}
