package admission

import (
	"testing"
	"time"

	"falldeal/admission/internal/rolling"

	"github.com/stretchr/testify/require"
)

// testEstimator returns a controller that has taken its first step, and its estimator.
func testEstimator(t *testing.T) (*estimator, *Controller) {
	t.Helper()
	controller := startController(t, testSettings())
	return controller.estimator, controller
}

// A request without a hint is estimated by the mean hint of its class, or by a fraction of the objective
// before any hint.
func TestWorkFollowsHintOrClassMean(t *testing.T) {
	estimator, _ := testEstimator(t)
	const class = 1
	require.InDelta(t, defaultWorkRatio*1, estimator.recordHint(class, 0), 1e-12)
	require.InDelta(t, 0.3, estimator.recordHint(class, 300*ms), 1e-12)
	require.InDelta(t, 0.3, estimator.recordHint(class, 0), 1e-12, "the mean of its class")
	require.InDelta(t, 0.5, estimator.recordHint(class, 500*ms), 1e-12)
	require.InDelta(t, 0.32, estimator.recordHint(class, 0), 1e-12)
}

// The service rate is the work done per core time used. Idle cores must not make a server look slow.
func TestServiceRateFollowsRuns(t *testing.T) {
	estimator, controller := testEstimator(t)
	require.InDelta(t, 4, estimator.serviceRate(), 1e-9, "4 cores, each assumed to be as fast as a standard core")
	controller.runs.onCPU = 2
	for now := 100 * ms; now < 20*time.Second; now += 100 * ms {
		estimator.advance(100 * ms)
		estimator.recordRun(now, &request{class: 0, work: 0.1, arrivedAt: now - 200*ms}, 200*ms)
	}
	require.InDelta(t, 2, estimator.serviceRate(), 0.05, "half as fast: 0.1 s of work in 0.2 core-seconds")
	estimator.speed.First = 0
	require.InDelta(t, minCoreSpeed*4, estimator.serviceRate(), 1e-9)
	require.Equal(t, seconds(0.2), estimator.serviceTime(0, &request{class: 0, work: 0.1}).Round(time.Microsecond))
}

// The estimate must include the expected calls of a class, and no calls for a class without them.
func TestServiceTimeIncludesCalls(t *testing.T) {
	estimator, controller := testEstimator(t)
	withCall := &request{class: 1, work: 0.1, objective: time.Second}
	want := 0.1*initialRunsPerCore + defaultCallTime
	require.InDelta(t, want, estimator.serviceTime(0, withCall).Seconds(), 1e-6)
	controller.calls.limiter.callTime = rolling.AverageOf(0.2)
	estimator.estimates[1].callsPerRun = rolling.AverageOf(0.5)
	require.InDelta(t, 0.1*initialRunsPerCore+0.1, estimator.serviceTime(0, withCall).Seconds(), 1e-6)
	require.Equal(t, withCall.objective-estimator.serviceTime(0, withCall), estimator.latestStart(0, withCall))
	estimator.classes[1].CallsDependency = false
	require.InDelta(t, 0.1*initialRunsPerCore, estimator.serviceTime(0, withCall).Seconds(), 1e-6)
}

// Only some of a queue with a longer objective is ahead of a request.
func TestCPUWaitCountsWorkAhead(t *testing.T) {
	estimator, controller := testEstimator(t)
	urgent, patient := &request{class: 1, work: 0.4}, &request{class: 0, work: 0.4}
	require.Zero(t, estimator.cpuWait(urgent))
	controller.queue.push(&request{class: 0, work: 0.8}) // objective of 2 s
	controller.queue.push(&request{class: 1, work: 0.8}) // of 1 s
	controller.runs.start(0.4)
	require.InDelta(t, (0.2+0.4+0.8)/4, estimator.cpuWait(urgent).Seconds(), 1e-9)
	require.InDelta(t, (0.2+0.8+0.8)/4, estimator.cpuWait(patient).Seconds(), 1e-9)
}

// Queued requests that may skip their calls must not add to the wait of those that must call.
func TestCallWaitCountsOnlyRequiredCalls(t *testing.T) {
	estimator, controller := testEstimator(t)
	controller.queue.push(&request{class: 0})
	controller.queue.push(&request{class: 3}) // may skip its call
	controller.calls.limiter.waitingCount = 2
	require.Zero(t, estimator.callWait(), "no call was measured")
	controller.calls.limiter.callTime = rolling.AverageOf(0.1)
	require.InDelta(t, 3*0.1/3, estimator.callWait().Seconds(), 1e-9, "three calls ahead, three in flight at a time")
	degradable := &request{class: 3, objective: 200 * ms}
	require.True(t, estimator.skipsCall(0, degradable))
	require.False(t, estimator.needsCall(0, degradable))
	degradable.objective = time.Second
	require.True(t, estimator.needsCall(0, degradable))
	require.Equal(t, resourceCalls, estimator.bottleneck(0, &request{class: 0}), "cores are idle beside a queue")
	controller.runs.onCPU = 9
	controller.runs.work = 100
	require.Equal(t, resourceCPU, estimator.bottleneck(0, &request{class: 0}))
	controller.calls.limiter.maxInFlight = 0
	require.Zero(t, estimator.callWait(), "unlimited calls")
}

// A late class that is no longer configured must not count, as its latency may never be updated again.
func TestAnyClassLateIgnoresRemovedClasses(t *testing.T) {
	estimator, _ := testEstimator(t)
	require.False(t, estimator.anyClassLate())
	estimator.estimates[2].latency = rolling.AverageOf(1.5)
	require.True(t, estimator.anyClassLate())
	estimator.classes[2].Removed = true
	require.False(t, estimator.anyClassLate())
}
