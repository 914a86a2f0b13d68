package admission

import (
	"math"
	"testing"
	"time"

	"falldeal/admission/internal/rolling"

	"github.com/stretchr/testify/require"
)

// A call that the circuit breaker drops must end the wait of its run: the run continues if its class may skip
// the call, and fails otherwise. A request that has run must not be rejected.
func TestDroppedCallIsSkippedOrFails(t *testing.T) {
	// Of the classes of testSettings, class 3 may skip its call and class 1 may not.
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

// A call that may have had an effect must not be made again, as the effect would happen twice. The failed
// call of a read may be made again. In testSettings, class 0 is a read, 1 is idempotent by key and 2 is
// unsafe.
func TestCallIsRetriedOnlyIfItHadNoEffect(t *testing.T) {
	for _, test := range []struct {
		class     int
		outcome   Outcome
		wantRetry bool
	}{{0, OutcomeFailed, true}, {1, OutcomeFailed, false}, {1, OutcomeAborted, false}, {1, OutcomeTimedOut, false}, {1, OutcomeUnreachable, true},
		{2, OutcomeRejected, true}, {2, OutcomeFailed, false}} {
		controller := startController(t, testSettings())
		requireAction(t, startAndNeedCall(t, controller, 1, test.class), ActionCall, 1)
		actions := controller.Step(10*ms, []Event{CallCompleted(1, Completion{Outcome: test.outcome, Duration: 9 * ms})}, nil)
		actions = controller.Step(300*ms, nil, actions)
		if got := findAction(actions, ActionCall, 1) != nil; got != test.wantRetry {
			t.Errorf("class %d, outcome %d: retried %v, want %v", test.class, test.outcome, got, test.wantRetry)
		}
		if !test.wantRetry {
			requireAction(t, actions, ActionFail, 1)
		}
	}
}

// Calls that are needed at the same time must not exceed safeCallRatio times MaxCallsInFlight.
func TestCallsInFlightStayBelowLimit(t *testing.T) {
	settings := testSettings()
	settings.MaxCallsInFlight = 3
	controller := startController(t, settings)
	callsInFlight := 0
	for id := RequestID(1); id <= 6; id++ {
		controller.Step(0, []Event{arrived(id, 0)}, nil)
		actions := controller.Step(0, []Event{CallNeeded(id)}, nil)
		for _, action := range actions {
			if action.Kind == ActionCall {
				callsInFlight++
			}
		}
	}
	if callsInFlight == 0 || float64(callsInFlight) > safeCallRatio*settings.MaxCallsInFlight {
		t.Fatalf("%d calls in flight, with MaxCallsInFlight %v", callsInFlight, settings.MaxCallsInFlight)
	}
}

// The limit must fall while calls are much slower than the best mean call time, must not fall below its
// minimum, and must rise again afterwards.
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
		t.Errorf("limit %v at first, %v while calls are slow, %v afterwards", high, low, limiter.limit())
	}
}

// If the limit is not a whole number, the call that exceeds it must be made only while the mean number of
// calls in flight is below the limit. With a limit below one, this holds for every call.
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
		t.Error("no second call although the mean is far below the limit")
	}
	limiter.callSeconds.Add(controller.now, limiter.limit()*settings.CallsWindow.Seconds()+0.1)
	limiter.credit = -0.1
	if limiter.timeout(controller.now, time.Second) > 0 {
		t.Error("a second call although the mean is above the limit")
	}
	limiter.inFlight = 0
	if limiter.timeout(controller.now, time.Second) <= 0 {
		t.Error("no call although none is in flight")
	}
	limiter.maxInFlight = 0.3
	if got := limiter.timeout(controller.now, 3*time.Second); got > 0 {
		t.Errorf("a call with timeout %v although the credit is overdrawn", got)
	}
}

// In a large fleet, the limit of a server is far below one call, such as 0.1 in a fleet of 300. While the
// dependency is slow, one call then uses up far more credit than a server can save up, and the overdrawn
// credit must be restored before the next call. An earlier limiter forgot overdrawn credit after 1.5 s, and
// the fleet had three times as many calls in flight as allowed.
func TestFractionalCallLimitHoldsForLongCalls(t *testing.T) {
	settings := testSettings()
	settings.MaxCallsInFlight = 0.2
	controller := startController(t, settings)
	limiter := controller.calls.limiter
	limiter.limitRatio = minCallLimitRatio
	const step = 10 * ms
	var inFlightTime, total time.Duration
	var ends time.Duration
	for now := step; now <= 60*time.Second; now += step {
		controller.advanceTime(now)
		total += step
		if limiter.inFlight == 1 {
			inFlightTime += step
			if now >= ends {
				limiter.inFlight = 0
			}
		} else if limiter.timeout(controller.now, time.Second) > 0 {
			limiter.inFlight = 1
			ends = now + 300*ms
		}
	}
	if mean, limit := inFlightTime.Seconds()/total.Seconds(), limiter.limit(); mean > 1.2*limit || mean < 0.8*limit {
		t.Errorf("%.3f calls in flight on average, with a limit of %.3f", mean, limit)
	}
}

// A request whose call would wait for overdrawn credit must be rejected before it runs. If it ran and its
// call was not made in time, it would fail, and a request that is idempotent by key has then used its only
// run: no retry of it may run.
func TestOverdrawnCreditCountsAsCallWait(t *testing.T) {
	settings := testSettings()
	settings.MaxCallsInFlight = 0.2
	controller := startController(t, settings)
	controller.calls.limiter.limitRatio = minCallLimitRatio
	controller.calls.limiter.callTime = rolling.AverageOf(0.3)
	controller.calls.limiter.credit = 0.01
	if w := controller.estimator.callWait(); w != 0 {
		t.Errorf("a wait of %v although no credit is overdrawn", w)
	}
	controller.calls.limiter.credit = -0.2
	if w, want := controller.estimator.callWait().Seconds(), 0.2/controller.calls.limiter.limit(); math.Abs(w-want) > 1e-6 {
		t.Errorf("a wait of %v s, want %v", w, want)
	}
	// One request runs as a trial, so that a recovery is noticed. While it waits for its call, no other one runs.
	requireAction(t, controller.Step(controller.now+1, []Event{arrived(1, 1)}, nil), ActionRun, 1)
	controller.Step(controller.now+1, []Event{CallNeeded(1)}, nil)
	actions := controller.Step(controller.now+1, []Event{arrived(2, 1)}, nil)
	if action := requireAction(t, actions, ActionReject, 2); action.Rejection.Reason != ReasonDependency {
		t.Errorf("rejected with reason %v, want ReasonDependency", action.Rejection.Reason)
	}
	settings.MaxCallsInFlight = 20 // a limit of one call or more never waits for overdrawn credit
	controller = startController(t, settings)
	controller.calls.limiter.callTime = rolling.AverageOf(0.3)
	controller.calls.limiter.credit = -1
	if w := controller.estimator.callWait(); w != 0 {
		t.Errorf("a wait of %v although calls are available", w)
	}
}

// Even if limitRatio is far too high, a call beyond maxInFlight must have a capped timeout or not be made.
// Otherwise the calls could overload the dependency.
func TestCallsBeyondSafeRatioHaveCappedTimeouts(t *testing.T) {
	controller := startController(t, testSettings())
	controller.calls.limiter.limitRatio = 5
	controller.calls.limiter.callTime = rolling.AverageOf(0.5)
	limiter := controller.calls.limiter
	for limiter.inFlight = 0; limiter.timeout(controller.now, 10*time.Second) == 10*time.Second; limiter.inFlight++ {
		if float64(limiter.inFlight) > limiter.maxInFlight {
			t.Fatalf("a call with an uncapped timeout beside %d in flight, with maxInFlight %v",
				limiter.inFlight, limiter.maxInFlight)
		}
	}
}

// After an idle time, credit must not allow several calls in a row: with a limit below 1, each call must be
// followed by a pause.
func TestFractionalCallLimitIsNotUsedInOneBurst(t *testing.T) {
	settings := testSettings()
	settings.MaxCallsInFlight = 0.5
	settings.AbandonedCallTime = 0
	controller := startController(t, settings)
	limiter := controller.calls.limiter
	controller.advanceTime(20 * time.Second) // idle time saves up little credit
	limiter.inFlight = 1
	controller.advanceTime(21 * time.Second)
	limiter.inFlight = 0
	if got := limiter.timeout(controller.now, time.Second); got > 0 {
		t.Errorf("a call with timeout %v right after one of 1 s, with MaxCallsInFlight %v", got, settings.MaxCallsInFlight)
	}
	controller.advanceTime(23 * time.Second)
	if got := limiter.timeout(controller.now, time.Second); got > 0 {
		t.Errorf("a call with timeout %v 2 s after a call of 1 s ended; with a limit of %v, the wait is 3 s", got, limiter.limit())
	}
	controller.advanceTime(24*time.Second + 100*ms)
	if limiter.timeout(controller.now, time.Second) <= 0 {
		t.Error("no call although the overdrawn credit is restored")
	}
}

// While the dependency is slow, requests that may skip their calls must do so at once. Otherwise they would
// be rejected, or would wait together with the requests that must call, and both would be late.
func TestCallsThatWouldWaitTooLongAreSkipped(t *testing.T) {
	settings := testSettings()
	settings.MemoryKB = 1e6
	settings.Cores = 12
	for _, test := range []struct {
		meanCallTime float64 // in seconds
		skips        bool
	}{{0.01, false}, {1, true}} {
		controller := startController(t, settings)
		for id := RequestID(1); id <= 5; id++ { // more calls than the limit allows
			startAndNeedCall(t, controller, id, 1)
		}
		if controller.calls.limiter.waitingCount == 0 {
			t.Fatal("no call waits")
		}
		controller.calls.limiter.callTime = rolling.AverageOf(test.meanCallTime)
		actions := startAndNeedCall(t, controller, 7, 3)
		if got := findAction(actions, ActionSkipCall, 7) != nil; got != test.skips {
			t.Errorf("calls take %v s: skipped is %v", test.meanCallTime, got)
		}
		for id := RequestID(1); id <= 5; id++ {
			requireNoAction(t, actions, ActionSkipCall, id)
			requireNoAction(t, actions, ActionFail, id)
		}
	}
}

// startAndNeedCall runs request id of a class at time 0 and has it need its call after 1 ms. It returns the
// actions of that step.
func startAndNeedCall(t *testing.T, controller *Controller, id RequestID, class int) []Action {
	t.Helper()
	requireAction(t, controller.Step(0, []Event{arrived(id, class)}, nil), ActionRun, id)
	return controller.Step(ms, []Event{CallNeeded(id)}, nil)
}

// Runs that end while they wait for their call must not stay in the queue for calls until the time to which they were useful:
// with many short runs, that would grow with their rate.
func TestEndedRunsLeaveQueueForCalls(t *testing.T) {
	settings := testSettings()
	controller := startController(t, settings)
	calls := &controller.calls
	waiting := &request{usefulUntil: time.Second}
	calls.wait(1, waiting)
	for range 100 * minPurgeSize {
		ended := &request{usefulUntil: time.Minute}
		calls.wait(1, ended)
		calls.stopWaiting()
		ended.state = released
		require.LessOrEqual(t, calls.waiting.Len(), minPurgeSize)
	}
	first, _, _ := calls.waiting.Peek()
	require.Same(t, waiting, first)
	require.Equal(t, 1, calls.limiter.waitingCount)
}
