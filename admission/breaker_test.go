package admission

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"falldeal/admission/internal/rolling"

	"github.com/stretchr/testify/require"
)

// Values computed by hand, around the number of protected calls and the accept ratio of 1/K.
func TestDropProbabilityFormula(t *testing.T) {
	for _, test := range []struct{ total, accepts, want float64 }{
		{0, 0, 0}, {5, 0, 0}, {6, 0, 1.0 / 7}, {100, 100, 0}, {100, 60, 5.0 / 101}, {100, 0, 95.0 / 101}, {35, 10, 15.0 / 36},
	} {
		if got := dropProbability(test.total, test.accepts, BreakerProtectedCalls); math.Abs(got-test.want) > 1e-12 {
			t.Errorf("dropProbability(%v, %v) = %v, want %v", test.total, test.accepts, got, test.want)
		}
	}
}

// The breaker must close again after successful calls, and without any call once the failures have left the
// window: otherwise no call would ever show the recovery.
func TestBreakerRecoversAndIdleWindowForgets(t *testing.T) {
	controller := startController(t, testSettings())
	for range 100 {
		controller.calls.breaker.record(controller.now, OutcomeFailed)
	}
	if d := controller.calls.breaker.dropProbability(controller.now); math.Abs(d-95.0/101) > 1e-9 {
		t.Fatalf("drop probability %v after 100 failures", d)
	}
	for range 200 {
		controller.calls.breaker.record(controller.now, OutcomeOK)
	}
	if d := controller.calls.breaker.dropProbability(controller.now); d != 0 {
		t.Fatalf("drop probability %v after recovery", d)
	}
	for range 500 {
		controller.calls.breaker.record(controller.now, OutcomeFailed)
	}
	controller.advanceTime(breakerWindow + time.Second)
	if d := controller.calls.breaker.dropProbability(controller.now); d != 0 {
		t.Fatalf("drop probability %v after an idle window", d)
	}
}

// While the fleet coordinates its probes, a server that does not probe must make no call, and one that probes
// must make its first calls, however long calls took before the dependency failed.
func TestProtectedCallsDecideWhetherServerProbes(t *testing.T) {
	calls := func(protectedCalls float64) (n int) {
		controller := startController(t, testSettings())
		controller.calls.limiter.callTime = rolling.AverageOf(0.03)
		controller.calls.limiter.bestCallTime = 0.03
		if protectedCalls > 0 {
			controller.calls.limiter.callTime = rolling.AverageOf(1.9)
		}
		for range 4 {
			controller.calls.breaker.record(controller.now, OutcomeTimedOut)
		}
		controller.SetProtectedCalls(protectedCalls)
		for id := RequestID(1); id < 4; id++ {
			controller.Step(controller.now+1, []Event{arrived(id, 3)}, nil)
			actions := controller.Step(controller.now+1, []Event{CallNeeded(id)}, nil)
			if findAction(actions, ActionCall, id) != nil {
				n++
			} else if findAction(actions, ActionSkipCall, id) == nil {
				t.Errorf("request %d neither makes its call nor skips it", id)
			}
		}
		return n
	}
	controller := startController(t, testSettings())
	controller.SetProtectedCalls(-1)
	if action := requireAction(t, controller.Step(0, []Event{arrived(1, 1)}, nil), ActionReject, 1); action.Rejection.Reason != ReasonDependency {
		t.Errorf("a request that must call, on a server that does not probe: %+v", *action)
	}
	if n := calls(-1); n != 0 {
		t.Errorf("%d calls by a server that does not probe, want 0", n)
	}
	if n := calls(BreakerProtectedCalls); n != 3 {
		t.Errorf("%d of 3 protected calls were made", n)
	}
}

// The probability must be that of the formula over a plain list of the calls in the window.
func TestBreakerAgainstPlainList(t *testing.T) {
	const bucket = breakerWindow / breakerBuckets
	type call struct {
		at time.Duration
		ok bool
	}
	rng := rand.New(rand.NewPCG(2, 2))
	breaker := newCircuitBreaker(0)
	var calls []call
	now := time.Duration(0)
	for range 4000 {
		now += time.Duration(rng.IntN(40)) * ms
		ended := call{now, rng.IntN(3) > 0}
		calls = append(calls, ended)
		outcome := OutcomeFailed
		if ended.ok {
			outcome = OutcomeOK
		}
		breaker.record(now, outcome)
		total, accepts := 0.0, 0.0
		for _, earlier := range calls {
			if int64(now/bucket)-int64(earlier.at/bucket) >= breakerBuckets {
				continue
			}
			total++
			if earlier.ok {
				accepts++
			}
		}
		want := math.Max(0, (total-BreakerProtectedCalls-1.5*accepts)/(total+1))
		require.InDelta(t, want, breaker.dropProbability(now), 1e-12)
	}
}

// Every outcome but OutcomeOK counts as a failure. With protectedCalls below 0, a server does not even make
// the first call.
func TestBreakerCountsOnlyOKAsAccepted(t *testing.T) {
	for outcome := OutcomeOK; outcome <= OutcomeNotStarted; outcome++ {
		breaker := newCircuitBreaker(0)
		for range 50 {
			breaker.record(0, outcome)
		}
		require.Equal(t, outcome != OutcomeOK, breaker.dropProbability(0) > 0, outcome)
	}
	breaker := newCircuitBreaker(0)
	require.False(t, breaker.mayNotProbe())
	breaker.protectedCalls = -1
	require.True(t, breaker.mayNotProbe())
	require.Positive(t, breaker.dropProbability(0), "even the first call is dropped")
}
